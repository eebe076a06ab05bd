package savoryworld

import (
	"testing"
	"time"

	"savorycart.example/savorycore/savorygolden"
)

func TestGoldenTexts(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the
	// bytes that messages, records and settings hold; a process of another build then reads zero values.
	savorygolden.Texts(t, "outagePolicy", OutageRefuse, OutageForward)
	savorygolden.Texts(t, "vmState", VMLive, VMLeaving)
}

func TestGoldenValues(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the
	// bytes that messages, records and settings hold; a process of another build then reads zero values.
	for _, f := range []savorygolden.Format{savorygolden.MessagePack, savorygolden.JSON} {
		savorygolden.Check(t, f, []savorygolden.Case{
			{Name: "layerRange", Value: &LayerRange{From: 3, To: 12}},
			{Name: "duration", Value: new(Duration(72 * time.Millisecond))},
		})
	}
}
