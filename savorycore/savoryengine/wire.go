// Package savoryengine defines the protocol between entries and model engines:
// the messages, their encoding and a client. It is the only package that makes
// assumptions about engines; users whose engines differ replace it.
//
// The entry sends a Run with the whole chain to the engine of the first stage.
// Activations are passed from stage to stage. The last stage returns each
// sampled token to the first stage, which streams it to the entry as a
// server-sent event. Each Token carries the request, the attempt, its index and
// the stages that ran for it, so that package savorystream can check it. An
// Order states the assignment of an engine; a Status is the report of an
// engine.
package savoryengine

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"savorycart.example/savorycore/savorynotice"
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

// HeaderFence carries the fencing token of an order.
const HeaderFence = "Engine-Fence"

// Hop is one stage of a chain.
type Hop struct {
	Server  string
	Address netip.AddrPort
	Layers  savoryworld.LayerRange
}

// Run requests tokens for one request.
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
	// Emitted lists the tokens that the caller already has. The first new token
	// has index len(Emitted).
	Emitted []string
	// MaxTokens is the index at which the answer ends.
	MaxTokens int
	Priority  int
	Sampling  Sampling
}

// Sampling holds the sampling parameters of the caller. For a nil field the
// engine applies its own default.
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

// Load is an engine's report of its work. It lags behind the actual load.
type Load struct {
	Server string
	// At is the time of the engine's clock when the load was read.
	At time.Time
	// Running is the number of requests in the batch.
	Running int
	// Queued is the number of tokens that wait to be run.
	Queued int
	// Limit is the rate of runs, per second, that the engine accepts from all entries
	// together as the first stage; 0 if it has no limit.
	Limit float64 `json:",omitempty"`
}

// Notice returns what the load states about the engine.
func (l Load) Notice() savorynotice.Notice {
	n := savorynotice.Notice{Limit: l.Limit}
	if l.Limit != 0 && savorynotice.CheckLimit(l.Limit) != nil {
		n = savorynotice.Notice{LimitUnknown: true}
	}
	return n
}

// Token is one sampled token.
type Token struct {
	Request string
	Attempt int
	Index   int
	Text    string
	Ran     []ExecutedHop
	// Loads reports the load of stages; it is set on some tokens only.
	Loads []Load
	// Finish is set on the last token: "length" or "stop".
	Finish string
}

// Error reports that an engine refused or failed a request.
type Error struct {
	// Verdict states whether the engine may have begun to run the request.
	Verdict savoryverdict.Verdict
	// Server is the stage that failed, empty if unknown.
	Server string
	// Leaving is set if the engine accepts no new work.
	Leaving bool
	// PauseSeconds is how long the engine wants no run from the entry; 0 if it states none.
	PauseSeconds float64 `json:",omitempty"`
	Message      string
}

var _ error = (*Error)(nil)

// Error returns the stage, the message and the verdict.
func (f *Error) Error() string {
	return fmt.Sprintf("engine %s: %s (%s)", f.Server, f.Message, f.Verdict)
}

// Event is one server-sent event of a run. Exactly one field is set.
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

// Step is the message from one stage to the next. It carries the activations of
// one token.
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
	// Tokens is the number of tokens that the step runs. It is above 1 if the
	// stage must first run the prompt.
	Tokens int
	Ran    []ExecutedHop
	Loads  []Load
}

// Cancel stops an attempt at an engine.
type Cancel struct {
	Request string
	Attempt int
}

// Assignment is the complete state that an engine should hold, or holds.
type Assignment struct {
	Model   string
	Version string
	Adapter string
	Layers  savoryworld.LayerRange
}

// Order states what an engine must hold. It is idempotent, since it carries the
// complete assignment.
type Order struct {
	Fence  int64
	Wanted Assignment
}

// Status is an engine's report of its state.
type Status struct {
	Server  string
	Holds   Assignment
	Leaving bool
	// Loading is set while the engine loads weights for an order.
	Loading bool
	Load    Load
	// Fence is the highest fencing token that the engine has received; 0 if the
	// engine records none.
	Fence int64
}
