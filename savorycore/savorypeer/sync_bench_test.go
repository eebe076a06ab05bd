package savorypeer

import (
	"fmt"
	"net/netip"
	"testing"

	"savorycart.example/savorycore/savorypath"
)

// BenchmarkSyncState measures what one message between a zone leader and an entry of a
// fleet of 295 entries and 190 engines costs each side.
func BenchmarkSyncState(b *testing.B) {
	const entries, engines = 295, 190
	s := &SyncState{From: Entry{Address: netip.MustParseAddrPort("10.0.0.1:7001"), Zone: "zone-a", Strength: 0.5}}
	for i := range entries {
		s.Entries = append(s.Entries, Entry{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7001), Zone: "zone-a", Strength: 0.5})
	}
	for i := range engines {
		s.Loads = append(s.Loads, savorypath.Load{Server: fmt.Sprintf("i-%010x", i), Requests: 17, Memory: 161234, First: 3})
	}
	for b.Loop() {
		body, err := codec{}.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		if err := (codec{}).Unmarshal(body, new(SyncState)); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(body)), "bytes")
	}
}
