package savorygate

// This file defines what a gate is started with.

import (
	"net/netip"
	"time"

	"savorycart.example/savorycore/savoryconfig"
)

// Settings of a gate. An adapter decodes them from the platform's file.
type Settings struct {
	// Name is the VM's name, for the log.
	Name   string
	Zone   string
	Region string
	// Strength is the processor share of the VM in cores; the strong entries of a
	// large fleet relay for the others.
	Strength float64
	// Front serves callers, Ready the balancer, Peers the other entries.
	Front netip.AddrPort
	Ready netip.AddrPort
	Peers netip.AddrPort
	// Seeds are addresses of peers that may be stale.
	Seeds []netip.AddrPort
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Heartbeat is the interval at which backend servers register.
	Heartbeat time.Duration
	// DrainTime is how long a server takes requests after it said that it
	// leaves.
	DrainTime time.Duration
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// ConfigTime is the time in which a configuration must be in force.
	ConfigTime time.Duration
	// RetryRatio and RetrySlack bound the repeats of all entries in RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// StallTimeout is how long engines wait for a dead one of their chain.
	StallTimeout time.Duration
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string
	// Metrics is the port of the metrics.
	Metrics uint16
}

// Check returns the first fault of the settings, or nil.
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
	return nil
}
