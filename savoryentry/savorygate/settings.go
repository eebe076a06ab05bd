package savorygate

// This file defines the settings of a Gate.

import (
	"net/netip"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryintake"
)

// Settings are the settings of a Gate. An adapter decodes them from the
// platform's settings file.
type Settings struct {
	// Name is the name of the VM in the log.
	Name   string
	Zone   string
	Region string
	// Strength is the processor share of the VM in cores. In a large fleet the
	// entries with the highest values relay for the others.
	Strength float64
	// Front is the address for callers, Ready for the load balancer's
	// readiness check, and Peers for the other entries.
	Front netip.AddrPort
	Ready netip.AddrPort
	Peers netip.AddrPort
	// Seeds are addresses of peers; some may be out of date.
	Seeds []netip.AddrPort
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// Heartbeat is the interval at which backend servers register.
	Heartbeat time.Duration
	// DrainTime is how long a leaving server still accepts requests.
	DrainTime time.Duration
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// ConfigTime is the time within which a new configuration must be in
	// force.
	ConfigTime time.Duration
	// RetryRatio and RetrySlack bound the retries of all entries within
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// StallTimeout is how long engines wait for a failed engine of their
	// chain.
	StallTimeout time.Duration
	// MinLeaseTTL is the shortest TTL of a lease that the store grants.
	MinLeaseTTL time.Duration
	// MemoryBytes is the memory above which the platform kills the process, Descriptors the
	// number of open files and connections; 0 if not stated.
	MemoryBytes int64
	Descriptors int
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string
	// Pace bounds the requests at servers that start or recover by the pace of their answers.
	Pace bool
	// Metrics is the port that serves the metrics; 0 for none.
	Metrics uint16
}

// Check returns a *savoryconfig.InputError that names the first invalid field,
// or nil.
func (s *Settings) Check() error {
	required := []struct {
		ok      bool
		field   string
		message string
	}{
		{s.Zone != "", "Zone", "is empty"},
		{s.Front.IsValid(), "Front", "is not an IP address with a port"},
		{s.Ready.IsValid(), "Ready", "is not an IP address with a port"},
		{s.Peers.IsValid(), "Peers", "is not an IP address with a port"},
		{s.Heartbeat > 0, "Heartbeat", "is not above 0"},
		{s.DrainTime > 0, "DrainTime", "is not above 0"},
		{s.Grace > 0, "Grace", "is not above 0"},
		{s.ConfigTime > 0, "ConfigTime", "is not above 0"},
		{s.RetryRatio >= 0, "RetryRatio", "is below 0"},
		{s.RetrySlack >= 0, "RetrySlack", "is below 0"},
		{s.RetryWindow > 0, "RetryWindow", "is not above 0"},
	}
	for _, r := range required {
		if !r.ok {
			return &savoryconfig.InputError{Field: r.field, Message: r.message}
		}
	}
	if field, err := s.Limits().Check("MemoryBytes", "Descriptors", "MaxBodyBytes"); err != nil {
		return &savoryconfig.InputError{Field: field, Message: err.Error()}
	}
	return nil
}

// Limits returns the limits of the VM, without that on bodies, which is in the configuration.
func (s *Settings) Limits() savoryintake.Limits {
	return savoryintake.Limits{MemoryBytes: s.MemoryBytes, Descriptors: s.Descriptors}
}
