package savoryconn

// This file defines Client, which runs one request on one connection.

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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"savorycart.example/savorycore/savoryverdict"
)

const (
	// readBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// keepTime is how long an idle connection is kept if the server states no
	// timeout; it is below the usual timeout of servers.
	defaultIdleTimeout = 4 * time.Second
	// keepMargin is taken off a stated timeout, for the time on the way.
	idleTimeoutMargin = time.Second
	// silentTime is how long sent bytes may stay unacknowledged before the
	// system closes a connection that has gone silent.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle is the idle time after which the system probes a connection,
	// and the interval of its probes.
	keepaliveInterval = time.Second
	// probeCount is the number of lost probes that close a connection.
	maxLostProbes = 2
	// maxForeign bounds late answers to earlier requests that are skipped in
	// front of the awaited one.
	maxResponseReads = 4
	// maxForeignBytes bounds the body of a skipped answer.
	maxSkippedBodyBytes = 1 << 20
)

// ErrWrongRequestID says that another request's answer came in place of the awaited
// one.
var ErrWrongRequestID = errors.New("the answer belongs to another request")

// Client keeps connections to backend servers. Its exported fields are set
// before its first use; it is safe for concurrent use.
type Client struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// OnDial, if set, is told of each new connection.
	OnDial func()

	pool Pool[netip.AddrPort, *conn]
}

type conn struct {
	net.Conn
	br *bufio.Reader
}

// Request is one request for a backend server.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request ID that the answer must echo.
	ID string
	// ResponseID reads the request ID of an answer's header.
	ResponseID func(http.Header) string
	// ForceNewConn asks for a new connection, since a kept one may have gone stale.
	ForceNewConn bool
}

// Response is the head of an answer with its body. Close must be called.
type Response struct {
	*http.Response
	// Reused reports whether a kept connection was used.
	Reused bool
	// OnClose, if set, is called once when the answer is closed.
	OnClose func()

	client    *Client
	address   netip.AddrPort
	conn      *conn
	body      io.ReadCloser
	stop      func() bool
	writeDone chan error
	mu        sync.Mutex
	complete  bool
	closed    bool
}

// Error is a failed request.
type Error struct {
	Address netip.AddrPort
	// Stage is "dial", "write" or "read".
	Stage   string
	Verdict savoryverdict.Verdict
	// Reused says that a kept connection was used.
	Reused bool
	Err    error
}

var _ error = (*Error)(nil)

// Error names server, stage and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("server %s: %s: %v (%s)", e.Address, e.Stage, e.Err, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends a request and returns the head of its answer. When ctx ends the
// connection is closed. A failure is an *Error.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, r *Request) (*Response, error) {
	cn, reused, err := c.connect(ctx, address, r.ForceNewConn)
	if err != nil {
		return nil, &Error{Address: address, Stage: "dial", Verdict: savoryverdict.NotRun, Err: err}
	}
	a := &Response{client: c, address: address, conn: cn, Reused: reused, writeDone: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	req := r.httpRequest()
	head, err := encodeHead(req, r.Body)
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

// smallBody is the largest body that is written before the answer is read.
const maxSyncBodyBytes = 16 << 10

// write sends the request; a large body goes in the background, since a server
// may answer before it has read all of it.
func (a *Response) write(head, body []byte) {
	if len(body) <= maxSyncBodyBytes {
		_, err := a.conn.Write(append(head, body...))
		a.writeDone <- err
		return
	}
	go func() {
		buffers := net.Buffers{head, body}
		_, err := buffers.WriteTo(a.conn.Conn)
		a.writeDone <- err
	}()
}

// read reads the head of the answer with the request's ID, and skips late
// answers to earlier requests of the connection.
func (a *Response) read(req *http.Request, r *Request) error {
	for range maxResponseReads {
		resp, err := readResponse(a.conn.br, req) //nolint:bodyclose // the connection is kept or closed by Answer.Close
		if err != nil {
			return err
		}
		if r.ResponseID == nil || r.ResponseID(resp.Header) == r.ID {
			a.Response, a.body = resp, resp.Body
			a.Body = a
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

// readResponse reads a final response and skips informational ones.
func readResponse(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read reads the body and notes its end.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.mu.Lock()
		a.complete = true
		a.mu.Unlock()
	}
	return n, err
}

// Close keeps the connection if the answer was read to its end, and closes it
// otherwise.
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
	// A context that ended has closed the connection.
	usable := a.stop() && a.complete && !a.Response.Close && a.conn.br.Buffered() == 0
	select {
	case err := <-a.writeDone:
		usable = usable && err == nil
	default:
		// The request's body is still on its way.
		usable = false
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

// keepFor returns how long the connection of an answer may be kept.
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

// connect returns a kept connection that is still sound, or a new one.
func (c *Client) connect(ctx context.Context, address netip.AddrPort, fresh bool) (*conn, bool, error) {
	drop := func(cn *conn) { _ = cn.Close() }
	for !fresh {
		cn, ok := c.pool.Get(address, time.Now(), drop)
		if !ok {
			break
		}
		if cn.isReusable() {
			return cn, true, nil
		}
		_ = cn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	nc, err := Dialer().DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, false, err
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}, false, nil
}

// CloseExpired closes idle connections that have run out.
func (c *Client) CloseExpired(now time.Time) {
	c.pool.RemoveExpired(now, func(cn *conn) { _ = cn.Close() })
}

// Dialer returns a dialer whose connections notice when the other end or the
// path is gone.
func Dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepaliveInterval, Interval: keepaliveInterval, Count: maxLostProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockErr error
			err := raw.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, sockErr)
		},
	}
}

// sound reports whether an idle connection is open and holds no bytes: a server
// that has closed it, or has sent what nobody asked for, is not written to.
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

// build returns the request as the HTTP library writes it.
func (r *Request) httpRequest() *http.Request {
	path, query, hasQuery := strings.Cut(r.Target, "?")
	req := &http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.Body)),
	}
	req.URL = targetURL(path, query, hasQuery)
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps the library from adding its own name.
		req.Header["User-Agent"] = []string{""}
	}
	return req
}

// encode returns the head of a request.
func encodeHead(req *http.Request, body []byte) ([]byte, error) {
	var buf bytes.Buffer
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	} else {
		req.Body = http.NoBody
	}
	if err := req.Write(&buf); err != nil {
		return nil, err
	}
	return buf.Bytes()[:buf.Len()-len(body)], nil
}
