package savorytls_test

import (
	"crypto/tls"
	"io"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorykeys"
	"savorycart.example/savorycore/savorytls"
)

// issue writes the files for a certificate for 127.0.0.1, signed by one
// authority, to dir. The returned files trust the other authority.
func issue(t *testing.T, signer, trusted *savorykeys.Authority, dir string) savorytls.Files {
	t.Helper()
	files, err := signer.Issue(dir, []netip.Addr{netip.MustParseAddr("127.0.0.1")})
	if err != nil {
		t.Fatal(err)
	}
	trustedFiles, err := trusted.Issue(t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	files.Authorities = trustedFiles.Authorities
	return files
}

func newAuthority(t *testing.T) *savorykeys.Authority {
	t.Helper()
	a, err := savorykeys.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// serve accepts connections with mutual TLS until the test ends.
func serve(t *testing.T, l *savorytls.Loader) string {
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

// connect exchanges a byte with the server and returns the serial number of the
// server's certificate. The exchange is needed because with TLS 1.3 a client's
// handshake succeeds before the server refuses the client's certificate.
func connect(address string, cfg *tls.Config) (string, error) {
	conn, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		return "", err
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

func TestMutualTLSWithReload(t *testing.T) {
	// Guards against connections with a peer of another authority, against
	// files that are not reloaded after a change, and against broken files
	// that replace working credentials.
	is := is.New(t)
	authority, otherAuthority := newAuthority(t), newAuthority(t)
	now := time.Now()
	clock := func() time.Time { return now }
	serverDir := t.TempDir()
	server := &savorytls.Loader{Files: issue(t, authority, authority, serverDir), Now: clock}
	is.NoErr(server.Load())
	client := &savorytls.Loader{Files: issue(t, authority, authority, t.TempDir()), Now: clock}
	is.NoErr(client.Load())
	address := serve(t, server)

	first, err := connect(address, client.ClientConfig())
	is.NoErr(err)

	// The server refuses a client without a certificate and a client of
	// another authority.
	_, err = connect(address, &tls.Config{InsecureSkipVerify: true})
	is.True(err != nil)
	untrustedClient := &savorytls.Loader{Files: issue(t, otherAuthority, authority, t.TempDir()), Now: clock}
	is.NoErr(untrustedClient.Load())
	_, err = connect(address, untrustedClient.ClientConfig())
	is.True(err != nil)

	// The client refuses a server of another authority.
	untrustedServer := &savorytls.Loader{Files: issue(t, otherAuthority, authority, t.TempDir()), Now: clock}
	is.NoErr(untrustedServer.Load())
	_, err = connect(serve(t, untrustedServer), client.ClientConfig())
	is.True(err != nil)

	// Changed files are reloaded. If they are broken, the earlier credentials
	// stay in use and the callback is called.
	issue(t, authority, authority, serverDir)
	later := now.Add(time.Minute)
	is.NoErr(os.Chtimes(server.Files.Certificate, later, later))
	now = now.Add(time.Minute)
	second, err := connect(address, client.ClientConfig())
	is.NoErr(err)
	is.True(second != first)
	reloadErrors := 0
	server.OnReloadError = func(error) { reloadErrors++ }
	is.NoErr(os.WriteFile(server.Files.Certificate, []byte("broken"), 0o600))
	now = now.Add(time.Minute)
	third, err := connect(address, client.ClientConfig())
	is.NoErr(err)
	is.Equal(third, second)
	is.True(reloadErrors > 0)
}

func TestMissingFilesAreNamed(t *testing.T) {
	// An operator needs the path of a missing file in the error.
	is := is.New(t)
	l := &savorytls.Loader{Files: savorytls.Files{Certificate: "/nowhere/certificate.pem", Key: "/nowhere/key.pem"}}
	err := l.Load()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "/nowhere/certificate.pem"))
}
