package savoryverdict

import (
	"testing"

	"savorycart.example/savorycore/savorygolden"
)

func TestGoldenTexts(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the
	// bytes that peers, engines and callers get; a process of another build then reads zero values.
	savorygolden.Texts(t, "verdict", NotRun, MayHaveRun, Ran)
}
