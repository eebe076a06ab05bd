// Package savoryworld defines the objects of the configuration document and the
// VMs of the platform's list.
//
// A region has availability zones, an AvailabilityZone has VMs and backend
// servers, and a Link connects two zones. A BackendServer is either an engine,
// which holds a LayerRange of one model on one type of accelerator, or a plain
// service. A Pipeline is a model that is split by layers. A chain of engines
// that covers all its layers serves the pipeline. A Customer has API keys and a
// Contract. A Route maps a path prefix to a plain service.
//
// The values are immutable once they are part of a configuration. The fields
// have the names that they have in the configuration document. Duration and
// LayerRange reject invalid text when they are decoded; package savoryconfig
// checks all other rules.
package savoryworld

import (
	"net/netip"
	"time"
)

// AvailabilityZone is a location with its own power supply and network.
type AvailabilityZone struct {
	Name   string
	Region string
}

// Link is the network connection between two availability zones, in both
// directions.
type Link struct {
	From string
	To   string
	// Delay is the one-way latency.
	Delay Duration
	// BytesPerSecond is the bandwidth of a single transfer.
	BytesPerSecond int64
}

// Accelerator is one type of accelerator. A step of n tokens takes
// StepBase + n*StepToken for each layer.
type Accelerator struct {
	Name string
	// StepBase is the fixed time of a step per layer.
	StepBase Duration
	// StepToken is the additional time per layer and token of the step.
	StepToken Duration
	// MaxTokens is the maximum number of tokens of one step.
	MaxTokens int
}

// StepTime returns the time of one step of the given number of tokens through
// the given number of layers.
func (a Accelerator) StepTime(layers, tokens int) time.Duration {
	return time.Duration(layers) * (a.StepBase.AsDuration() + time.Duration(tokens)*a.StepToken.AsDuration())
}

// TokensPerSecond returns the maximum throughput of an engine on a with the
// given number of layers, which is the throughput of steps of MaxTokens.
func (a Accelerator) TokensPerSecond(layers int) float64 {
	return float64(a.MaxTokens) / a.StepTime(layers, a.MaxTokens).Seconds()
}

// Pipeline is a model that is split by layers over several engines.
type Pipeline struct {
	// Name is the model name in callers' requests.
	Name string
	// Model and Version select the engines of the pipeline.
	Model   string
	Version string
	// Layers is the number of layers of the model.
	Layers int
	// ActivationBytes is the size of the activation of one token, which one
	// hop of a chain sends to the next.
	ActivationBytes int64
	// FirstToken is the latency objective for the first token.
	FirstToken Duration
	// BetweenTokens is the latency objective for the time between two tokens.
	BetweenTokens Duration
	// MaxTokens is the maximum number of tokens that one request may ask for.
	MaxTokens int
}

// BackendServer is an engine if Model is set, or a plain service if Service is
// set. Exactly one of the two is set.
type BackendServer struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	// Service is the name of the plain service that the server runs.
	Service string `toml:",omitempty" msgpack:",omitempty"`
	// Model and Version identify the model of an engine.
	Model   string `toml:",omitempty" msgpack:",omitempty"`
	Version string `toml:",omitempty" msgpack:",omitempty"`
	// Adapter is the name of the adapter that the engine should load; empty
	// means none.
	Adapter string `toml:",omitempty" msgpack:",omitempty"`
	// Layers is the layer range of an engine.
	Layers LayerRange `toml:",omitempty" msgpack:",omitempty"`
	// Accelerator is the name of an engine's type of accelerator.
	Accelerator string `toml:",omitempty" msgpack:",omitempty"`
	// IgnoresFence is set for an engine that does not refuse orders with an
	// outdated fencing token.
	IgnoresFence bool `toml:",omitempty" msgpack:",omitempty"`
	// Leaving is set for a server in a planned shutdown, which gets no new
	// requests.
	Leaving bool `toml:",omitempty" msgpack:",omitempty"`
}

// IsEngine reports whether s holds layers of a model.
func (s BackendServer) IsEngine() bool { return s.Model != "" }

// OutagePolicy defines what a route does with a request that has an idempotency
// key while the platform's store is unavailable.
type OutagePolicy string

// The outage policies.
const (
	// OutageRefuse refuses the request. The verdict is MayHaveRun, because an
	// earlier request with the same key may have run.
	OutageRefuse OutagePolicy = "Refuse"
	// OutageForward forwards the request with its key. Use it only for a
	// service that itself runs a request at most once per key.
	OutageForward OutagePolicy = "Forward"
)

// Route maps a path to a plain service.
type Route struct {
	Name string
	// Path is the path prefix that the route matches.
	Path string
	// Service is the name of the plain service.
	Service string
	// Methods lists the allowed methods; empty allows all.
	Methods []string `toml:",omitempty" msgpack:",omitempty"`
	// Idempotent is set if a request may be sent again.
	Idempotent bool `toml:",omitempty" msgpack:",omitempty"`
	// KeyRequired is set if requests without an idempotency key are refused.
	KeyRequired bool `toml:",omitempty" msgpack:",omitempty"`
	// WhenStoreOut is the outage policy; empty means OutageRefuse.
	WhenStoreOut OutagePolicy `toml:",omitempty" msgpack:",omitempty"`
	// Timeout is the time limit of one request; 0 means the default.
	Timeout Duration `toml:",omitempty" msgpack:",omitempty"`
}

// Contract is the quota and priority of a customer. The quota holds for all
// entries together.
type Contract struct {
	// RequestsPerSecond is the maximum request rate; 0 means unlimited.
	RequestsPerSecond float64 `toml:",omitempty" msgpack:",omitempty"`
	// TokensPerSecond is the maximum rate of prompt and answer tokens
	// together; 0 means unlimited.
	TokensPerSecond float64 `toml:",omitempty" msgpack:",omitempty"`
	// Concurrency is the maximum number of requests in flight; 0 means
	// unlimited.
	Concurrency int `toml:",omitempty" msgpack:",omitempty"`
	// Priority is sent to the engines; requests of a higher priority run first.
	Priority int `toml:",omitempty" msgpack:",omitempty"`
	// Weight is the customer's share of the capacity relative to other
	// customers of the same priority; 0 means 1.
	Weight float64 `toml:",omitempty" msgpack:",omitempty"`
}

// Customer is an organization that sends requests.
type Customer struct {
	Name string
	// KeySHA256 holds the SHA-256 digests of the customer's API keys, in hex.
	KeySHA256 []string
	// HomeRegion is the region whose store holds the customer's idempotency
	// keys.
	HomeRegion string
	// Pipelines and Routes hold the names of the pipelines and routes that
	// the customer may use.
	Pipelines []string `toml:",omitempty" msgpack:",omitempty"`
	Routes    []string `toml:",omitempty" msgpack:",omitempty"`
	Contract  Contract
}

// Team is a group of operators that owns sections of the document.
type Team struct {
	Name string
	// TokenSHA256 is the SHA-256 digest of the team's token, in hex.
	TokenSHA256 string
	// Sections holds the names of the sections that the team owns.
	Sections []string
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM. A leaving VM is in a planned shutdown.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an element of the platform's list of VMs. The list lags behind the
// actual state of the VMs.
type VM struct {
	// Address is the peer address of the VM's entry, or the address of the
	// backend server.
	Address netip.AddrPort
	Zone    string
	Region  string
	State   VMState
	// Entry is set if the VM runs an entry, and not a backend server.
	Entry bool
}
