package main

import (
	"testing"

	"github.com/matryer/is"
)

func TestDemoPasses(t *testing.T) {
	is := is.New(t)
	is.NoErr(runDemo([]string{"-log", "fatal"}))
}

// The demo must fail when a promise is broken, or its success says nothing.
func TestDemoFailsWhenPromiseBroken(t *testing.T) {
	for _, fault := range []string{"skip", "repeat", "cross"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			is.True(runDemo([]string{"-log", "fatal", "-break", fault}) != nil)
		})
	}
}
