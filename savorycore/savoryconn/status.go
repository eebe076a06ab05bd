package savoryconn

// This file defines which heads are responses. A faulty server may send others: a status that
// does not exist, a field whose name is no token, which a later reader may take for the framing of the
// message, or an informational response with a body, whose bytes would be read as the next response.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// minFinalStatus and maxFinalStatus are the first and the last status of a final response
// (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// maxInformational bounds the informational responses that StrictTransport reads for one request.
const maxInformational = 32

// ErrNoResponse is returned when a server sends a head that is no response.
var ErrNoResponse = errors.New("the head is no response")

// checkFinal returns an error if a status is none of a final response.
func checkFinal(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return fmt.Errorf("%w: status %03d", ErrNoResponse, status)
	}
	return nil
}

// checkFields returns an error if the name of a field is no token (RFC 9112, section 5.1). Package
// net/http takes names with blanks, also before the colon.
func checkFields(header map[string][]string) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrNoResponse, name)
		}
	}
	return nil
}

// checkHead returns an error if a head is that of another protocol than HTTP/1, or if the name of a
// field is no token.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrNoResponse, resp.Proto)
	}
	return checkFields(resp.Header)
}

// isInformational reports whether a status is that of an informational response. 101 is not,
// since no request asks for another protocol.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// checkInformational returns an error if an informational response states a body.
func checkInformational(status int, length string, chunked bool) error {
	if chunked || length != "" && length != "0" {
		return fmt.Errorf("%w: status %03d with a body", ErrNoResponse, status)
	}
	return nil
}

// StrictTransport passes requests on to a transport that speaks HTTP/1.1. A head that is no
// response fails its request and closes the connection. A response whose connection is reset ends
// with an error.
type StrictTransport struct{ base *http.Transport }

var _ http.RoundTripper = StrictTransport{}

// NewStrictTransport returns a StrictTransport that passes requests on to base, which is not used
// otherwise.
func NewStrictTransport(base *http.Transport) StrictTransport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &requestConn{Conn: c}, nil
	}
	return StrictTransport{base}
}

// DefaultTransport returns a StrictTransport with the settings of http.DefaultTransport and a bound on
// the head of a response.
func DefaultTransport() StrictTransport {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		base = new(http.Transport) // replaced by a test
	}
	base = base.Clone()
	// StrictTransport reads heads of HTTP/1 only.
	base.ForceAttemptHTTP2, base.MaxResponseHeaderBytes = false, maxHeadBytes
	return NewStrictTransport(base)
}

// RoundTrip implements http.RoundTripper. Its error wraps ErrNoResponse if the head was none.
func (t StrictTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	informational := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn.Store(&info.Conn)
			// TLS tells the end of a connection from a reset by itself.
			if c, ok := info.Conn.(*requestConn); ok {
				c.beginRequest()
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c, ok := (*conn.Load()).(*requestConn); ok {
				c.endRequest(nil) // Write has recorded an error.
			}
		},
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			// The transport bounds the header of each one only.
			if informational++; informational > maxInformational {
				return fmt.Errorf("%w: more than %d informational responses", ErrNoResponse, maxInformational)
			}
			if err := checkFields(header); err != nil {
				return err
			}
			// The transport has read the field Transfer-Encoding. A chunk is no head, so it fails.
			return checkInformational(status, header.Get("Content-Length"), false)
		},
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(checkHead(resp), checkFinal(resp.StatusCode)); err != nil {
		_ = resp.Body.Close()
		if c := conn.Load(); c != nil {
			// The transport may keep the connection, since it takes the body for complete.
			_ = (*c).Close()
		}
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (t StrictTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }
