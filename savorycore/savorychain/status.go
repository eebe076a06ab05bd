package savorychain

// This file defines the status of a table for operators.

import (
	"cmp"
	"slices"
	"time"
)

// ServerStatus is the state of a backend server in the table of this entry.
type ServerStatus struct {
	Server    string
	Leaving   bool
	Suspected bool
	// Own is the number of the entry's requests in flight at the server.
	Own int
	// Estimate is the estimated work of all entries at the server.
	Estimate Work
}

// Status returns the status of the servers of the configuration, sorted by
// name.
func (t *Table) Status(now time.Time) []ServerStatus {
	status := make([]ServerStatus, 0, len(t.states))
	for name, s := range t.states {
		status = append(status, ServerStatus{
			Server: name, Leaving: s.isLeaving(), Suspected: s.isSuspected(now), Own: s.running, Estimate: s.estimatedWork(now),
		})
	}
	slices.SortFunc(status, func(a, b ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
	return status
}

// WaitingPromptTokens returns the estimated number of prompt tokens that are
// queued at the engines that this entry uses.
func (t *Table) WaitingPromptTokens(now time.Time) int {
	tokens := 0
	for _, groups := range t.groups {
		for _, g := range groups {
			for _, s := range g.members {
				tokens += s.estimatedWork(now).Prompt
			}
		}
	}
	return tokens
}
