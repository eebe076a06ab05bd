// Package savorystream decides which tokens of an engine are sent to the
// caller.
//
// A Sequence tracks one request over all its attempts. Token indexes run on over
// the attempts: a Sequence accepts the token of the current attempt whose index
// follows that of the last accepted token of any attempt, if the hops that ran
// for the token equal the chain and cover every layer once and in order. It
// drops late tokens of older attempts and rejects all others as invalid.
//
// The package does no I/O and reads no clock.
package savorystream

import (
	"fmt"

	"savorycart.example/savorycore/savoryengine"
)

// Outcome is the decision on a token.
type Outcome int

// The outcomes.
const (
	// Accept means that the token is sent to the caller.
	Accept Outcome = iota
	// Drop means that the token is a late token of an older attempt and is
	// ignored.
	Drop
	// Reject means that the token is invalid, which ends the attempt.
	Reject
)

// Sequence is the sequence of tokens that are accepted for one request over all
// its attempts. Its exported fields are set before its first use.
type Sequence struct {
	// Request is the request's ID.
	Request string
	// Layers is the number of layers of the model.
	Layers int

	attempt  int
	chain    []savoryengine.Hop
	emitted  []string
	finished bool
}

// BeginAttempt starts the next attempt over chain and returns its number. The
// first attempt has number 1.
func (s *Sequence) BeginAttempt(chain []savoryengine.Hop) int {
	s.attempt++
	s.chain = chain
	return s.attempt
}

// Chain returns the chain of the current attempt.
func (s *Sequence) Chain() []savoryengine.Hop { return s.chain }

// Emitted returns the texts of the accepted tokens. The caller must not modify
// the slice.
func (s *Sequence) Emitted() []string { return s.emitted }

// Finished reports whether the final token was accepted.
func (s *Sequence) Finished() bool { return s.finished }

// Receive decides on a received token and advances the next index if the token
// is accepted. The error states why a rejected token is invalid and is nil for
// other tokens.
func (s *Sequence) Receive(t *savoryengine.Token) (Outcome, error) {
	if t.Request != s.Request {
		return Reject, fmt.Errorf("token belongs to request %s, want request %s", t.Request, s.Request)
	}
	if t.Attempt < s.attempt {
		return Drop, nil
	}
	if t.Attempt > s.attempt {
		return Reject, fmt.Errorf("token of attempt %d, but the current attempt is %d", t.Attempt, s.attempt)
	}
	if s.finished {
		return Reject, fmt.Errorf("token %d follows the final token", t.Index)
	}
	if t.Index != len(s.emitted) {
		return Reject, fmt.Errorf("token index %d, want %d", t.Index, len(s.emitted))
	}
	if err := s.checkRan(t.Ran); err != nil {
		return Reject, fmt.Errorf("token %d: %w", t.Index, err)
	}
	s.emitted = append(s.emitted, t.Text)
	s.finished = t.Finish != ""
	return Accept, nil
}

// checkRan returns an error unless ran equals the chain and covers all layers
// once and in order.
func (s *Sequence) checkRan(ran []savoryengine.ExecutedHop) error {
	if len(ran) != len(s.chain) {
		return fmt.Errorf("%d hops ran, want %d", len(ran), len(s.chain))
	}
	next := 0
	for i, hop := range ran {
		want := s.chain[i]
		if hop.Server != want.Server || hop.Layers != want.Layers {
			return fmt.Errorf("hop %d ran layers %s on %s, want layers %s on %s", i, hop.Layers, hop.Server, want.Layers, want.Server)
		}
		if hop.Layers.From != next {
			return fmt.Errorf("hop %d began at layer %d, want %d", i, hop.Layers.From, next)
		}
		next = hop.Layers.To
	}
	if next != s.Layers {
		return fmt.Errorf("layers 0-%d ran, want 0-%d", next-1, s.Layers-1)
	}
	return nil
}
