package savoryroster

// This file defines Health, which servers are avoided for their failures.

import "time"

const (
	// minBackoff is how long a server is avoided after a failure; it doubles
	// with each further one up to maxRest.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 8 * time.Second
	// failureCountTTL is the time without a failure after which the count of
	// failures starts anew.
	failureCountTTL = 10 * time.Second
)

const (
	// maxHeartbeatDelay is how much later than it was written a heartbeat may be seen: the
	// interval of the readings of the list, and the way.
	maxHeartbeatDelay = 900 * time.Millisecond
	// reportedFailureTTL bounds how long a named server waits for a heartbeat that clears
	// it, in case the list is not read.
	reportedFailureTTL = 10 * time.Second
)

// Health follows the failures of servers by incarnation. The zero value is
// ready for use.
type Health struct {
	states map[string]*healthState
}

type healthState struct {
	failures int
	lastAt   time.Time
	until    time.Time
	// reportedAt is when an engine named the server as not answering; a later
	// heartbeat clears it.
	reportedAt time.Time
}

// Failed records a failure and returns until when the server is avoided.
func (h *Health) Failed(id string, now time.Time) time.Time {
	if h.states == nil {
		h.states = make(map[string]*healthState)
	}
	s := h.states[id]
	if s == nil || now.Sub(s.lastAt) > failureCountTTL {
		s = &healthState{}
		h.states[id] = s
	}
	if now.Before(s.until) {
		// Requests that were sent before the first failure fail together; they
		// are one finding.
		s.lastAt = now
		return s.until
	}
	backoff := min(maxBackoff, minBackoff<<min(s.failures, 6))
	s.failures++
	s.lastAt = now
	s.until = now.Add(backoff)
	return s.until
}

// FailureReported records that an engine which works with the server found it silent. The
// server is avoided until a heartbeat shows that it lives.
func (h *Health) FailureReported(id string, now time.Time) {
	h.Failed(id, now)
	if s := h.states[id]; s.reportedAt.IsZero() {
		s.reportedAt = now
	}
}

// Heartbeat records that a heartbeat of the server was first seen at beatAt.
func (h *Health) Heartbeat(id string, heartbeatAt time.Time) {
	if s := h.states[id]; s != nil && !s.reportedAt.IsZero() && heartbeatAt.Sub(s.reportedAt) > maxHeartbeatDelay {
		s.reportedAt = time.Time{}
	}
}

// Succeeded records an answer: the server is no longer avoided.
func (h *Health) Succeeded(id string) {
	if s := h.states[id]; s != nil {
		s.until, s.reportedAt = time.Time{}, time.Time{}
	}
}

// Avoided reports whether a server is to be avoided at now.
func (h *Health) Avoided(id string, now time.Time) bool {
	s := h.states[id]
	if s == nil {
		return false
	}
	return now.Before(s.until) || !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportedFailureTTL
}

// Forget drops a server that is gone.
func (h *Health) Forget(id string) { delete(h.states, id) }
