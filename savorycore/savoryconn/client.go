package savoryconn

// This file defines Client, which sends each request on one connection.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"savorycart.example/savorycore/savoryverdict"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// states no timeout. It is below the usual idle timeouts of servers.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from a stated timeout to allow for network
	// delay.
	idleTimeoutMargin = time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	unackedTimeout = 1500 * time.Millisecond
	// keepaliveInterval is the idle time after which the kernel probes a
	// connection, and the interval between probes.
	keepaliveInterval = time.Second
	// maxLostProbes is the number of unanswered probes after which the kernel
	// closes a connection.
	maxLostProbes = 2
	// maxResponseReads bounds the responses that are read for one request: its
	// own response and the late responses to earlier requests that are skipped
	// before it.
	maxResponseReads = 4
	// maxSkippedBodyBytes bounds the body of a skipped response.
	maxSkippedBodyBytes = 1 << 20
	// maxHeadBytes bounds the head of a response, together with the informational
	// responses before it.
	maxHeadBytes = 64 << 10
)

// ErrHeadTooLarge is returned when a server sends more than maxHeadBytes without a
// complete head of a response.
var ErrHeadTooLarge = errors.New("the head of the response is too large")

// ErrWrongRequestID is returned when the responses on a connection belong to
// other requests.
var ErrWrongRequestID = errors.New("the response belongs to another request")

// Client sends requests to backend servers and keeps idle connections to them.
// Its exported fields are set before its first use. A Client is safe for
// concurrent use.
type Client struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// OnDial, if set, is called after each new connection.
	OnDial func()
	// Dial opens a connection; nil uses Dialer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	pool Pool[netip.AddrPort, *conn]
}

type conn struct {
	*requestConn
	br *bufio.Reader
	// headBytesLeft is the number of bytes that may still be read for the head of
	// a response; it is not used while readingHead is false.
	headBytesLeft int
	readingHead   bool
	// failed are the IDs of the requests to which the server responded with an error on
	// this connection.
	failed []string
}

// maxFailedRequests bounds conn.failed. A connection with more is not kept.
const maxFailedRequests = 16

// Read reads from the connection. While a head is read, it returns ErrHeadTooLarge
// after maxHeadBytes.
func (c *conn) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.requestConn.Read(p)
	}
	if c.headBytesLeft <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.requestConn.Read(p[:min(len(p), c.headBytesLeft)])
	c.headBytesLeft -= n
	return n, err
}

// Request is one request for a backend server.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the body in blocks, which are not changed.
	Body [][]byte
	// ID is the request ID that the response must echo.
	ID string
	// ResponseID returns the request ID from the header of a response. If it is
	// nil, the ID is not compared.
	ResponseID func(http.Header) string
	// ForceNewConn requests a new connection, since an idle one may be stale.
	ForceNewConn bool
}

// Response is the head of a response with its body. Close must be called.
type Response struct {
	*http.Response
	// Reused is set if an idle connection was used.
	Reused bool
	// OnClose, if set, is called once when the response is closed.
	OnClose func()

	client  *Client
	address netip.AddrPort
	conn    *conn
	body    io.ReadCloser
	stop    func() bool
	// unackedUnbounded is set if unackedTimeout is not in force.
	unackedUnbounded bool
	mu               sync.Mutex
	complete         bool
	closed           bool
}

// Error is a failed request.
type Error struct {
	Address netip.AddrPort
	// Stage is "dial", "write" or "read".
	Stage   string
	Verdict savoryverdict.Verdict
	// Reused is set if an idle connection was used.
	Reused bool
	Err    error
}

var _ error = (*Error)(nil)

// Error returns the server, the stage, the cause and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("server %s: %s: %v (%s)", e.Address, e.Stage, e.Err, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether the request was not sent at all, because there was no
// connection.
func (e *Error) NotSent() bool { return e.Stage == "dial" }

// ServerGone reports whether the server's VM refused the connection: no process
// listens at the address.
func (e *Error) ServerGone() bool { return e.NotSent() && errors.Is(e.Err, syscall.ECONNREFUSED) }

// Do sends a request and returns the head of its response. The connection is
// closed when ctx ends. The error of a failed request is an *Error.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, r *Request) (*Response, error) {
	cn, reused, err := c.connect(ctx, address, r)
	if err != nil {
		return nil, &Error{Address: address, Stage: "dial", Verdict: savoryverdict.NotRun, Err: err}
	}
	a := &Response{client: c, address: address, conn: cn, Reused: reused}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	req := r.httpRequest()
	head, err := encodeHead(req)
	if err != nil {
		a.abort()
		return nil, &Error{Address: address, Stage: "write", Verdict: savoryverdict.NotRun, Err: err}
	}
	a.write(head, r.Body)
	if err := a.read(req, r); err != nil {
		a.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Address: address, Stage: "read", Verdict: savoryverdict.MayHaveRun, Reused: reused, Err: err}
	}
	return a, nil
}

// maxSyncBodyBytes is the largest body that is written before the response is
// read.
const maxSyncBodyBytes = 16 << 10

// write sends the request. A large body is written in the background, since a
// server may respond before it has read the whole body.
func (a *Response) write(head []byte, body [][]byte) {
	a.conn.beginRequest()
	if bodyBytes(body) <= maxSyncBodyBytes {
		for _, block := range body {
			head = append(head, block...)
		}
		_, err := a.conn.Write(head)
		a.conn.endRequest(err)
		return
	}
	// The kernel counts the unacknowledged time also while a working server reads
	// nothing and its receive buffer is full.
	a.unackedUnbounded = a.conn.setUnackedTimeout(0) == nil
	go func() {
		buffers := append(net.Buffers{head}, body...)
		_, err := buffers.WriteTo(a.conn.Conn)
		a.conn.endRequest(err)
	}()
}

