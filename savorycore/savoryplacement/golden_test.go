package savoryplacement

import (
	"testing"

	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savoryworld"
)

func TestGolden(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the bytes
	// of the plan in the store. A process of another build then reads zero values.
	savorygolden.Check(t, savorygolden.MessagePack, []savorygolden.Case{{Name: "plan", Value: &Plan{
		Unit: 4, Era: 3, Layers: map[string]savoryworld.LayerRange{"oak-1": {From: 4, To: 12}},
	}}})
}
