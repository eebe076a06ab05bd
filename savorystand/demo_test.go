package main

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a demo that fails without any injected fault.
func TestDemoPasses(t *testing.T) {
	is := is.New(t)
	is.NoErr(runDemo([]string{"-log", "fatal"}))
}

// Guards against a demo that reports success although an engine skips a layer,
// repeats a token or answers another request.
func TestDemoFailsWhenPromiseBroken(t *testing.T) {
	for _, fault := range []string{"skip", "repeat", "cross"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			is.True(runDemo([]string{"-log", "fatal", "-break", fault}) != nil)
		})
	}
}
