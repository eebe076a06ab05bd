package main

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a misspelt measurement that does nothing and succeeds.
func TestUnknownMeasurement(t *testing.T) {
	is := is.New(t)
	err := runMeasure([]string{"rooting"})
	is.True(err != nil)
	is.Equal(err.Error(), `measurement "rooting" does not exist`)
}
