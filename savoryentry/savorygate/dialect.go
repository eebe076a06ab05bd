// Package savorygate implements an entry that routes requests by the operators'
// configuration in the platform's store. A Gate serves callers, follows the
// store and its peers, and gives orders to engines.
//
// The platform's names on the wire appear only behind the fields of Dialect,
// Store and Engines, which an adapter sets before it calls Gate.Configure and
// Gate.Run. Decisions are made by the packages of savorycore, which do no I/O;
// a Gate guards their state with locks and does the I/O. Lock order: view, then
// budgets; neither is held during I/O.
package savorygate

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"savorycart.example/savorycore/savoryanswer"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryworld"
)

// Caller holds the values of a caller's header.
type Caller struct {
	// ID is the request's ID.
	ID string
	// Deadline is how long the caller waits; 0 if not stated.
	Deadline time.Duration
	// Key is the customer's key, or "" if there is none.
	Key string
	// LastEventID is the ID of the last event of a stream that the caller has
	// received, or "".
	LastEventID string
	// PromptTokens and MaxTokens are 0 if not stated.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the answer's tokens, or 0.
	ExpectedTokens int
	// PromptParts are the IDs of the parts of the prompt that requests share, in order.
	// The last part, which belongs to the request itself or to its session, is left out.
	PromptParts []string
	// OwnPart is the ID of the last part, or "".
	OwnPart string
	// Model is the model that the caller asks for, or "".
	Model string
}

// Forward holds the values that the entry sets in the header of a request to a
// backend server.
type Forward struct {
	// Remaining is the time until the deadline.
	Remaining time.Duration
	Customer  string
	// Server is the ID of the server that the request is meant for.
	Server string
	// Chain lists the engines that serve the request; it is empty for a plain server.
	Chain savorypath.Chain
	// LastEventID is the ID of the last event that the caller has received, or
	// "".
	LastEventID string
	// Priority is 0 for the most urgent requests.
	Priority int
}

// ResponseInfo is what the status and header of a backend server's response
// state about the request. Nothing of it is true unless Check returns nil.
type ResponseInfo struct {
	savoryanswer.Head
	// Fault is the address of the server of the chain that is at fault; it is
	// invalid if no server is named.
	Fault netip.AddrPort
	// Instance is the ID of the server that responded, or "" if not stated.
	Instance string
	// Notice is what the server states about itself. NoticeErr names the fields of it that
	// are not valid.
	Notice    savorynotice.Notice
	NoticeErr error
}

// Dialect translates the headers of requests and responses.
type Dialect struct {
	// ReadCaller decodes the header of a caller's request. An error names the
	// field.
	ReadCaller func(http.Header) (Caller, error)
	// SetRequestHeader sets the fields for a backend server and removes fields
	// of the caller that must not be passed on.
	SetRequestHeader func(http.Header, Forward)
	// ReadResponse decodes the status and header of a backend server's
	// response.
	ReadResponse func(status int, h http.Header) ResponseInfo
	// ResponseID returns the ID of the request that a response belongs to.
	ResponseID func(http.Header) string
	// SetErrorHeader sets the header of an error response of the entry itself;
	// it states no retry delay if retryAfter is 0.
	SetErrorHeader func(h http.Header, id string, retryAfter time.Duration)
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
}

// Store calls the platform's key-value store.
type Store struct {
	Get func(ctx context.Context, key string) (savorystore.Value, error)
	// List reads all keys with a prefix, over all pages, and the store's
	// position. A stale read is cheaper and may be seconds old.
	List func(ctx context.Context, prefix string, stale bool) ([]savorystore.Value, savoryworld.Position, error)
	// Swap runs one compare-and-swap.
	Swap      func(ctx context.Context, swap savorystore.Swap) (savorystore.SwapResult, error)
	Grant     func(ctx context.Context, ttl time.Duration) (savorystore.Lease, error)
	KeepAlive func(ctx context.Context, id int64) (savorystore.Lease, error)
	Revoke    func(ctx context.Context, id int64) error

	// ConfigKey is the key of the configuration, ServerPrefix the prefix of
	// the keys of the servers.
	ConfigKey    string
	ServerPrefix string
	// ReadConfig and ReadServer decode the values of these keys. The result
	// for a value that cannot be decoded is an error and no server.
	ReadConfig func([]byte) (*savoryrouting.Config, error)
	ReadServer func(id string, body []byte) (savoryroster.Server, error)
}

// Report is an engine's report on its own state.
type Report struct {
	StartedAt time.Time
	// OrderCount is the number of orders accepted since the start.
	OrderCount int64
	// Busy is set while the engine executes an order.
	Busy  bool
	Holds savoryworld.LayerRange
	// SlowdownFactor is above 1 for an engine that is slower than others with
	// its accelerator.
	SlowdownFactor float64
	// Memory is the engine's memory for requests and UsedMemory the part that is taken
	// and cannot yield, in tokens times layers. Memory is 0 if it is not stated.
	Memory     float64
	UsedMemory float64
	// Requests is the number of requests whose chain begins at the engine.
	Requests int
	// Notice and NoticeErr are as in ResponseInfo.
	Notice    savorynotice.Notice
	NoticeErr error
	// StalledOn maps the ID of each request that waits for another engine to
	// the address of that engine.
	StalledOn map[string]netip.AddrPort
}

// OrderResult is the result that an engine reports for an order.
type OrderResult string

// The results of orders.
const (
	OrderBegun   OrderResult = "Begun"
	OrderDone    OrderResult = "Done"
	OrderRefused OrderResult = "Refused"
	// OrderUnknown means that the engine does not have the request that is to
	// be moved.
	OrderUnknown OrderResult = "Unknown"
)

// Engines calls the engines.
type Engines struct {
	Report func(ctx context.Context, address netip.AddrPort) (Report, error)
	// Place orders an engine to hold layers, on condition that it has accepted
	// the expected number of orders so far. An urgent order does not wait for
	// requests that run on layers that the engine gives up.
	Place func(ctx context.Context, address netip.AddrPort, server string, layers savoryworld.LayerRange, expected int64, urgent bool) (OrderResult, error)
	// Repath moves a running request to another chain with the same first
	// engine. If the engine refuses, the returned address may name an engine
	// of the chain that is missing.
	Repath func(ctx context.Context, address netip.AddrPort, server, request string, chain savorypath.Chain) (OrderResult, netip.AddrPort, error)
}
