// Package savorytls provides TLS configurations for servers and clients whose
// certificates, keys and authorities come from PEM files. A Loader reloads the
// files when they change, without a restart of the program.
package savorytls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = 5 * time.Second

// Files holds the paths of the PEM files of one listener or client.
type Files struct {
	Certificate string
	Key         string
	// Authorities is the path of the certificates of the authorities that may
	// sign the other side's certificate. It may be empty for a listener whose
	// clients present no certificate.
	Authorities string
}

// Loader loads Files and reloads them after a change. It checks for changes when
// a connection is established, at most once per checkInterval. The exported
// fields must be set before the call of Load.
type Loader struct {
	Files Files
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnReloadError, if not nil, is called with the error if changed files
	// cannot be loaded. The credentials loaded before stay in use.
	OnReloadError func(error)

	mu        sync.Mutex
	loaded    credentials
	checkedAt time.Time
}

// credentials is the parsed content of Files.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	changedAt   time.Time
}

// Load loads the files. It must succeed before a connection uses ServerConfig
// or ClientConfig.
func (l *Loader) Load() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	loaded, err := l.Files.read()
	if err != nil {
		return err
	}
	l.loaded = loaded
	l.checkedAt = l.now()
	return nil
}

// ServerConfig returns the configuration of a listener. If mutual is set,
// clients must present a certificate that one of the authorities signed.
func (l *Loader) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := l.current()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*creds.certificate},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = creds.authorities
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the configuration of a client that presents its own
// certificate and verifies the server's certificate. The server's certificate
// must be valid for the dialed IP address.
func (l *Loader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return l.current().certificate, nil
		},
		// RootCAs cannot change after the configuration is in use, but the
		// authorities can. VerifyConnection does the full verification.
		InsecureSkipVerify: true, //nolint:gosec // verified by VerifyConnection
		VerifyConnection:   l.verifyServer,
	}
}

// verifyServer verifies the chain and the address of the server's certificate
// against the current authorities.
func (l *Loader) verifyServer(state tls.ConnectionState) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       state.ServerName,
		Roots:         l.current().authorities,
		Intermediates: intermediates,
	})
	if err != nil {
		return fmt.Errorf("verify certificate of server %s: %w", state.ServerName, err)
	}
	return nil
}

// current returns the current credentials. It reloads the files first if their
// modification time changed and the last check is at least checkInterval ago.
func (l *Loader) current() credentials {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.checkedAt) < checkInterval {
		return l.loaded
	}
	l.checkedAt = now
	changedAt, err := l.Files.modifiedAt()
	if err == nil && changedAt.Equal(l.loaded.changedAt) {
		return l.loaded
	}
	loaded, err := l.Files.read()
	if err != nil {
		if l.OnReloadError != nil {
			l.OnReloadError(err)
		}
		return l.loaded
	}
	l.loaded = loaded
	return l.loaded
}

func (l *Loader) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

func (f Files) read() (credentials, error) {
	changedAt, err := f.modifiedAt()
	if err != nil {
		return credentials{}, err
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return credentials{}, fmt.Errorf("load certificate %s: %w", f.Certificate, err)
	}
	loaded := credentials{certificate: &certificate, changedAt: changedAt}
	if f.Authorities == "" {
		return loaded, nil
	}
	text, err := os.ReadFile(f.Authorities)
	if err != nil {
		return credentials{}, fmt.Errorf("read authorities: %w", err)
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(text) {
		return credentials{}, fmt.Errorf("authorities %s: no certificate found", f.Authorities)
	}
	return loaded, nil
}

// modifiedAt returns the latest modification time of the files. Empty paths are
// skipped.
func (f Files) modifiedAt() (time.Time, error) {
	var latest time.Time
	for _, name := range []string{f.Certificate, f.Key, f.Authorities} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, fmt.Errorf("certificate file: %w", err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
