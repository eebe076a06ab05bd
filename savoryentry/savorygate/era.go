package savorygate

// This file follows the eras of the store. A store that was restored from a copy
// begins a new era: what was written after the copy is gone, revisions and the IDs
// of leases are given out again.

import (
	"errors"

	"savorycart.example/savorycore/savorystore"
)

// errStoreRestored is the reason for what ends with an era of the store.
var errStoreRestored = errors.New("the store was restored from a copy")

// ObserveStoreEra records an era of the store that a response of the store or a peer
// stated. Eras only grow: a lower one is that of an answer that arrived late.
func (g *Gate) ObserveStoreEra(era int64) {
	for {
		known := g.storeEra.Load()
		if era <= known {
			return
		}
		if !g.storeEra.CompareAndSwap(known, era) {
			continue
		}
		if known > 0 {
			g.Log.WithField("era", era).WithField("before", known).Warn("store restored from a copy: leases and revisions of the era before are void")
			g.wakeSync()
		}
		return
	}
}

// outdated reports whether something that was read or granted in an era is void,
// because the store has begun a later one.
func (g *Gate) outdated(era int64) bool { return era < g.storeEra.Load() }

// leaseOutdated reports whether a lease was granted in an earlier era of the store.
// Its ID may then belong to another lease.
func (g *Gate) leaseOutdated(l savorystore.Lease) bool { return l.ID != 0 && g.outdated(l.Era) }
