package savorymember

import (
	"testing"
	"time"

	"savorycart.example/savorycore/savorygolden"
)

func TestGolden(t *testing.T) {
	// Guards the encoded form of a mark. A renamed field without a tag, or an enum
	// with another text, changes the bytes that peers and the store hold; a process
	// of another build then reads zero values.
	savorygolden.Texts(t, "markSource", FromOperator, FromServer, FromVMList)
	mark := &Mark{Server: "oak-1", Source: FromOperator, Leaving: true, At: time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC)}
	// Peers exchange MessagePack; the store and operators get JSON.
	savorygolden.Check(t, savorygolden.MessagePack, []savorygolden.Case{{Name: "mark", Value: mark}})
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{{Name: "mark", Value: mark}})
}
