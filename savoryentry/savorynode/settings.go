package savorynode

// This file defines the settings of the entry process.

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryintake"
	"savorycart.example/savorycore/savorytls"
	"savorycart.example/savorycore/savoryworld"
)

// Settings holds the settings of an entry, which are read from a TOML file.
type Settings struct {
	// Zone and Region are the availability zone and the region of the VM.
	Zone   string
	Region string
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string
	// PlainText allows listeners without TLS.
	PlainText bool
	Callers   CallerSettings
	Peers     ListenerSettings
	Admin     AdminSettings
	Platform  PlatformSettings
	Stop      StopSettings
	Orders    OrderSettings
	Limits    LimitSettings
}

// LimitSettings holds the limits of the VM; 0 if not stated.
type LimitSettings struct {
	// MemoryMB is the memory that the process may use, MaxDescriptors the number
	// of files and connections that it may open.
	MemoryMB       int
	MaxDescriptors int
}

// ListenerSettings holds the settings of one listener.
type ListenerSettings struct {
	Address netip.AddrPort
	TLS     savorytls.Files
}

// CallerSettings holds the settings and limits of the listener for callers.
type CallerSettings struct {
	Address netip.AddrPort
	TLS     savorytls.Files
	// MaxConnections bounds the open connections. Fewer are accepted if memory
	// and descriptors do not suffice.
	MaxConnections int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to receive a request header.
	HeaderTimeout savoryworld.Duration
	// BodyTimeout bounds the time to receive a request body.
	BodyTimeout savoryworld.Duration
	// WriteTimeout bounds the time to write each part of a response to the
	// caller.
	WriteTimeout savoryworld.Duration
}

// AdminSettings holds the settings of the listener for operators.
type AdminSettings struct {
	Address netip.AddrPort
	TLS     savorytls.Files
	// BootstrapTokenSHA256 is the SHA-256 digest, in hex, of the token that
	// authorizes the first document. If it is empty, the first document is
	// refused.
	BootstrapTokenSHA256 string
}

// PlatformSettings holds the addresses of the platform's services.
type PlatformSettings struct {
	Store        netip.AddrPort
	VMList       netip.AddrPort
	StoreTimeout savoryworld.Duration
	// ConfigHome means that this region's store holds the configuration.
	// Entries of other regions receive the configuration from peers.
	ConfigHome bool
}

// StopSettings holds the settings of a planned stop.
type StopSettings struct {
	// NoticeTime is how long the load balancer takes to notice that the entry
	// is not ready.
	NoticeTime savoryworld.Duration
	// Limit bounds the wait for requests in flight.
	Limit savoryworld.Duration
}

// OrderSettings holds the settings of the orders to engines.
type OrderSettings struct {
	// Enabled lets the entry compete for the orderer's lease.
	Enabled bool
	// MaxLoading bounds the engines that load weights at the same time.
	MaxLoading int
	// LeaseTime is the time after which the orderer's lease expires without
	// renewal.
	LeaseTime savoryworld.Duration
}

// defaultMaxConnections is the bound on connections on a VM that supports as many.
const defaultMaxConnections = 4096

// DefaultSettings returns the defaults of the settings that a file may omit.
func DefaultSettings() *Settings {
	return &Settings{
		LogLevel: "info",
		Callers: CallerSettings{
			MaxConnections: defaultMaxConnections,
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 16 << 10,
			HeaderTimeout:  savoryworld.Duration(5 * time.Second),
			BodyTimeout:    savoryworld.Duration(30 * time.Second),
			WriteTimeout:   savoryworld.Duration(20 * time.Second),
		},
		Platform: PlatformSettings{StoreTimeout: savoryworld.Duration(time.Second), ConfigHome: true},
		Stop: StopSettings{
			NoticeTime: savoryworld.Duration(5 * time.Second),
			Limit:      savoryworld.Duration(10 * time.Minute),
		},
		Orders: OrderSettings{MaxLoading: 2, LeaseTime: savoryworld.Duration(10 * time.Second)},
	}
}

// ReadSettings reads and checks a settings file. An error in the content is a
// *savoryconfig.InputError with the file, the line where it is known, and the
// key.
func ReadSettings(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := DefaultSettings()
	if err := savoryconfig.DecodeTOML(file, text, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		err.File = file
		return nil, err
	}
	return s, nil
}

