package savoryworld

import (
	"testing"
	"time"

	"savorycart.example/savorycore/savorygolden"
)

func TestGoldenTexts(t *testing.T) {
	// An enum with another text changes the encoding of messages, records and
	// settings. A process of another build then does not recognize the value.
	savorygolden.Texts(t, "outagePolicy", OutageRefuse, OutageForward)
	savorygolden.Texts(t, "vmState", VMLive, VMLeaving)
}

func TestGoldenValues(t *testing.T) {
	// A renamed field without a tag, or another text form, changes the encoding
	// of messages, records and settings. A process of another build then
	// decodes zero values.
	for _, f := range []savorygolden.Format{savorygolden.MessagePack, savorygolden.JSON} {
		savorygolden.Check(t, f, []savorygolden.Case{
			{Name: "layerRange", Value: &LayerRange{From: 3, To: 12}},
			{Name: "duration", Value: new(Duration(72 * time.Millisecond))},
		})
	}
}
