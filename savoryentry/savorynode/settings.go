package savorynode

// This file defines the settings of the entry's process.

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorytls"
	"savorycart.example/savorycore/savoryworld"
)

// Settings is the TOML file that an entry is started with.
type Settings struct {
	// Zone and Region are where the VM is.
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
}

// ListenerSettings describes one listener.
type ListenerSettings struct {
	Address netip.AddrPort
	TLS     savorytls.Files
}

// CallerSettings describes the listener for callers and its limits.
type CallerSettings struct {
	Address netip.AddrPort
	TLS     savorytls.Files
	// MaxConnections bounds open connections.
	MaxConnections int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time in which a header must arrive.
	HeaderTimeout savoryworld.Duration
	// BodyTimeout bounds the time in which a body must arrive.
	BodyTimeout savoryworld.Duration
	// WriteTimeout bounds the time in which a caller must take each part of an
	// answer.
	WriteTimeout savoryworld.Duration
}

// AdminSettings describes the operators' listener.
type AdminSettings struct {
	Address netip.AddrPort
	TLS     savorytls.Files
	// BootstrapTokenSHA256 is the digest of the token that may submit the first
	// document; empty allows none.
	BootstrapTokenSHA256 string
}

// PlatformSettings says where the platform's services are.
type PlatformSettings struct {
	Store        netip.AddrPort
	VMList       netip.AddrPort
	StoreTimeout savoryworld.Duration
	// ConfigHome says that this region's store holds the configuration. The
	// entries of other regions receive it from peers.
	ConfigHome bool
}

// StopSettings describes a planned stop.
type StopSettings struct {
	// NoticeTime is how long the balancer takes to notice that the entry is not
	// ready.
	NoticeTime savoryworld.Duration
	// Limit bounds the time for requests in flight.
	Limit savoryworld.Duration
}

// OrderSettings describes the orders to engines.
type OrderSettings struct {
	// Enabled lets the entry compete for the lease of the orderer.
	Enabled bool
	// MaxLoading bounds the engines that load weights at a time.
	MaxLoading int
	// LeaseTime is how long the orderer's lease lasts without renewal.
	LeaseTime savoryworld.Duration
}

// DefaultSettings returns the settings that a file may leave out.
func DefaultSettings() *Settings {
	return &Settings{
		LogLevel: "info",
		Callers: CallerSettings{
			MaxConnections: 4096,
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

// ReadSettings reads and checks a settings file. A fault is a
// *savoryconfig.InputError that names file, line and key.
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

// Check returns the first fault of the settings, or nil.
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
		{s.Stop.Limit > 0, "Stop.Limit", "is not above 0"},
		{s.Orders.MaxLoading > 0, "Orders.MaxLoading", "is not above 0"},
		{s.Orders.LeaseTime.AsDuration() >= time.Second, "Orders.LeaseTime", "is below 1s"},
		{s.PlainText || s.Callers.TLS.Certificate != "", "Callers.TLS.Certificate", "is empty, and PlainText is not set"},
		{s.PlainText || s.Peers.TLS.Certificate != "", "Peers.TLS.Certificate", "is empty, and PlainText is not set"},
		{s.PlainText || s.Admin.TLS.Certificate != "", "Admin.TLS.Certificate", "is empty, and PlainText is not set"},
		{s.Peers.TLS.Certificate == "" || s.Peers.TLS.Authorities != "", "Peers.TLS.Authorities", "is empty; peers must prove who they are"},
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
	return nil
}