// Check returns the first invalid setting, or nil.
func (s *Settings) Check() *savoryconfig.InputError {
	required := []struct {
		ok      bool
		field   string
		message string
	}{
		{s.Zone != "", "Zone", "is empty"},
		{s.Region != "", "Region", "is empty"},
		{s.Callers.Address.IsValid(), "Callers.Address", "is not an IP address with a port"},
		{s.Peers.Address.IsValid(), "Peers.Address", "is not an IP address with a port"},
		{s.Admin.Address.IsValid(), "Admin.Address", "is not an IP address with a port"},
		{s.Platform.Store.IsValid(), "Platform.Store", "is not an IP address with a port"},
		{s.Platform.VMList.IsValid(), "Platform.VMList", "is not an IP address with a port"},
		{s.Platform.StoreTimeout > 0, "Platform.StoreTimeout", "is not above 0"},
		{s.Callers.MaxConnections > 0, "Callers.MaxConnections", "is not above 0"},
		{s.Callers.MaxBodyBytes > 0, "Callers.MaxBodyBytes", "is not above 0"},
		{s.Callers.MaxHeaderBytes > 0, "Callers.MaxHeaderBytes", "is not above 0"},
		{s.Callers.HeaderTimeout > 0, "Callers.HeaderTimeout", "is not above 0"},
		{s.Callers.BodyTimeout > 0, "Callers.BodyTimeout", "is not above 0"},
		{s.Callers.WriteTimeout > 0, "Callers.WriteTimeout", "is not above 0"},
		{s.Limits.MemoryMB >= 0, "Limits.MemoryMB", "is below 0"},
		{s.Limits.MaxDescriptors >= 0, "Limits.MaxDescriptors", "is below 0"},
		{s.Stop.Limit > 0, "Stop.Limit", "is not above 0"},
		{s.Orders.MaxLoading > 0, "Orders.MaxLoading", "is not above 0"},
		{s.Orders.LeaseTime.AsDuration() >= time.Second, "Orders.LeaseTime", "is below 1s"},
		{s.PlainText || s.Callers.TLS.Certificate != "", "Callers.TLS.Certificate", "is empty, and PlainText is not set"},
		{s.PlainText || s.Peers.TLS.Certificate != "", "Peers.TLS.Certificate", "is empty, and PlainText is not set"},
		{s.PlainText || s.Admin.TLS.Certificate != "", "Admin.TLS.Certificate", "is empty, and PlainText is not set"},
		{s.Peers.TLS.Certificate == "" || s.Peers.TLS.Authorities != "", "Peers.TLS.Authorities", "is empty; it is required to authenticate peers"},
	}
	for _, r := range required {
		if !r.ok {
			return &savoryconfig.InputError{Field: r.field, Message: r.message}
		}
	}
	if token := s.Admin.BootstrapTokenSHA256; token != "" {
		if sum, err := hex.DecodeString(token); err != nil || len(sum) != 32 {
			return &savoryconfig.InputError{Field: "Admin.BootstrapTokenSHA256", Message: "is not a SHA-256 digest in hex"}
		}
	}
	return s.checkMemory()
}

// MemoryBytes returns the memory that the process may use, or 0.
func (s *Settings) MemoryBytes() int64 { return int64(s.Limits.MemoryMB) << 20 }

// bounds returns the bounds on what is held for callers.
func (s *Settings) bounds() savoryintake.Bounds {
	b := s.vmLimits().Bounds()
	b.Connections = min(b.Connections, s.Callers.MaxConnections)
	return b
}

func (s *Settings) vmLimits() savoryintake.Limits {
	return savoryintake.Limits{MemoryBytes: s.MemoryBytes(), Descriptors: s.Limits.MaxDescriptors, MaxBodyBytes: s.Callers.MaxBodyBytes}
}

// checkMemory returns the first setting that the stated memory and descriptors
// do not support, or nil.
func (s *Settings) checkMemory() *savoryconfig.InputError {
	if s.Limits == (LimitSettings{}) {
		return nil
	}
	limits := s.vmLimits()
	if field, err := limits.Check("Limits.MemoryMB", "Limits.MaxDescriptors", "Callers.MaxBodyBytes"); err != nil {
		return &savoryconfig.InputError{Field: field, Message: err.Error()}
	}
	supported := limits.Bounds().Connections
	if n := s.Callers.MaxConnections; n > supported && n != defaultMaxConnections {
		return &savoryconfig.InputError{Field: "Callers.MaxConnections", Message: fmt.Sprintf("%d are more than the %d that memory and descriptors support", n, supported)}
	}
	return nil
}
