// Package savoryrouting holds the operators' routing configuration and matches
// requests against it.
//
// A Config is a complete, numbered version of routes, services, limits and
// customers. It does not change once it is in force. A Table indexes a Config for
// requests.
package savoryrouting

import (
	"fmt"
	"strings"
	"time"
)

// Kind states how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "Idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "NonIdempotent"
	// Streaming requests are answered by a stream of events.
	Streaming Kind = "Streaming"
)

// Share is the weight of one service among the requests of a route.
type Share struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// Objective is the latency objective for the answer or, for a stream, for its first
	// event.
	Objective time.Duration
	// GapObjective is the latency objective for the time between events of a stream.
	GapObjective time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	Shares   []Share
	// Attempts is the largest number of backend servers that one request is sent to.
	Attempts int
	// Open routes need no customer key.
	Open bool
	// Resumable streams may continue at another server after their first event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Accelerator is a kind of accelerator of an engine service.
type Accelerator struct {
	Name string
	// MemoryMB is the memory for layers and requests.
	MemoryMB float64
	// StepFactor multiplies the time of a token step, ReadFactor the time of reading
	// prompts.
	StepFactor float64
	ReadFactor float64
}

// Engine describes the engines of a service.
type Engine struct {
	// Model is the name of the model that the engines hold.
	Model string
	// Layers is the number of layers of the model; 0 if each engine holds all of it.
	Layers  int
	LayerMB float64
	// TokenBytes is the request memory of one token over all layers.
	TokenBytes int64
	// TokenRoom is the request memory of one engine in tokens, if each engine holds the
	// whole model.
	TokenRoom int
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// StepTime is the fixed time of a token step over all layers. RequestTime is added
	// for each running request, ContextTime for each request and each 1,000 tokens of
	// its context.
	StepTime    time.Duration
	RequestTime time.Duration
	ContextTime time.Duration
	// ReadPerSecond is the number of prompt tokens read per second.
	ReadPerSecond float64
	// ReadChunk is the largest number of prompt tokens read in one step.
	ReadChunk int
	// Stride is the number of steps of one pass; a pass produces one event.
	Stride int
	// LoadTime is the time to load all layers. LoadsAtOnce is the number of loads that
	// run concurrently at full speed.
	LoadTime    time.Duration
	LoadsAtOnce int
	// ActivationBytes is the size of a token's activation between two engines, PipeMbps
	// the bandwidth between availability zones in megabits per second.
	ActivationBytes int64
	PipeMbps        float64
	// UsualPrompt and UsualAnswer are the mean numbers of tokens.
	UsualPrompt  int
	UsualAnswer  int
	Accelerators []Accelerator
	// ReportLag is the age of an engine's own report when it is received.
	ReportLag time.Duration
}

// Accelerator returns the kind of accelerator with the name, or nil.
func (e *Engine) Accelerator(name string) *Accelerator {
	for i := range e.Accelerators {
		if e.Accelerators[i].Name == name {
			return &e.Accelerators[i]
		}
	}
	return nil
}

// MaxLayers returns the number of layers that fit into an accelerator's memory.
func (e *Engine) MaxLayers(a *Accelerator) int {
	if e.LayerMB <= 0 {
		return e.Layers
	}
	return min(e.Layers, int(a.MemoryMB/e.LayerMB))
}

// bytesPerMB converts the memory sizes of a configuration.
const bytesPerMB = 1e6

// RequestMemory returns the memory for requests on an accelerator that holds the
// given number of layers, in tokens times layers.
func (e *Engine) RequestMemory(a *Accelerator, layers int) float64 {
	if e.TokenBytes <= 0 || e.Layers == 0 {
		return 0
	}
	free := (a.MemoryMB - float64(layers)*e.LayerMB) * bytesPerMB
	return max(0, free/(float64(e.TokenBytes)/float64(e.Layers)))
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// HealthPath is the URL path of the health check.
	HealthPath string
	// MaxConnections is the largest number of connections that one server accepts.
	MaxConnections int
	// Engine is nil unless the servers are model engines.
	Engine *Engine `msgpack:",omitempty"`
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Customer is an organization with API keys.
type Customer struct {
	Name string
	// KeySHA256 lists the SHA-256 digests of the customer's keys, in hex.
	KeySHA256 []string
	// Priority overrides the route's priority unless it is nil.
	Priority *int `msgpack:",omitempty"`
}

// Config is one version of the configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
}

// Service returns the service with the name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// FieldError is an invalid field of a configuration.
type FieldError struct {
	// Field is the path of the field, such as "Routes[3].Prefix".
	Field   string
	Message string
}

var _ error = (*FieldError)(nil)

func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

// Check returns the first invalid field of the configuration as a *FieldError, or
// nil.
func (c *Config) Check() error {
	if c.Version <= 0 {
		return &FieldError{"Version", fmt.Sprintf("%d is not above 0", c.Version)}
	}
	services := make(map[string]bool)
	for i, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return &FieldError{fmt.Sprintf("Services[%d].Name", i), fmt.Sprintf("%q is empty or not unique", s.Name)}
		}
		services[s.Name] = true
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(services); err != nil {
			err.Field = fmt.Sprintf("Routes[%d].%s", i, err.Field)
			return err
		}
	}
	for i, customer := range c.Customers {
		if customer.Name == "" {
			return &FieldError{fmt.Sprintf("Customers[%d].Name", i), "is empty"}
		}
	}
	return nil
}

// check returns the first invalid field of the route, or nil. services holds the
// names of the configured services.
func (r *Route) check(services map[string]bool) *FieldError {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &FieldError{"Prefix", fmt.Sprintf("%q does not begin and end with a slash", r.Prefix)}
	case r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Streaming:
		return &FieldError{"Kind", fmt.Sprintf("%q is unknown", r.Kind)}
	case len(r.Shares) == 0:
		return &FieldError{"Shares", "is empty"}
	case r.Timeout <= 0:
		return &FieldError{"Timeout", "is not above 0"}
	}
	total := 0
	for _, share := range r.Shares {
		if !services[share.Service] {
			return &FieldError{"Shares", fmt.Sprintf("service %q does not exist", share.Service)}
		}
		if share.Weight < 0 {
			return &FieldError{"Shares", "a weight is below 0"}
		}
		total += share.Weight
	}
	if total == 0 {
		return &FieldError{"Shares", "all weights are 0"}
	}
	return nil
}
