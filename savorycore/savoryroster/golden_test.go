package savoryroster

import (
	"net/netip"
	"testing"
	"time"

	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savoryworld"
)

func TestGolden(t *testing.T) {
	// A renamed field without a tag, or an enum with another text, changes the bytes
	// that peers send and that the store keeps as a copy of the list. A process of
	// another build then reads zero values.
	savorygolden.Check(t, savorygolden.MessagePack, []savorygolden.Case{{Name: "listing", Value: &Listing{
		Era: 3, Revision: 71,
		Servers: []Server{{
			ID: "oak-1", Service: "timber", Address: netip.MustParseAddrPort("10.0.0.1:8001"), Zone: "north-1",
			Leaving: true, Slots: 4, Born: time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC),
			Holds: savoryworld.LayerRange{From: 3, To: 12}, Accelerator: "small", Busy: true, Beat: 17,
			Orders: 5, ReportedBeat: 16,
		}},
	}}})
}
