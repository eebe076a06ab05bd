package savoryservice

import (
	"testing"

	"savorycart.example/savorycore/savorygolden"
)

func TestGolden(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the
	// bytes that callers of the stand-in get; a process of another build then reads zero values.
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{
		{Name: "receipt", Value: &Receipt{Service: "timber", Number: 3, Body: "cut"}},
	})
}
