// Package savorytls loads certificates and keys from files and takes changed
// files up while the program runs.
package savorytls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the shortest time between two looks at the files.
const checkInterval = 5 * time.Second

// Files names the PEM files of one listener or client.
type Files struct {
	Certificate string
	Key         string
	// Authorities holds the certificates that peers must be signed by; it may
	// be empty where the other side shows no certificate.
	Authorities string
}

// Loader holds the loaded files and reads them again when they change. Its
// exported fields are set before Load.
type Loader struct {
	Files Files
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnReloadError, if set, is told of changed files that could not be loaded; the
	// loaded ones stay in use.
	OnReloadError func(error)

	mu        sync.Mutex
	loaded    credentials
	checkedAt time.Time
}

type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	changedAt   time.Time
}

// Load reads the files. It must succeed before the configurations are used.
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

// ServerConfig returns the configuration of a listener. With mutual set, the
// other side must show a certificate that the authorities signed.
func (l *Loader) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			files := l.current()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*files.certificate},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = files.authorities
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the configuration of a client that shows its own
// certificate and verifies that of the server, which must name the IP address
// that was dialled.
func (l *Loader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return l.current().certificate, nil
		},
		// The authorities may change while the program runs, which RootCAs
		// does not allow: VerifyConnection below does the whole verification.
		InsecureSkipVerify: true, //nolint:gosec // verified by VerifyConnection
		VerifyConnection:   l.verifyServer,
	}
}

// verifyServer verifies the chain and the name of the server's certificate.
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
		return fmt.Errorf("certificate of %s: %w", state.ServerName, err)
	}
	return nil
}

// current returns the loaded files, after a look at whether they changed.
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
		return credentials{}, fmt.Errorf("certificate %s: %w", f.Certificate, err)
	}
	loaded := credentials{certificate: &certificate, changedAt: changedAt}
	if f.Authorities == "" {
		return loaded, nil
	}
	text, err := os.ReadFile(f.Authorities)
	if err != nil {
		return credentials{}, fmt.Errorf("authorities: %w", err)
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(text) {
		return credentials{}, fmt.Errorf("authorities %s: no certificate found", f.Authorities)
	}
	return loaded, nil
}

// modifiedAt returns the latest modification time of the files.
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
