package savorynode

// This file defines the shared tables: the decision tables of the core
// packages, each with its own lock.
//
// Lock order: configKeeper, members, limits, chains. A goroutine that holds one
// lock acquires only locks that come later in this order, and does no I/O while
// it holds one.

import (
	"sync"
	"time"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryworld"
)

// guarded is a value with a lock.
type guarded[T any] struct {
	mu    sync.Mutex
	value T
}

// with calls f with the value while it holds the lock.
func (g *guarded[T]) with(f func(*T)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.value)
}

// memberState holds the view of the fleet and the marks of leaving servers.
type memberState struct {
	table savorymember.Table
	marks savorymember.Marks
}

// limitState holds the contracts, the retry budget and the fairness counts.
type limitState struct {
	limiter  savorylimit.Limiter
	budget   savorylimit.RetryBudget
	fairness savorylimit.Fairness
}

// tables holds the shared tables of one entry.
type tables struct {
	members guarded[memberState]
	limits  guarded[limitState]
	chains  guarded[savorychain.Table]
	// quarantine is used alone, without another lock.
	quarantine guarded[savoryquarantine.Tracker]
}

// chooseChain returns the best chain for req at now.
func (t *tables) chooseChain(req savorychain.Request, now time.Time) (choice savorychain.Choice, err error) {
	t.chains.with(func(table *savorychain.Table) {
		choice, err = table.Choose(req, now)
	})
	return choice, err
}

// recordSent records that a request with a prompt of the given number of
// tokens is sent along the chosen chain. It returns nil if a server of the
// chain has become unusable since the choice, as a leaving server does.
func (t *tables) recordSent(choice savorychain.Choice, tokens int, now time.Time) *savorychain.Flight {
	var flight *savorychain.Flight
	t.chains.with(func(table *savorychain.Table) {
		for _, hop := range choice.Chain {
			if !table.Usable(hop.Server) {
				return
			}
		}
		flight = table.RecordSent(choice, tokens, now)
	})
	return flight
}

// setSnapshot sets the snapshot in the chain table and reapplies the leaving
// marks.
func (t *tables) setSnapshot(s *savoryconfig.Snapshot, now time.Time) {
	leaving := t.leavingServers(s, now)
	t.chains.with(func(table *savorychain.Table) {
		table.SetSnapshot(s)
		for _, server := range leaving {
			table.SetLeaving(server, true)
		}
	})
}

// leavingServers returns the servers of s that are leaving by a mark in
// force.
func (t *tables) leavingServers(s *savoryconfig.Snapshot, now time.Time) []string {
	var leaving []string
	t.members.with(func(m *memberState) {
		for _, server := range s.Document.BackendServers {
			if m.marks.Leaving(server.Name, now) {
				leaving = append(leaving, server.Name)
			}
		}
	})
	return leaving
}

// mergeMarks merges marks and returns those that changed the set.
func (t *tables) mergeMarks(marks []savorymember.Mark, now time.Time) []savorymember.Mark {
	var added []savorymember.Mark
	t.members.with(func(m *memberState) {
		for _, mark := range marks {
			if m.marks.Merge(mark) {
				added = append(added, mark)
			}
		}
	})
	t.refreshLeaving(added, now)
	return added
}

// refreshLeaving updates the chain table for the servers of marks.
func (t *tables) refreshLeaving(marks []savorymember.Mark, now time.Time) {
	for _, mark := range marks {
		leaving := false
		t.members.with(func(m *memberState) { leaving = m.marks.Leaving(mark.Server, now) })
		t.chains.with(func(table *savorychain.Table) { table.SetLeaving(mark.Server, leaving) })
	}
}

// expireMarks removes the expired marks.
func (t *tables) expireMarks(now time.Time) {
	var expired []savorymember.Mark
	t.members.with(func(m *memberState) { expired = m.marks.Expire(now) })
	t.refreshLeaving(expired, now)
}

// allMarks returns the marks in force and their digest.
func (t *tables) allMarks(now time.Time) ([]savorymember.Mark, uint64) {
	var marks []savorymember.Mark
	var digest uint64
	t.members.with(func(m *memberState) {
		marks = m.marks.All(now)
		digest = m.marks.Digest(now)
	})
	return marks, digest
}

// setListedVMs sets the VMs of the platform's list in the tables.
func (t *tables) setListedVMs(vms []savoryworld.VM, now time.Time) {
	t.members.with(func(m *memberState) { m.table.SetListed(vms, now) })
	var entries []string
	for _, vm := range vms {
		if vm.Entry {
			entries = append(entries, vm.Address.String())
		}
	}
	t.limits.with(func(l *limitState) { l.limiter.SetEntries(entries) })
	t.chains.with(func(table *savorychain.Table) {
		table.Notices.SetEntries(entries)
		table.Notices.Expire(now)
	})
}
