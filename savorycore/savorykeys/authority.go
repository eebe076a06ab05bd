// Package savorykeys creates a certificate authority and certificates for trials
// and tests. Operators who have a certificate authority use that authority
// instead.
package savorykeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"savorycart.example/savorycore/savorytls"
)

const (
	// filePerm makes the files, of which one is a private key, readable by
	// their owner only.
	filePerm = 0o600
	// serialBits is the length of a random serial number.
	serialBits = 64
)

// Authority is a certificate authority that is held in memory.
type Authority struct {
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	certificatePEM []byte
}

// NewAuthority creates an authority with a new key. Its own certificate and the
// certificates that it issues expire lifetime after now.
func NewAuthority(now time.Time, lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	template, err := certificateTemplate(now, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Authority{certificate: certificate, key: key, certificatePEM: encodePEM("CERTIFICATE", der)}, nil
}

// Issue creates a certificate with a new key for the IP addresses, for servers
// and clients. It writes the certificate, the key and the authority's
// certificate to certificate.pem, key.pem and authorities.pem in dir.
func (a *Authority) Issue(dir string, addresses []netip.Addr) (savorytls.Files, error) {
	files := savorytls.Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authorities: filepath.Join(dir, "authorities.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("generate certificate key: %w", err)
	}
	template, err := certificateTemplate(a.certificate.NotBefore, a.certificate.NotAfter.Sub(a.certificate.NotBefore))
	if err != nil {
		return files, err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, fmt.Errorf("create certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("encode certificate key: %w", err)
	}
	return files, writeFiles([]pemFile{
		{files.Certificate, encodePEM("CERTIFICATE", der)},
		{files.Key, encodePEM("PRIVATE KEY", keyDER)},
		{files.Authorities, a.certificatePEM},
	})
}

// pemFile is the path and the content of a file to write.
type pemFile struct {
	path    string
	content []byte
}

func writeFiles(files []pemFile) error {
	for _, f := range files {
		if err := os.WriteFile(f.path, f.content, filePerm); err != nil {
			return fmt.Errorf("write certificate file: %w", err)
		}
	}
	return nil
}

// certificateTemplate returns a template with a random serial number. It is
// valid from one minute before now until lifetime after now.
func certificateTemplate(now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "savorycart"},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(lifetime),
	}, nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
