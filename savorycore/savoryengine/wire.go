// Package savoryengine holds all that the system assumes of model engines.
//
// The entry sends a Run with the whole chain to the engine of the first stage.
// Activations go from stage to stage, the last stage hands each sampled token
// back to the first, and the first streams it to the entry as a server-sent
// event. Each Token names the request, the attempt, its index and the stages
// that ran for it, so that package savorystream can check it. An Order tells
// an engine what to hold; a Status is what the engine says of itself.
//
// Users whose engines differ replace this package.
package savoryengine

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

// The paths that an engine serves.
const (
	PathRun    = "/engine/run"
	PathStep   = "/engine/step"
	PathCancel = "/engine/cancel"
	PathStatus = "/engine/status"
	PathOrder  = "/engine/order"
)

// HeaderFence carries the fencing number of an order.
const HeaderFence = "Engine-Fence"

// Hop is one stage of a chain.
type Hop struct {
	Server  string
	Address netip.AddrPort
	Layers  savoryworld.LayerRange
}

// Run asks for tokens of one request.
type Run struct {
	Request string
	// Attempt grows by one each time the request moves to another chain.
	Attempt int
	Model   string
	Version string
	// Layers is the number of layers of the model.
	Layers int
	Chain  []Hop
	Prompt string
	// Emitted lists the tokens that the caller already has; the first new
	// token has index len(Emitted).
	Emitted []string
	// MaxTokens is the index at which the answer ends.
	MaxTokens int
	Priority  int
	Sampling  Sampling
}

// Sampling is what the caller asked of the choice of tokens. A nil field
// leaves the choice to the engine.
type Sampling struct {
	Temperature *float64 `json:",omitempty"`
	TopP        *float64 `json:",omitempty"`
	Seed        *int64   `json:",omitempty"`
	// Stop lists texts at which the answer ends.
	Stop []string `json:",omitempty"`
}

// ExecutedHop is a stage that ran for one token.
type ExecutedHop struct {
	Server string
	Layers savoryworld.LayerRange
}

// Load is what an engine says of its work; it lags behind.
type Load struct {
	Server string
	// At is the engine's clock when the load was read.
	At time.Time
	// Running is the number of requests in the batch.
	Running int
	// Queued is the number of tokens that wait to be run.
	Queued int
}

// Token is one sampled token.
type Token struct {
	Request string
	Attempt int
	Index   int
	Text    string
	Ran     []ExecutedHop
	// Loads reports the load of stages, on some tokens.
	Loads []Load
	// Finish is set on the last token: "length" or "stop".
	Finish string
}

// Error is an engine's refusal or failure.
type Error struct {
	// Verdict tells whether the engine may have begun to run the request.
	Verdict savoryverdict.Verdict
	// Server is the stage at fault, if known.
	Server string
	// Leaving says that the engine takes no new work.
	Leaving bool
	Message string
}

var _ error = (*Error)(nil)

// Error names the stage and the cause.
func (f *Error) Error() string {
	return fmt.Sprintf("engine %s: %s (%s)", f.Server, f.Message, f.Verdict)
}

// Event is one server-sent event of a run; one field is set.
type Event struct {
	Token *Token `json:",omitempty"`
	Fault *Error `json:",omitempty"`
}

// Check returns an error if the event is not well formed.
func (e *Event) Check() error {
	if (e.Token == nil) == (e.Fault == nil) {
		return errors.New("event must hold exactly one of Token and Fault")
	}
	if e.Fault != nil {
		if !e.Fault.Verdict.Valid() {
			return fmt.Errorf("Fault.Verdict: %q is not a verdict", e.Fault.Verdict)
		}
		return nil
	}
	if e.Token.Request == "" {
		return errors.New("Token.Request: is empty")
	}
	if e.Token.Index < 0 || e.Token.Attempt < 0 {
		return errors.New("Token.Index: index and attempt must not be below 0")
	}
	return nil
}

// Step is what one stage hands to the next: the activations of one token.
type Step struct {
	Request    string
	Attempt    int
	Index      int
	Model      string
	Version    string
	Layers     int
	Chain      []Hop
	Position   int
	Activation uint64
	// Tokens is the number of tokens that the step runs; above 1 when the
	// stage must first run the prompt.
	Tokens int
	Ran    []ExecutedHop
	Loads  []Load
}

// Cancel ends an attempt at an engine.
type Cancel struct {
	Request string
	Attempt int
}

// Assignment is the whole state that an engine should hold.
type Assignment struct {
	Model   string
	Version string
	Adapter string
	Layers  savoryworld.LayerRange
}

// Order tells an engine what to hold. It is idempotent: it states the whole
// wanted state.
type Order struct {
	Fence  int64
	Wanted Assignment
}

// Status is what an engine says of itself.
type Status struct {
	Server  string
	Holds   Assignment
	Leaving bool
	// Loading says that the engine fetches weights for an order.
	Loading bool
	Load    Load
	// Fence is the highest fencing number seen; 0 if the engine keeps none.
	Fence int64
}
