// Package savorystream decides which tokens of an engine reach the caller.
//
// A Sequence follows one request over all its attempts. It accepts the token
// with the next index of the current attempt if the stages that ran for it
// cover every layer once and in order. Tokens of older attempts are late and
// are dropped; anything else is a fault of the chain.
//
// The package does no I/O and reads no clock.
package savorystream

import (
	"fmt"

	"savorycart.example/savorycore/savoryengine"
)

// Outcome says what to do with a token.
type Outcome int

// The outcomes.
const (
	// Accept hands the token to the caller.
	Accept Outcome = iota
	// Drop ignores a late token of an older attempt.
	Drop
	// Reject ends the attempt: its chain broke a rule.
	Reject
)

// Sequence is the state of one request's answer.
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

// BeginAttempt starts the next attempt over chain and returns its number.
func (s *Sequence) BeginAttempt(chain []savoryengine.Hop) int {
	s.attempt++
	s.chain = chain
	return s.attempt
}

// Chain returns the chain of the current attempt.
func (s *Sequence) Chain() []savoryengine.Hop { return s.chain }

// Emitted returns the texts of the accepted tokens. The caller must not change
// it.
func (s *Sequence) Emitted() []string { return s.emitted }

// Finished reports whether the last token was accepted.
func (s *Sequence) Finished() bool { return s.finished }

// Receive decides on a token and, if it is accepted, moves on to the next index.
// The error says which rule a rejected token breaks.
func (s *Sequence) Receive(t *savoryengine.Token) (Outcome, error) {
	if t.Request != s.Request {
		return Reject, fmt.Errorf("token of request %s in the answer to %s", t.Request, s.Request)
	}
	if t.Attempt < s.attempt {
		return Drop, nil
	}
	if t.Attempt > s.attempt {
		return Reject, fmt.Errorf("token of attempt %d while attempt %d runs", t.Attempt, s.attempt)
	}
	if s.finished {
		return Reject, fmt.Errorf("token %d after the last token", t.Index)
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

// checkRan requires that ran is the chain and covers all layers once, in order.
func (s *Sequence) checkRan(ran []savoryengine.Ran) error {
	if len(ran) != len(s.chain) {
		return fmt.Errorf("%d stages ran, want %d", len(ran), len(s.chain))
	}
	next := 0
	for i, stage := range ran {
		hop := s.chain[i]
		if stage.Server != hop.Server || stage.Layers != hop.Layers {
			return fmt.Errorf("stage %d ran layers %s on %s, want layers %s on %s", i, stage.Layers, stage.Server, hop.Layers, hop.Server)
		}
		if stage.Layers.From != next {
			return fmt.Errorf("stage %d began at layer %d, want %d", i, stage.Layers.From, next)
		}
		next = stage.Layers.To
	}
	if next != s.Layers {
		return fmt.Errorf("layers 0-%d ran, want 0-%d", next-1, s.Layers-1)
	}
	return nil
}
