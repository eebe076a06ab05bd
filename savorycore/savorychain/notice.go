package savorychain

// This file applies what servers state about themselves to the choice.

import (
	"fmt"
	"time"

	"savorycart.example/savorycore/savorynotice"
)

// LimitedError is returned if servers are available, and those that could take the request
// take none now, by what they state about themselves.
type LimitedError struct {
	// Name is the name of the pipeline or service.
	Name string
	// RetryAfter is the time after which a server takes a further request.
	RetryAfter time.Duration
	// Err is ErrNoChain or ErrNoServer.
	Err error
}

var _ error = (*LimitedError)(nil)

// Error returns the pipeline or service and the time.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("the servers of %s take no further request for %s", e.Name, e.RetryAfter)
}

// Unwrap returns the error for a pipeline or service that has no server.
func (e *LimitedError) Unwrap() error { return e.Err }

// Observe records what a server states about itself in a response that arrived at now, to a
// request that was sent at sentAt. It returns the changes.
func (t *Table) Observe(server string, sentAt, now time.Time, n savorynotice.Notice) []savorynotice.Change {
	if t.states[server] == nil {
		return nil
	}
	return t.Notices.Observe(server, time.Time{}, sentAt, now, n)
}

// takes reports whether a server takes a request of this entry now.
func (t *Table) takes(demand string, s *serverState, now time.Time) bool {
	delay, ok := t.Notices.Delay(demand, s.server.Name, now)
	return ok && delay == 0
}

// limited returns the error for a request that none of the servers takes now.
func (t *Table) limited(name, demand string, servers []*serverState, now time.Time, err error) error {
	ids := make([]string, len(servers))
	for i, s := range servers {
		ids[i] = s.server.Name
	}
	return &LimitedError{Name: name, RetryAfter: t.Notices.ReturnDelay(demand, ids, now), Err: err}
}

// demandKey returns the key of the demand for a model, with which engines share limits.
func (k modelKey) demandKey() string { return k.model + " " + k.version }
