package savoryroster

// This file defines Health, which determines which servers are avoided after failures.

import "time"

const (
	// minBackoff is how long a server is avoided after its first failure. The time
	// doubles with each further failure, up to maxBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 8 * time.Second
	// failureCountTTL is the time without a failure after which the count of failures
	// restarts at 0.
	failureCountTTL = 10 * time.Second
	// answersPerDrop is the number of answers for which the usual retry budget of 0.2 has one retry.
	answersPerDrop = 5
)

const (
	// maxHeartbeatDelay is the longest time from the writing of a heartbeat to its
	// reading here: the interval at which the list is read, and the transmission.
	maxHeartbeatDelay = 900 * time.Millisecond
	// reportedFailureTTL is how long a server is avoided after a reported failure if
	// no heartbeat clears the report, for instance because the list is not read.
	reportedFailureTTL = 10 * time.Second
)

// Health tracks the failures of servers by incarnation. The zero value is ready for
// use.
type Health struct {
	states map[string]*healthState
}

type healthState struct {
	failures int
	lastAt   time.Time
	until    time.Time
	// reportedAt is when the server was reported not to respond, by an engine, a peer
	// or the entry's own check. A later heartbeat clears it.
	reportedAt time.Time
	// refusedUntil is until when a server that refused work is avoided.
	refusedUntil time.Time
	// dropped is set once a response of the server was dropped, and answers is the number of its
	// answers since the last one.
	dropped bool
	answers int
}

// state returns the state of a server and adds it if there is none.
func (h *Health) state(id string) *healthState {
	if h.states == nil {
		h.states = make(map[string]*healthState)
	}
	if h.states[id] == nil {
		h.states[id] = &healthState{}
	}
	return h.states[id]
}

// RecordRefusal records that a server does not take a request, for instance because
// its memory is full. It is avoided for minBackoff, but has not failed. RecordRefusal
// returns the end of that time.
func (h *Health) RecordRefusal(id string, now time.Time) time.Time {
	s := h.state(id)
	s.refusedUntil = now.Add(minBackoff)
	return s.refusedUntil
}

// RecordDropped records that a response of the server was dropped, because it was no answer. A server
// that spoils few of its responses is not avoided, since it serves most requests. One that spoils more
// than one of answersPerDrop is, like one that refuses work.
func (h *Health) RecordDropped(id string, now time.Time) {
	s := h.state(id)
	if s.dropped && s.answers < answersPerDrop {
		h.RecordRefusal(id, now)
	}
	s.dropped, s.answers = true, 0
}

// RecordFailure records a failure and returns the time until which the server is
// avoided.
func (h *Health) RecordFailure(id string, now time.Time) time.Time {
	s := h.state(id)
	if now.Sub(s.lastAt) > failureCountTTL {
		*s = healthState{refusedUntil: s.refusedUntil}
	}
	if now.Before(s.until) {
		// Requests that were sent before the first failure fail together and count as one
		// failure.
		s.lastAt = now
		return s.until
	}
	backoff := min(maxBackoff, minBackoff<<min(s.failures, 6))
	s.failures++
	s.lastAt = now
	s.until = now.Add(backoff)
	return s.until
}

// RecordReportedFailure records a failure with RecordFailure and that the server was
// reported not to respond. The server is avoided until a later heartbeat is read, at
// most for reportedFailureTTL.
func (h *Health) RecordReportedFailure(id string, now time.Time) {
	h.RecordFailure(id, now)
	if s := h.states[id]; s.reportedAt.IsZero() {
		s.reportedAt = now
	}
}

// Heartbeat records that a heartbeat of the server was first read at heartbeatAt.
func (h *Health) Heartbeat(id string, heartbeatAt time.Time) {
	if s := h.states[id]; s != nil && !s.reportedAt.IsZero() && heartbeatAt.Sub(s.reportedAt) > maxHeartbeatDelay {
		s.reportedAt = time.Time{}
	}
}

// RecordSuccess records a response of the server, which ends the avoidance.
func (h *Health) RecordSuccess(id string) {
	if s := h.states[id]; s != nil {
		s.until, s.reportedAt, s.refusedUntil = time.Time{}, time.Time{}, time.Time{}
		s.answers++
	}
}

// Avoided reports whether a server is avoided at now, after a failure or a refusal.
func (h *Health) Avoided(id string, now time.Time) bool {
	s := h.states[id]
	return s != nil && now.Before(s.refusedUntil) || h.Failing(id, now)
}

// Failing reports whether a server is avoided at now because it failed.
func (h *Health) Failing(id string, now time.Time) bool {
	s := h.states[id]
	if s == nil {
		return false
	}
	return now.Before(s.until) || !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportedFailureTTL
}

// Forget removes the state of a server that is no longer listed.
func (h *Health) Forget(id string) { delete(h.states, id) }
