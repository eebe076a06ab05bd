package savorygate

import (
	"testing"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorypeer"
)

// Pattern: a large configuration while many entries are cut off or slow. Nothing
// is sent to a peer of which it is not known that it lacks it, and not twice at
// once.
func TestLargeStateIsSentOnlyToPeersLackingIt(t *testing.T) {
	is := is.New(t)
	f := newPeerFleet(1, 3)
	r, peer := f.relays[f.order[0]], f.relays[f.order[1]].self
	known, ok := r.beginCall(peer.Address)
	is.True(ok)
	is.True(known == nil) // never heard
	r.endCall(peer.Address)
	r.recordState(&savorypeer.SyncState{From: peer, Known: savorypeer.Versions{Config: 7}}, f.now)
	known, ok = r.beginCall(peer.Address)
	is.True(ok)
	is.Equal(known.Config, int64(7))
	known, ok = r.beginCall(peer.Address)
	is.True(ok)
	is.True(known == nil) // a call is under way
}
