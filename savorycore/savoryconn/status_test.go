package savoryconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
	"savorycart.example/savorycore/savoryverdict"
)

// Guards against a head that is no response and reaches the caller as one, is waited on until the
// deadline, or hides a response in its body.
func TestInvalidHeads(t *testing.T) {
	savoryraw.EachInvalidHead(t, "Id: 1", func(t *testing.T, s *savoryraw.Server) {
		is := is.New(t)
		_, _, err := send(&Client{DialTimeout: time.Second}, s.Address(), "1")
		var failure *Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Stage, "read")
		is.Equal(failure.Verdict, savoryverdict.MayHaveRun)
		is.True(!errors.Is(err, context.DeadlineExceeded)) // it did not wait for its deadline
	})
}

// Guards against a response that is refused although its status, and those of the informational
// ones before it, are of the protocol.
func TestValidHeads(t *testing.T) {
	for _, status := range []int{200, 204, 304, 404, 599} {
		for _, informational := range []string{"", "100 Continue", "102 Processing", "103 Early Hints\r\nLink: </a>", "199 Other\r\nContent-Length: 0"} {
			t.Run(fmt.Sprint(status, " ", informational), func(t *testing.T) {
				is := is.New(t)
				text := ""
				if informational != "" {
					text = "HTTP/1.1 " + informational + "\r\n\r\n"
				}
				text += fmt.Sprintf("HTTP/1.1 %d Status\r\nId: 1\r\nContent-Length: 0\r\n\r\n", status)
				to := serve(t, func(c net.Conn, br *bufio.Reader) { respond(br, c, text) })
				_, response, err := send(&Client{DialTimeout: time.Second}, to, "1")
				is.NoErr(err)
				is.Equal(response.StatusCode, status)
			})
		}
	}
}

// Guards against a line that continues a field, or a field of a trailer, that is passed on as a field of its
// own: a continued field is one line (RFC 9112, section 5.2), a trailer is dropped.
func TestLinesThatAreNoFields(t *testing.T) {
	for text, want := range map[string]string{
		"X: a\r\n Content-Length: 3\r\nContent-Length: 5\r\n\r\nhello":                        "a Content-Length: 3",
		"X: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nY: b\r\nX A: b\r\n\r\n": "a",
	} {
		is := is.New(t)
		to := serve(t, func(c net.Conn, br *bufio.Reader) { respond(br, c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+text) })
		body, response, err := send(&Client{DialTimeout: time.Second}, to, "1")
		is.NoErr(err)
		is.Equal(body, "hello")
		response.Header.Del("Content-Length")
		is.Equal(response.Header, http.Header{"Id": {"1"}, "X": {want}})
	}
}

// Guards against the bytes of chunks that are read as a body: a transfer coding in a message of HTTP/1.0 is
// faulty framing (RFC 9112, section 6.1).
func TestTransferCodingInHTTP10(t *testing.T) {
	is := is.New(t)
	to := serve(t, func(c net.Conn, br *bufio.Reader) {
		respond(br, c, "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
		_ = c.Close()
	})
	_, _, err := send(&Client{DialTimeout: time.Second}, to, "1")
	is.True(err != nil)
}

// Guards against a call over TLS that fails because both ends could speak HTTP/2.
func TestDefaultTransportOverTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	transport := DefaultTransport()
	transport.base.TLSClientConfig = &tls.Config{RootCAs: x509.NewCertPool()}
	transport.base.TLSClientConfig.RootCAs.AddCert(server.Certificate())
	req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
	is.NoErr(err)
	resp, err := transport.RoundTrip(req)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.NoErr(resp.Body.Close())
}
