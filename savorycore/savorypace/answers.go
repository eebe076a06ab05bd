package savorypace

// This file changes allowances by the answers of servers.

import (
	"math"
	"math/bits"
	"time"
)

const (
	// usualQuantile is the quantile of the times of proven servers that counts as usual, and
	// slackFactor the multiple of it up to which an answer is in time. Together they let pass
	// nearly all answers of a server like the others.
	usualQuantile = 0.9
	slackFactor   = 1.5
	// minStep is the relative step of the estimate; it begins with larger ones.
	minStep = 0.05
	// sizeClasses is the number of classes of requests by size, each four times the one before.
	sizeClasses = 16
	// raiseFactor multiplies the allowance after an answer in time, lowerFactor after a slower
	// one or a rejection.
	raiseFactor = 2
	lowerFactor = 0.5
	// steadyStep is added after an answer that is slower than usual but not slower than the
	// server's answers before: it is a slow kind of server, or still warming up, and the
	// requests of this entry do not make it slower.
	steadyStep = 0.125
	// steadyFactor is the multiple of its average up to which a server's time counts as not
	// slower, slownessWeight the weight of a new ratio in that average.
	steadyFactor   = 1.25
	slownessWeight = 0.25
)

// answerTimes are the usual times of the answers of one kind, by size of the request.
type answerTimes [sizeClasses]usualTime

// usualTime estimates a quantile of times, in seconds.
type usualTime struct {
	seconds float64
	n       int
}

func (u *usualTime) add(seconds float64) {
	u.n++
	if u.n == 1 {
		u.seconds = seconds
		return
	}
	step := max(minStep, 1/float64(u.n))
	if seconds > u.seconds {
		u.seconds *= math.Exp(step * usualQuantile)
	} else {
		u.seconds *= math.Exp(-step * (1 - usualQuantile))
	}
}

// Answer is an answer, or the first event of one.
type Answer struct {
	Service string
	// Kind names requests whose answers take similar times, for instance a route.
	Kind string
	// Size is the size of the request in any unit. Only requests of similar size are compared,
	// since a long prompt or body takes long at any server.
	Size int
	// Took is the time since the request was sent.
	Took time.Duration
}

func (svc *service) usual(a Answer) *usualTime {
	times := svc.times[a.Kind]
	if times == nil {
		times = new(answerTimes)
		svc.times[a.Kind] = times
	}
	return &times[min(sizeClasses-1, bits.Len(uint(max(0, a.Size)))/2)]
}

// Answered records an answer that the servers made together.
func (t *Table) Answered(a Answer, servers []string, now time.Time) {
	svc := t.services[a.Service]
	if svc == nil {
		return
	}
	u, seconds, proven := svc.usual(a), max(a.Took.Seconds(), 1e-9), true
	for _, id := range servers {
		s := t.servers[id]
		if s == nil || s.proven || s.service != svc {
			continue
		}
		proven = false
		switch {
		case now.Add(-a.Took).Before(s.since):
			// The request was sent before the server failed.
		case u.n == 0 && svc.bounded():
			// Proven servers have not shown the usual time yet.
			t.raise(s, s.allowance+steadyStep, now)
		case u.n == 0 || seconds <= slackFactor*u.seconds:
			t.raise(s, s.allowance*raiseFactor, now)
		default:
			t.recordSlow(s, seconds/u.seconds, now)
		}
	}
	if proven || !svc.bounded() {
		u.add(seconds)
	}
}

// recordSlow records an answer that took ratio times the usual one.
func (t *Table) recordSlow(s *server, ratio float64, now time.Time) {
	average := s.slowness
	if average == 0 {
		s.slowness = ratio
		return
	}
	s.slowness += slownessWeight * (ratio - average)
	if ratio <= steadyFactor*average {
		t.raise(s, s.allowance+steadyStep, now)
		return
	}
	t.lower(s, "slow")
}

// raise sets a higher allowance. The server is proven once it exceeds its fair share of this
// entry's requests, or is all that the server can run.
func (t *Table) raise(s *server, allowance float64, now time.Time) {
	s.allowance = min(allowance, float64(s.Slots))
	s.raised = s.raised || s.allowance >= min(2, float64(s.Slots))
	fair := float64(s.service.inFlight) * float64(s.Slots) / float64(s.service.slots)
	if s.raised && (s.allowance > max(1, fair) || s.allowance >= float64(s.Slots)) {
		t.prove(s, "answers", now)
	}
}

func (t *Table) lower(s *server, cause string) {
	s.allowance = max(1, s.allowance*lowerFactor)
	if s.raised && s.allowance < 2 {
		s.raised = false
		t.change(s, "lowered", cause)
	}
}

// Rejected records that a server refused a request without running it. A proven server that is
// full has not lost its pace.
func (t *Table) Rejected(id string) {
	if s := t.servers[id]; s != nil && !s.proven {
		t.lower(s, "rejected")
	}
}

// Failed records that a server failed. It is unproven when it is used again.
func (t *Table) Failed(id string, now time.Time) {
	if s := t.servers[id]; s != nil {
		t.restart(s, "failed")
		s.since = now
	}
}
