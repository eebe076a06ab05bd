package savorygate

// This file tests when an entry reads the store.

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savorystore"
)

// Pattern: the store is away for a moment, in which the entry that reads it fails to read the
// configuration; another entry then reads the list of servers and passes it on. Guards against a
// configuration that nobody reads until the list is stale: the failed entry is no reader, as it
// has not reached the store, and entries that are not the first leave the store to it.
func TestFirstEntryRepeatsFailedReading(t *testing.T) {
	const (
		drainTime = 20 * time.Second // the list is stale after 11 s
		patience  = 4 * storeRetryDelay
	)
	for _, tt := range []struct {
		name  string
		entry int
		want  int // readings
	}{
		{name: "the first entry of its zone", entry: 0, want: 2},
		{name: "another entry", entry: 1, want: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			self := zoneEntry(0, tt.entry)
			g := newPreparedGate(t, &Settings{Zone: self.Zone, Peers: self.Address, Strength: self.Strength, DrainTime: drainTime, ConfigTime: 2 * time.Second})
			for i := range maxMeshEntriesPerZone + 1 {
				e := zoneEntry(0, i)
				g.relay.addEntries([]savorypeer.Entry{e}, g.now())
				g.relay.recordState(&savorypeer.SyncState{From: e, StoreWorks: i != 0}, g.now())
			}
			var readings atomic.Int32 // the first one at once, as the entry has no list
			g.Store.Get = func(context.Context, string) (savorystore.Value, error) {
				// Another entry's list arrives.
				l := &savoryroster.Listing{Revision: 5, Servers: []savoryroster.Server{{ID: "e", Service: "s", Address: self.Address, Born: g.now(), Beat: 1}}}
				g.applyList(l, reading{id: 8, at: g.bootNow()}, "peer")
				if readings.Add(1) == 1 {
					return savorystore.Value{}, errNoAnswer
				}
				return savorystore.Value{}, nil
			}
			g.tomb.Go(g.followConfig)
			time.Sleep(patience)
			g.tomb.Kill(nil)
			is.NoErr(g.tomb.Wait())
			is.Equal(int(readings.Load()), tt.want)
		})
	}
}
