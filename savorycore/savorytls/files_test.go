package savorytls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes a certificate with a serial number into dir.
func (a *authority) issue(t *testing.T, dir string, serial int64, trusted *authority) Files {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{
		Certificate: filepath.Join(dir, "certificate.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "authorities.pem"),
	}
	for name, text := range map[string][]byte{
		files.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		files.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		files.Authorities: trusted.pem,
	} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// serve accepts connections with mutual TLS until the test ends.
func serve(t *testing.T, l *Loader) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", l.ServerConfig(true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// connect returns the serial number of the server's certificate after an
// exchange of bytes.
func connect(address string, cfg *tls.Config) (int64, error) {
	conn, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		return 0, err
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLSWithReload(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	now := time.Now()
	clock := func() time.Time { return now }
	serverDir := t.TempDir()
	server := &Loader{Files: ours.issue(t, serverDir, 10, ours), Now: clock}
	is.NoErr(server.Load())
	client := &Loader{Files: ours.issue(t, t.TempDir(), 11, ours), Now: clock}
	is.NoErr(client.Load())
	address := serve(t, server)

	serial, err := connect(address, client.ClientConfig())
	is.NoErr(err)
	is.Equal(serial, int64(10))

	// A client without a certificate, and one of another authority.
	_, err = connect(address, &tls.Config{InsecureSkipVerify: true})
	is.True(err != nil)
	stranger := &Loader{Files: theirs.issue(t, t.TempDir(), 12, ours), Now: clock}
	is.NoErr(stranger.Load())
	_, err = connect(address, stranger.ClientConfig())
	is.True(err != nil)

	// A server of another authority.
	impostor := &Loader{Files: theirs.issue(t, t.TempDir(), 13, ours), Now: clock}
	is.NoErr(impostor.Load())
	_, err = connect(serve(t, impostor), client.ClientConfig())
	is.True(err != nil)

	// New files are taken up; broken ones leave the old in use.
	ours.issue(t, serverDir, 20, ours)
	later := now.Add(time.Minute)
	is.NoErr(os.Chtimes(server.Files.Certificate, later, later))
	now = now.Add(2 * checkInterval)
	serial, err = connect(address, client.ClientConfig())
	is.NoErr(err)
	is.Equal(serial, int64(20))
	failed := 0
	server.Failed = func(error) { failed++ }
	is.NoErr(os.WriteFile(server.Files.Certificate, []byte("broken"), 0o600))
	now = now.Add(2 * checkInterval)
	serial, err = connect(address, client.ClientConfig())
	is.NoErr(err)
	is.Equal(serial, int64(20))
	is.True(failed > 0)
}

func TestMissingFilesAreNamed(t *testing.T) {
	is := is.New(t)
	l := &Loader{Files: Files{Certificate: "/nowhere/certificate.pem", Key: "/nowhere/key.pem"}}
	err := l.Load()
	is.True(err != nil)
}
