// Package savorygate is the plumbing of an entry that routes by the operators'
// configuration in the platform's store: it serves callers, follows the store
// and its peers, and gives orders to engines.
//
// What the platform calls things on the wire is known to a Dialect, a Store and
// an Engines only, whose fields an adapter sets. Decisions are made in the
// pure packages of savorycore; a Gate holds their state behind locks and does
// the I/O. Lock order: view, then budgets; neither is held during I/O.
package savorygate

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryworld"
)

// Caller is what a caller's header says.
type Caller struct {
	// ID is the request's ID.
	ID string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// Key is the customer's key, or "".
	Key string
	// LastEventID is the last event that the caller has of a stream, or "".
	LastEventID string
	// PromptTokens and MaxTokens are 0 if not stated.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the answer's tokens, or 0.
	ExpectedTokens int
}

// Forward is what the entry sets on a request for a backend server.
type Forward struct {
	// Remaining is the time until the deadline.
	Remaining time.Duration
	Customer  string
	// Server is the ID of the server that the request is meant for.
	Server string
	// Path lists the engines of a chain; empty for none.
	Path savorypath.Path
	// LastEventID is the last event that the caller has, or "".
	LastEventID string
	// Priority is 0 for the most urgent.
	Priority int
}

// ResponseInfo is what a backend server's header says of a request.
type ResponseInfo struct {
	// NotRun says that the server promises that it did not run the request.
	NotRun bool
	// Fault is the server of a chain at fault; invalid if none is named.
	Fault netip.AddrPort
	// Instance is the ID that the server states, or "".
	Instance string
}

// Dialect translates the headers of requests and answers.
type Dialect struct {
	// ReadCaller decodes a caller's header. An error names the field.
	ReadCaller func(http.Header) (Caller, error)
	// SetRequestHeader sets and removes what a backend server is to get.
	SetRequestHeader func(http.Header, Forward)
	// ReadResponse decodes the header of a backend server's answer.
	ReadResponse func(status int, h http.Header) ResponseInfo
	// ResponseID returns the ID of the request that an answer belongs to.
	ResponseID func(http.Header) string
	// SetErrorHeader sets the header of an answer of the entry's own; a retryAfter of
	// 0 states none.
	SetErrorHeader func(h http.Header, id string, retryAfter time.Duration)
	// ReadyPath is the path of the balancer's question.
	ReadyPath string
}

// Store is the platform's key-value service.
type Store struct {
	Get func(ctx context.Context, key string) (savorystore.Value, error)
	// List reads all keys with a prefix, over all pages, and the store's
	// revision. A stale reading is cheaper and may be seconds old.
	List func(ctx context.Context, prefix string, stale bool) ([]savorystore.Value, int64, error)
	// Swap runs one compare-and-swap.
	Swap      func(ctx context.Context, swap savorystore.Swap) (savorystore.SwapResult, error)
	Grant     func(ctx context.Context, ttl time.Duration) (savorystore.Lease, error)
	KeepAlive func(ctx context.Context, id int64) (savorystore.Lease, error)
	Revoke    func(ctx context.Context, id int64) error

	// ConfigKey holds the configuration, ServerPrefix the servers' entries.
	ConfigKey    string
	ServerPrefix string
	// ReadConfig and ReadServer decode their values. An entry that cannot be
	// read names no server.
	ReadConfig func([]byte) (*savoryrouting.Config, error)
	ReadServer func(id string, body []byte) (savoryroster.Server, error)
}

// Report is what an engine says of itself.
type Report struct {
	StartedAt  time.Time
	OrderCount int64
	Busy       bool
	Holds      savoryworld.LayerRange
	// SlowdownFactor is above 1 for an engine that is slower than its kind.
	SlowdownFactor float64
	// StalledOn maps the IDs of requests that wait for another engine to its
	// address.
	StalledOn map[string]netip.AddrPort
}

// OrderResult is an engine's answer to an order.
type OrderResult string

// The results of orders.
const (
	OrderBegun   OrderResult = "Begun"
	OrderDone    OrderResult = "Done"
	OrderRefused OrderResult = "Refused"
	// OrderUnknown means that the engine does not have the request to be moved.
	OrderUnknown OrderResult = "Unknown"
)

// Engines calls the engines.
type Engines struct {
	Report func(ctx context.Context, address netip.AddrPort) (Report, error)
	// Place orders an engine to hold layers, if it has accepted the expected
	// number of orders so far. An urgent order does not wait for what runs on
	// layers that are given up.
	Place func(ctx context.Context, address netip.AddrPort, server string, layers savoryworld.LayerRange, expected int64, urgent bool) (OrderResult, error)
	// Repath moves a running request to another path with the same first
	// engine. A refusal may name the engine of the path that is not there.
	Repath func(ctx context.Context, address netip.AddrPort, server, request string, path savorypath.Path) (OrderResult, netip.AddrPort, error)
}
