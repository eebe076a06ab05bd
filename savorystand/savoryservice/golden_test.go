package savoryservice

import (
	"testing"

	"savorycart.example/savorycore/savorygolden"
)

func TestGolden(t *testing.T) {
	// Guards against renamed JSON fields of Receipt: callers of another build would
	// read zero values for them.
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{
		{Name: "receipt", Value: &Receipt{Service: "timber", Number: 3, Body: "cut"}},
	})
}
