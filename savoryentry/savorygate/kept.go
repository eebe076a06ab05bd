package savorygate

// This file keeps a copy of the list of servers in the store. What servers write
// into the platform's list lapses while the store is away and is back only some
// seconds after its return; a gate that has started meanwhile knows no older list.

import (
	"context"
	"fmt"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savorywire"
)

const (
	listSnapshotKey = "savorycart/roster"
	// maxListSnapshotBytes is the largest copy: the store takes no value above 1 MiB, and
	// the copy is encoded in base64 on the way.
	maxListSnapshotBytes = 700 << 10
)

// listSnapshotState is the copy as this entry last wrote or saw it.
type listSnapshotState struct {
	fingerprint    uint64
	revision int64
}

// storeListSnapshot writes the copy if the list says something else than it. Another
// reader may have written one since; then its revision is learned, and the next
// reading writes.
func (g *Gate) storeListSnapshot(ctx context.Context, k *listSnapshotState) {
	listing, _ := g.view.listing(g.now())
	snapshot := listing.Snapshot()
	fingerprint := snapshot.Fingerprint()
	if fingerprint == k.fingerprint || len(snapshot.Servers) == 0 {
		return
	}
	body, err := savorywire.Encode(snapshot)
	if err == nil && len(body) > maxListSnapshotBytes {
		err = fmt.Errorf("copy has %d bytes, of at most %d", len(body), maxListSnapshotBytes)
	}
	if err != nil {
		g.Log.WithError(err).Warn("copy of the list not kept")
		k.fingerprint = fingerprint
		return
	}
	result, err := g.Store.Swap(ctx, savorystore.Swap{Key: listSnapshotKey, ExpectedRevision: k.revision, Body: body})
	g.recordStoreResult("swap", err)
	if err != nil {
		g.Log.WithError(err).Info("copy of the list not kept")
		return
	}
	if !result.Applied {
		k.revision = result.Current.Revision
		return
	}
	k.fingerprint, k.revision = fingerprint, result.Revision
	g.Log.WithFields(log.Fields{"servers": len(snapshot.Servers), "listRevision": snapshot.Revision, "revision": result.Revision}).Debug("copy of the list kept")
}

// loadListSnapshot takes the copy before this entry's first reading of the list: servers
// that the list lacks may have lapsed while the store was away, before the entry
// started. They are dropped soon if they do not come back.
func (g *Gate) loadListSnapshot(ctx context.Context) {
	if g.view.hasList() || g.Settings().FirstStart && !g.storeUnreachable.Load() {
		return
	}
	v, err := g.Store.Get(ctx, listSnapshotKey)
	g.recordStoreResult("get", err)
	if err != nil || !v.Exists() {
		return
	}
	l := new(savoryroster.Listing)
	if err = savorywire.Decode(v.Body, l); err == nil {
		err = l.Check()
	}
	if err != nil {
		g.Log.WithError(err).WithField("key", listSnapshotKey).Error("copy of the list cannot be read; the list alone counts")
		return
	}
	g.view.applySnapshot(l, g.now(), g.config())
	g.wakeSync()
	g.Log.WithFields(log.Fields{"servers": len(l.Servers), "listRevision": l.Revision, "revision": v.Revision}).Info("copy of the list recalled")
}