// read reads the head of the response that has the request's ID, and skips late
// responses to earlier requests on the connection.
func (a *Response) read(req *http.Request, r *Request) error {
	for range maxResponseReads {
		resp, err := a.conn.readResponse(req) //nolint:bodyclose // the connection is kept or closed by Response.Close
		if err != nil {
			return err
		}
		if r.ResponseID == nil || r.ResponseID(resp.Header) == r.ID {
			a.Response, a.body = resp, resp.Body
			a.Body = a
			if resp.StatusCode >= http.StatusBadRequest {
				a.conn.failed = append(a.conn.failed, r.ID)
			}
			return nil
		}
		if resp.Close {
			return ErrWrongRequestID
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes)); err != nil {
			return err
		}
	}
	return ErrWrongRequestID
}

// readResponse reads the head of a final response and skips informational ones.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	c.headBytesLeft, c.readingHead = maxHeadBytes, true
	defer func() { c.readingHead = false }()
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if !isInformational(resp.StatusCode) {
			return resp, checkFinal(resp.StatusCode)
		}
		if err := checkInformational(resp.StatusCode, resp.Header.Get("Content-Length"), len(resp.TransferEncoding) > 0); err != nil {
			return nil, err
		}
	}
}

// EndsWithConnection reports whether the end of the body is the end of the connection,
// since the response states neither a length nor chunks. A server that fails may end it
// alike.
func (a *Response) EndsWithConnection() bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// Read reads the body and records its end.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.mu.Lock()
		a.complete = true
		a.mu.Unlock()
	}
	return n, err
}

// Close returns the connection to the pool if the response was read to its end,
// and closes it otherwise.
func (a *Response) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	a.closed = true
	if a.OnClose != nil {
		defer a.OnClose()
	}
	// If the context has ended, its AfterFunc has closed the connection. The request's body may still be
	// being written.
	usable := a.stop() && a.complete && a.conn.requestSent() && !a.Response.Close && a.conn.br.Buffered() == 0 && len(a.conn.failed) <= maxFailedRequests
	if usable && a.unackedUnbounded {
		usable = a.conn.setUnackedTimeout(unackedTimeout) == nil
	}
	if !usable {
		return a.conn.Close()
	}
	now := time.Now()
	a.client.pool.Put(a.address, a.conn, now.Add(idleTimeout(a.Header)))
	return nil
}

func (a *Response) abort() {
	a.stop()
	_ = a.conn.Close()
}

// idleTimeout returns how long the connection of a response may be kept idle.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return max(0, min(time.Duration(s)*time.Second*4/5, time.Duration(s)*time.Second-idleTimeoutMargin))
		}
	}
	return defaultIdleTimeout
}

// connect returns an idle connection that can be used again, or a new one. A request is
// never sent twice on one connection: the server may repeat its first response there, late,
// and the ID does not tell it from the second.
func (c *Client) connect(ctx context.Context, address netip.AddrPort, r *Request) (*conn, bool, error) {
	drop := func(cn *conn) { _ = cn.Close() }
	for !r.ForceNewConn {
		cn, ok := c.pool.Get(address, time.Now(), drop)
		if !ok {
			break
		}
		if !slices.Contains(cn.failed, r.ID) && cn.isReusable() {
			return cn, true, nil
		}
		_ = cn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	cn := &conn{requestConn: &requestConn{Conn: nc}}
	cn.br = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, false, nil
}

// CloseExpired closes idle connections that have expired.
func (c *Client) CloseExpired(now time.Time) {
	c.pool.RemoveExpired(now, func(cn *conn) { _ = cn.Close() })
}

// Dialer returns a dialer whose connections are closed by the kernel when the
// other end or the network path fails.
func Dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepaliveInterval, Interval: keepaliveInterval, Count: maxLostProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUnackedTimeout(raw, unackedTimeout)
		},
	}
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return Dialer().DialContext(ctx, "tcp", address.String())
}

// setUnackedTimeout bounds the time for which sent bytes may stay unacknowledged; 0
// leaves it to the kernel.
func (c *conn) setUnackedTimeout(d time.Duration) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setUnackedTimeout(raw, d)
}

func setUnackedTimeout(raw syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// isReusable reports whether an idle connection is open and has no bytes to
// read. A connection that the server has closed, or on which it has sent bytes
// that belong to no request, must not be used.
func (c *conn) isReusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		idle = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && idle
}

// httpRequest returns the request in the form that package net/http writes.
func (r *Request) httpRequest() *http.Request {
	path, query, hasQuery := strings.Cut(r.Target, "?")
	req := &http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: bodyBytes(r.Body),
	}
	req.URL = targetURL(path, query, hasQuery)
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its own User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	return req
}

// bodyBytes returns the length of a body.
func bodyBytes(body [][]byte) int64 {
	n := int64(0)
	for _, block := range body {
		n += int64(len(block))
	}
	return n
}

// encodeHead returns the encoded head of a request, without the body.
func encodeHead(req *http.Request) ([]byte, error) {
	var buf bytes.Buffer
	if req.ContentLength == 0 {
		req.Body = http.NoBody
		err := req.Write(&buf)
		return buf.Bytes(), err
	}
	unread := new(unreadBody)
	req.Body = unread
	if err := req.Write(&buf); !unread.reached {
		return nil, err
	}
	return buf.Bytes(), nil
}

// unreadBody is a body that fails when it is read, so that only the head is written.
type unreadBody struct{ reached bool }

func (b *unreadBody) Read([]byte) (int, error) {
	b.reached = true
	return 0, io.ErrUnexpectedEOF
}

func (b *unreadBody) Close() error { return nil }
