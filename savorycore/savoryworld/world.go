// Package savoryworld defines the objects that the system routes between.
//
// A Region holds availability zones, an AvailabilityZone holds VMs and backend
// servers, and a Link joins two zones. A BackendServer is either an engine,
// which holds a LayerRange of one model on one kind of accelerator, or a plain
// service. A Pipeline is a model split by layers; a chain of engines that
// covers all of its layers serves it. A Customer holds keys and a Contract.
// A Route maps a path to a plain service.
//
// All types are values that are not changed once they are part of a
// configuration. They carry the wire names of the configuration document, and
// package savoryconfig checks them when they are decoded.
package savoryworld

import (
	"net/netip"
	"time"
)

// AvailabilityZone is a place with its own power and network.
type AvailabilityZone struct {
	Name   string
	Region string
}

// Link joins two availability zones, in both directions.
type Link struct {
	From string
	To   string
	// Delay is the one-way latency.
	Delay Duration
	// BytesPerSecond is the bandwidth of one transfer.
	BytesPerSecond int64
}

// Accelerator is one kind of accelerator. A step over n tokens on one layer
// takes StepBase + n*StepToken.
type Accelerator struct {
	Name string
	// StepBase is the fixed time of a step for each layer.
	StepBase Duration
	// StepToken is the time for each layer and token in the step.
	StepToken Duration
	// MaxTokens is the most tokens that fit into one step.
	MaxTokens int
}

// StepTime returns the time of one step over tokens on layers.
func (a Accelerator) StepTime(layers, tokens int) time.Duration {
	return time.Duration(layers) * (a.StepBase.AsDuration() + time.Duration(tokens)*a.StepToken.AsDuration())
}

// TokensPerSecond returns the highest rate at which an engine on a runs tokens
// through layers.
func (a Accelerator) TokensPerSecond(layers int) float64 {
	return float64(a.MaxTokens) / a.StepTime(layers, a.MaxTokens).Seconds()
}

// Pipeline is a model that is split by layers over several engines.
type Pipeline struct {
	// Name is the name that callers give as the model.
	Name    string
	Model   string
	Version string
	// Layers is the number of layers of the model.
	Layers int
	// ActivationBytes is what one token carries between two stages.
	ActivationBytes int64
	// FirstToken is the longest time to the first token.
	FirstToken Duration
	// BetweenTokens is the longest time between two tokens.
	BetweenTokens Duration
	// MaxTokens is the most tokens that one request may ask for.
	MaxTokens int
}

// BackendServer is an engine (Model is set) or a plain service (Service is
// set).
type BackendServer struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	// Service is the name of the plain service that the server runs.
	Service string `toml:",omitempty" msgpack:",omitempty"`
	// Model and Version name the model of an engine.
	Model   string `toml:",omitempty" msgpack:",omitempty"`
	Version string `toml:",omitempty" msgpack:",omitempty"`
	// Adapter names the adapter that the engine should hold, if any.
	Adapter string `toml:",omitempty" msgpack:",omitempty"`
	// Layers is the range that the engine holds.
	Layers LayerRange `toml:",omitempty" msgpack:",omitempty"`
	// Accelerator names the kind of accelerator of an engine.
	Accelerator string `toml:",omitempty" msgpack:",omitempty"`
	// IgnoresFence says that the engine does not refuse an order with an old
	// fencing number.
	IgnoresFence bool `toml:",omitempty" msgpack:",omitempty"`
	// Leaving says that the server gets no new work.
	Leaving bool `toml:",omitempty" msgpack:",omitempty"`
}

// IsEngine reports whether s holds layers of a model.
func (s BackendServer) IsEngine() bool { return s.Model != "" }

// OutagePolicy says what a route does with a request under an idempotency key
// while the platform's store does not answer.
type OutagePolicy string

// The outage policies.
const (
	// OutageRefuse sends nothing. The verdict is MayHaveRun, since an earlier
	// request with the key may have run.
	OutageRefuse OutagePolicy = "Refuse"
	// OutageForward sends the request on with its key. It is right only for a
	// service that itself runs a key at most once.
	OutageForward OutagePolicy = "Forward"
)

// Route maps a path to a plain service.
type Route struct {
	Name string
	// Path is the prefix of the paths that the route serves.
	Path string
	// Service names the plain service.
	Service string
	// Methods lists the allowed methods; empty allows all.
	Methods []string `toml:",omitempty" msgpack:",omitempty"`
	// Idempotent says that a request may be repeated.
	Idempotent bool `toml:",omitempty" msgpack:",omitempty"`
	// KeyRequired refuses a request without an idempotency key.
	KeyRequired bool `toml:",omitempty" msgpack:",omitempty"`
	// WhenStoreOut is the outage policy; empty means OutageRefuse.
	WhenStoreOut OutagePolicy `toml:",omitempty" msgpack:",omitempty"`
	// Timeout bounds one request; 0 means the default.
	Timeout Duration `toml:",omitempty" msgpack:",omitempty"`
}

// Contract is what a customer may use over all entries together.
type Contract struct {
	// RequestsPerSecond is the rate of requests; 0 means no bound.
	RequestsPerSecond float64 `toml:",omitempty" msgpack:",omitempty"`
	// TokensPerSecond is the rate of tokens, prompt and answer; 0 means no
	// bound.
	TokensPerSecond float64 `toml:",omitempty" msgpack:",omitempty"`
	// Concurrency is the number of requests in flight; 0 means no bound.
	Concurrency int `toml:",omitempty" msgpack:",omitempty"`
	// Priority is handed to engines; higher goes first.
	Priority int `toml:",omitempty" msgpack:",omitempty"`
	// Weight divides capacity between customers of one priority; 0 means 1.
	Weight float64 `toml:",omitempty" msgpack:",omitempty"`
}

// Customer is an organisation that sends requests.
type Customer struct {
	Name string
	// KeySHA256 lists the SHA-256 digests of the customer's keys, in hex.
	KeySHA256 []string
	// HomeRegion is the region whose store holds the customer's idempotency
	// keys.
	HomeRegion string
	// Pipelines and Routes list what the customer may use.
	Pipelines []string `toml:",omitempty" msgpack:",omitempty"`
	Routes    []string `toml:",omitempty" msgpack:",omitempty"`
	Contract  Contract
}

// Team is a group of operators that owns sections of the configuration.
type Team struct {
	Name string
	// TokenSHA256 is the SHA-256 digest of the team's token, in hex.
	TokenSHA256 string
	// Sections lists the names of the sections that the team owns.
	Sections []string
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one machine of the platform's list, which lags behind the truth.
type VM struct {
	// Address is the address that the VM's process serves peers on, or the
	// address of the backend server.
	Address netip.AddrPort
	Zone    string
	Region  string
	State   VMState
	// Entry says that the VM runs an entry of the system.
	Entry bool
}
