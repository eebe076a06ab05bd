package savorygate

// This file stores a snapshot of the list of servers in the store. The servers'
// registrations in the platform's list expire while the store is unreachable, and return
// only some seconds after it has recovered; a gate that started in the meantime
// has no older list.

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
	// maxListSnapshotBytes bounds a snapshot: the store accepts no value above
	// 1 MiB, and the value is sent in base64.
	maxListSnapshotBytes = 700 << 10
)

// listSnapshotState is the fingerprint and the revision of the snapshot in the store
// that this entry wrote or read last.
type listSnapshotState struct {
	fingerprint uint64
	revision    int64
	// era is the era of the store in which the snapshot was written or read.
	era int64
}

// storeListSnapshot writes a snapshot if the list has changed since the last one. If
// another reader has written one, its revision is recorded, and the next call
// writes.
func (g *Gate) storeListSnapshot(k *listSnapshotState) {
	listing, _ := g.view.listForPeers(g.now())
	snapshot := listing.Snapshot()
	if era := g.storeEra.Load(); era != k.era {
		// The snapshot in the store is older than the copy from which the store was
		// restored, or the same one.
		*k = listSnapshotState{era: era}
	}
	fingerprint := snapshot.Fingerprint()
	if fingerprint == k.fingerprint || len(snapshot.Servers) == 0 {
		return
	}
	body, err := savorywire.Encode(snapshot)
	if err == nil && len(body) > maxListSnapshotBytes {
		err = fmt.Errorf("snapshot has %d bytes, maximum is %d", len(body), maxListSnapshotBytes)
	}
	if err != nil {
		g.Log.WithError(err).Warn("snapshot of the server list not stored")
		k.fingerprint = fingerprint
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout+transferTime(len(body)))
	defer cancel()
	result, err := g.Store.Swap(ctx, savorystore.Swap{Key: listSnapshotKey, ExpectedRevision: k.revision, Body: body})
	g.recordStoreResult("swap", err)
	if err != nil {
		g.Log.WithError(err).Info("snapshot of the server list not stored")
		return
	}
	if !result.Applied {
		k.revision = result.Current.Revision
		return
	}
	k.fingerprint, k.revision = fingerprint, result.Revision
	g.Log.WithFields(log.Fields{"servers": len(snapshot.Servers), "listRevision": snapshot.Revision, "revision": result.Revision}).Debug("snapshot of the server list stored")
}

// loadListSnapshot applies the snapshot before this entry's first reading of the
// list: servers that the list lacks may have expired while the store was
// unreachable, before this entry started. They are removed soon if they do not
// return.
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
		g.Log.WithError(err).WithField("key", listSnapshotKey).Error("snapshot of the server list cannot be read; using only the platform's list")
		return
	}
	g.view.applySnapshot(l, g.now(), g.config())
	g.wakeSync()
	g.Log.WithFields(log.Fields{"servers": len(l.Servers), "listRevision": l.Revision, "revision": v.Revision}).Info("snapshot of the server list loaded")
}
