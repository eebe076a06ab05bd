package savorygate

import (
	"testing"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorypeer"
)

// A large configuration must not be sent to a peer that is not known to lack it, nor
// twice at once. Both would happen with many unreachable or slow entries, if each
// call carried the configuration.
func TestLargeStateIsSentOnlyToPeersLackingIt(t *testing.T) {
	is := is.New(t)
	f := newEntryFleet(1, 3)
	r, peer := f.entries[f.order[0]], f.entries[f.order[1]].self
	known, ok := r.beginCall(peer.Address)
	is.True(ok)
	is.True(known == nil) // no contact yet
	r.endCall(peer.Address)
	r.recordState(&savorypeer.SyncState{From: peer, Known: savorypeer.Versions{Config: 7}}, f.now)
	known, ok = r.beginCall(peer.Address)
	is.True(ok)
	is.Equal(known.Config, int64(7))
	known, ok = r.beginCall(peer.Address)
	is.True(ok)
	is.True(known == nil) // a call is in progress
}
