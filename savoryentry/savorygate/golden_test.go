package savorygate

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryplacement"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryworld"
)

func TestGolden(t *testing.T) {
	// A field renamed without a tag, or a changed text of an enum, changes the
	// bytes in the store; a process of another build then reads zero values.
	savorygolden.Texts(t, "key", entryPrefix, ordererKey, planPrefix, listSnapshotKey)
	listing := &savoryroster.Listing{Era: 3, Revision: 71, Servers: []savoryroster.Server{{
		ID: "oak-1", Service: "timber", Address: netip.MustParseAddrPort("10.0.0.1:8001"), Zone: "north-1", Slots: 4,
		Born:  time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC),
		Holds: savoryworld.LayerRange{From: 3, To: 12}, Accelerator: "small", Busy: true, Beat: 17, Orders: 5, ReportedBeat: 16,
	}}}
	savorygolden.Check(t, savorygolden.MessagePack, []savorygolden.Case{
		// The snapshot omits the fields that change with each heartbeat.
		{Name: "roster", Value: listing.Snapshot(), Zero: []string{
			"Listing.Servers[0].Beat", "Listing.Servers[0].Busy", "Listing.Servers[0].Leaving",
			"Listing.Servers[0].Orders", "Listing.Servers[0].ReportedBeat",
		}},
		{Name: "plan", Value: &savoryplacement.Plan{Unit: 4, Era: 3, Layers: map[string]savoryworld.LayerRange{"oak-1": {From: 4, To: 12}}}},
	})
}

func TestGoldenEntry(t *testing.T) {
	// If the format of an entry's registration changes, entries of another
	// build cannot read it, and the fleet splits during an upgrade.
	is := is.New(t)
	entry := savorypeer.Entry{Address: netip.MustParseAddrPort("10.0.0.1:7001"), Zone: "north-1", Strength: 1.5}
	text := formatEntry(entry)
	is.Equal(text, string(savorygolden.File(t, "entry.txt", []byte(text))))
	read, err := parseEntry(entry.Address.String(), text)
	is.NoErr(err)
	is.Equal(read, entry)
}
