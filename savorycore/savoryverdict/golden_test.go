package savoryverdict

import (
	"testing"

	"savorycart.example/savorycore/savorygolden"
)

// Guards against a changed text of a verdict or a renamed field without a tag.
// Either changes the bytes that peers, engines and callers receive, and a
// process of another build then reads zero values.
func TestGoldenTexts(t *testing.T) {
	savorygolden.Texts(t, "verdict", NotRun, MayHaveRun, Ran)
}
