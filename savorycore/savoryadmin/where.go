package savoryadmin

// This file defines the messages and the client call that ask an entry where a request would
// go.

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// WherePath is the path of the call, at the operators' listener and on the platform at the
	// metrics address.
	WherePath = "/where"
	// maxWhereBytes bounds a WhereRequest.
	maxWhereBytes = 64 << 10
	// whereReadTimeout bounds the time to receive a WhereRequest. Its sender is a command
	// that sends it at once.
	whereReadTimeout = 5 * time.Second
)

// WhereRequest describes a request that is not sent.
type WhereRequest struct {
	Host   string `json:",omitempty"`
	Path   string
	Method string `json:",omitempty"`
	// KeySHA256 is the digest of the customer's key in hexadecimal digits, Customer the name of
	// the customer instead. Without both the request has no key.
	KeySHA256 string `json:",omitempty"`
	Customer  string `json:",omitempty"`
	// Request is the ID of the request, by which a route divides its requests among services.
	// If it is empty, the entry draws one.
	Request string `json:",omitempty"`
	// PromptTokens and AnswerTokens are 0 if they are not known.
	PromptTokens int `json:",omitempty"`
	AnswerTokens int `json:",omitempty"`
	// Parts are the IDs of the parts of the prompt that requests share, in order.
	Parts []string `json:",omitempty"`
	Model string   `json:",omitempty"`
	// Tried are the servers that have failed the request before.
	Tried []string `json:",omitempty"`
}

// Where states where a request would go now, from the view of one entry.
type Where struct {
	Entry string
	Zone  string
	// Version is the version of the configuration in force, 0 if there is none. Age is the
	// time since it was last confirmed, and Doubt why it may be out of date.
	Version int64
	Age     savoryworld.Duration
	Doubt   string `json:",omitempty"`

	Route    string `json:",omitempty"`
	Kind     string `json:",omitempty"`
	Service  string `json:",omitempty"`
	Customer string `json:",omitempty"`
	// Shares are the services of the route if it has more than one.
	Shares []WhereShare `json:",omitempty"`
	// Tokens is the memory that the request would reserve, in tokens.
	Tokens int `json:",omitempty"`
	// Prompt is the verdict on the parts of the prompt, nil if the request was refused before.
	Prompt     *WherePrompt     `json:",omitempty"`
	Candidates []WhereCandidate `json:",omitempty"`
	// Choice is nil if the request would be refused, and Error then states how.
	Choice  *WhereChoice  `json:",omitempty"`
	Error   *WhereError   `json:",omitempty"`
	Retries *WhereRetries `json:",omitempty"`
}

// WhereShare is a service of a route with its weight.
type WhereShare struct {
	Service string
	Weight  int
}

// WherePrompt is the verdict on the parts of a prompt.
type WherePrompt struct {
	Decision savoryquarantine.Decision
	// Part is the part that the request would wait for or be refused for, or that it would try.
	Part  string `json:",omitempty"`
	Trial bool   `json:",omitempty"`
}

// WhereCandidate is a server that could take the request.
type WhereCandidate struct {
	Server string
	Zone   string
	// Layers are the layers that the engine holds.
	Layers savoryworld.LayerRange `json:",omitzero"`
	// Slots is the number of requests that the server runs at once. InFlight is the number of
	// requests in flight there from this entry, on the platform at engines from all entries.
	Slots    int `json:",omitempty"`
	InFlight int `json:",omitempty"`
	// Pass is the estimated time of a pass through the layers, Prompt the time until the prompt
	// has been run, Token the time between two tokens.
	Pass   savoryworld.Duration `json:",omitempty"`
	Prompt savoryworld.Duration `json:",omitempty"`
	Token  savoryworld.Duration `json:",omitempty"`
	// Fill is the fraction of the memory for requests that would be reserved.
	Fill float64 `json:",omitempty"`
	// Delay is the time until the server takes the request by its own word.
	Delay savoryworld.Duration `json:",omitempty"`
	// Excluded is why the server is not chosen, or chosen only if no other one works; NotFirst
	// why it cannot be the first of a chain.
	Excluded string `json:",omitempty"`
	NotFirst string `json:",omitempty"`
}

// WhereChoice is the destination of a request: one server, or a chain of engines.
type WhereChoice struct {
	Server string           `json:",omitempty"`
	Chain  savorypath.Chain `json:",omitempty"`
	// RunnerUp is the second best destination, if it is known.
	RunnerUp string `json:",omitempty"`
	// Pass is the estimated time of a pass through the chain, FirstToken the time to the first
	// token and BetweenTokens the time between two tokens.
	Pass          savoryworld.Duration `json:",omitempty"`
	FirstToken    savoryworld.Duration `json:",omitempty"`
	BetweenTokens savoryworld.Duration `json:",omitempty"`
	Fill          float64              `json:",omitempty"`
	// Zones is the number of zones that have a chain of their own.
	Zones int `json:",omitempty"`
	// Delay is how long the request would wait for the limit or pause of the first server.
	Delay savoryworld.Duration `json:",omitempty"`
}

// WhereError is the response that the request would get.
type WhereError struct {
	Status  int
	Code    string
	Message string
	// Cause is the reason as in the log of the entry.
	Cause      string               `json:",omitempty"`
	RetryAfter savoryworld.Duration `json:",omitempty"`
}

// WhereRetries is the state of the retry budget.
type WhereRetries struct {
	// Left is the number of retries that the entry could make now.
	Left int
	// Attempts is the number of servers that may run one request.
	Attempts int `json:",omitempty"`
	// Repeatable is set if a request may run more than once.
	Repeatable bool
}

// NewWhereError returns the response for e.
func NewWhereError(e *savoryverdict.Error) *WhereError {
	w := &WhereError{Status: e.Status, Code: e.Code, Message: e.Message, RetryAfter: savoryworld.Duration(e.RetryAfter)}
	if e.Err != nil {
		w.Cause = e.Err.Error()
	}
	return w
}

// NoRoute reports whether the request is for a route, path or model that does not exist.
func (w *Where) NoRoute() bool { return w.Error != nil && w.Error.Status == http.StatusNotFound }

// KeyDigest returns the digest of a key for WhereRequest, empty for no key.
func KeyDigest(key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ReadWhere reads and checks the body of the call. The error is a *savoryverdict.Error.
func ReadWhere(w http.ResponseWriter, r *http.Request) (WhereRequest, error) {
	var q WhereRequest
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(whereReadTimeout)); err != nil {
		return q, savoryverdict.Invalid("Body", "cannot be read in a bounded time")
	}
	// The deadline applies to this body only, not to the next request on the connection. If it
	// cannot be cleared, the connection has failed.
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	dec := json.NewDecoder(io.LimitReader(r.Body, maxWhereBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q); err != nil {
		// The text of the decoder's error may hold a part of the body.
		return q, savoryverdict.Invalid("Body", "is not a request in JSON")
	}
	switch {
	case q.Path == "" || q.Path[0] != '/':
		return q, savoryverdict.Invalid("Path", "%q does not begin with a slash", q.Path)
	case q.KeySHA256 != "" && q.Customer != "":
		return q, savoryverdict.Invalid("Customer", "is given together with a key")
	case q.PromptTokens < 0 || q.AnswerTokens < 0:
		return q, savoryverdict.Invalid("PromptTokens", "a number of tokens is below 0")
	}
	return q, nil
}

// Where asks the entry where a request would go. The request is not sent.
func (c *Client) Where(ctx context.Context, q WhereRequest) (*Where, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	w := new(Where)
	return w, c.call(ctx, http.MethodPost, WherePath, body, w)
}
