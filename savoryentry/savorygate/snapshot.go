package savorygate

// This file stores snapshots of what an entry knows in the store, for entries that start
// later. Snapshot of the list of servers: their registrations in the platform's list expire
// while the store is unreachable, and return only some seconds after it has recovered.
// Snapshot of the quarantined parts of prompts: all entries may end at once.

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savorywire"
)

const (
	listSnapshotKey       = "savorycart/roster"
	quarantineSnapshotKey = "savorycart/quarantine"
	// maxSnapshotBytes bounds a snapshot: the store accepts no value above
	// 1 MiB, and the value is sent in base64.
	maxSnapshotBytes = 700 << 10
)

// snapshotState is the fingerprint and the revision of a snapshot in the store that this
// entry wrote or read last.
type snapshotState struct {
	fingerprint uint64
	revision    int64
	// era is the era of the store in which the snapshot was written or read.
	era int64
}

// storeListSnapshot writes a snapshot if the list has changed since the last one. If
// another reader has written one, its revision is recorded, and the next call
// writes.
func (g *Gate) storeListSnapshot(k *snapshotState) {
	listing, _ := g.view.listForPeers(g.bootNow())
	snapshot := listing.Snapshot()
	if len(snapshot.Servers) == 0 || !k.differs(snapshot.Fingerprint(), g.storeEra.Load()) {
		return
	}
	if g.storeSnapshot(k, listSnapshotKey, snapshot.Fingerprint(), snapshot) {
		g.Log.WithFields(log.Fields{"servers": len(snapshot.Servers), "listRevision": snapshot.Revision, "revision": k.revision}).Debug("snapshot of the server list stored")
	}
}

// differs reports whether a snapshot with the fingerprint is not in the store.
func (k *snapshotState) differs(fingerprint uint64, era int64) bool {
	if era != k.era {
		// The snapshot in the store is older than the copy from which the store was
		// restored, or the same one.
		*k = snapshotState{era: era}
	}
	return fingerprint != k.fingerprint
}

// storeSnapshot writes a snapshot and reports whether it is in the store. If another entry
// has written one, its revision is recorded, and the next call writes.
func (g *Gate) storeSnapshot(k *snapshotState, key string, fingerprint uint64, snapshot any) bool {
	body, err := savorywire.Encode(snapshot)
	if err == nil && len(body) > maxSnapshotBytes {
		err = fmt.Errorf("snapshot has %d bytes, maximum is %d", len(body), maxSnapshotBytes)
	}
	if err != nil {
		g.Log.WithError(err).WithField("key", key).Warn("snapshot not stored")
		k.fingerprint = fingerprint
		return false
	}
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout+transferTime(len(body)))
	defer cancel()
	result, err := g.Store.Swap(ctx, savorystore.Swap{Key: key, ExpectedRevision: k.revision, Body: body})
	g.recordStoreResult("swap", err)
	if err != nil {
		g.Log.WithError(err).WithField("key", key).Info("snapshot not stored")
		return false
	}
	if !result.Applied {
		k.revision = result.Current.Revision
		return false
	}
	k.fingerprint, k.revision = fingerprint, result.Revision
	return true
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

// quarantineSnapshot is the snapshot of the quarantined parts of prompts. Their ages are
// those at WrittenAt.
type quarantineSnapshot struct {
	WrittenAt time.Time
	Blames    []savoryquarantine.Blame
}

// storeQuarantine writes the quarantined parts if they have changed since the last
// snapshot.
func (g *Gate) storeQuarantine(k *snapshotState) {
	now := g.now()
	g.quarantine.mu.Lock()
	blames := g.quarantine.tracker.Blames(now)
	loaded := g.quarantine.loaded
	g.quarantine.mu.Unlock()
	fingerprint := uint64(0)
	for _, b := range blames {
		fingerprint += xxhash.Sum64String(fmt.Sprint(b.Part, b.Trials))
	}
	if !loaded || !k.differs(fingerprint, g.storeEra.Load()) {
		return
	}
	if g.storeSnapshot(k, quarantineSnapshotKey, fingerprint, &quarantineSnapshot{WrittenAt: now, Blames: blames}) {
		g.Log.WithFields(log.Fields{"parts": len(blames), "revision": k.revision}).Info("quarantined parts of prompts stored")
	}
}

// loadQuarantine adds the parts that were quarantined before this entry started.
func (g *Gate) loadQuarantine(ctx context.Context) {
	g.quarantine.mu.Lock()
	loaded := g.quarantine.loaded || g.Settings().FirstStart
	g.quarantine.loaded = loaded
	g.quarantine.mu.Unlock()
	if loaded {
		return
	}
	v, err := g.Store.Get(ctx, quarantineSnapshotKey)
	g.recordStoreResult("get", err)
	if err != nil {
		g.Log.WithError(err).Info("quarantined parts of prompts not read")
		return
	}
	g.quarantine.mu.Lock()
	g.quarantine.loaded = true
	g.quarantine.mu.Unlock()
	if !v.Exists() {
		return
	}
	s := new(quarantineSnapshot)
	state := new(savoryquarantine.State)
	if err = savorywire.Decode(v.Body, s); err == nil {
		age := max(0, g.now().Sub(s.WrittenAt))
		for _, b := range s.Blames {
			b.Age, b.TrialAge = b.Age+age, b.TrialAge+age
			state.Blames = append(state.Blames, b)
		}
		err = state.Check()
	}
	if err != nil {
		g.Log.WithError(err).WithField("key", quarantineSnapshotKey).Error("quarantined parts of prompts cannot be read")
		return
	}
	g.mergeQuarantine(state)
	g.Log.WithFields(log.Fields{"parts": len(state.Blames), "revision": v.Revision}).Info("quarantined parts of prompts loaded")
}
