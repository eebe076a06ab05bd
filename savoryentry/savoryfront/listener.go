package savoryfront

// This file defines listeners with a bound on their connections. At the bound the quietest
// connection gives way to a new one.

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"savorycart.example/savorycore/savoryintake"
)

const (
	// receiveBufferBytes bounds the bytes that the kernel keeps for a connection of a caller
	// before the entry reads them; the kernel's own bound is 6 MB. A caller at a distance of 26 ms
	// still fills a link of 20 Mbit/s.
	receiveBufferBytes = 64 << 10
	// freeHeadBytes are the bytes of a head that take no part of the budget. headFactor is the
	// memory that each further byte takes: the line, its parsed copy and its growth.
	freeHeadBytes = 4 << 10
	headFactor    = 3
	// headSlackBytes is added by package net/http to the limit on heads.
	headSlackBytes = 4 << 10
	// acceptTime is how long a new connection waits for another one to end: one that gave way
	// ends within milliseconds.
	acceptTime = 200 * time.Millisecond
	// refusalTime is the time in which a response that refuses a head must be accepted.
	refusalTime = 100 * time.Millisecond
)

// headTooLarge is the response to a head over its limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// Listen opens a TCP listener whose connections have bounded receive buffers and are probed at
// the interval while they are quiet; 0 is the default of package net.
func Listen(address string, keepAlive time.Duration) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		if err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		}); err != nil {
			return err
		}
		return sockErr
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Listener bounds the open connections of a listener.
type Listener struct {
	net.Listener
	// Bound returns the number of open connections.
	Bound func() int
	// OnChange, if set, is called with 1 and -1 when a connection is opened and closed.
	OnChange func(int)

	front *Front
	// heads is set if the heads of requests are bounded.
	heads bool
	// freed receives after a connection was closed, done is closed with the listener.
	freed chan struct{}
	done  chan struct{}
	once  sync.Once
	mu    sync.Mutex
	conns map[*Conn]savoryintake.Conn
	// closing is the number of connections that gave way and are not closed yet.
	closing int
}

func (f *Front) newListener(l net.Listener, heads bool, bound func() int) *Listener {
	return &Listener{
		Listener: l, Bound: bound, front: f, heads: heads,
		freed: make(chan struct{}, 1), done: make(chan struct{}), conns: make(map[*Conn]savoryintake.Conn),
	}
}

// Callers returns the listener for callers. Its server must use ConnState and ConnContext.
func (f *Front) Callers(l net.Listener) *Listener {
	return f.newListener(l, true, func() int { return f.Bounds().Connections })
}

// Others returns a listener for others than callers, with a number of connections.
func (f *Front) Others(l net.Listener, bound int) *Listener {
	return f.newListener(l, false, func() int { return bound })
}

// Accept returns the next connection. If all connections are in use, it waits for acceptTime and
// then closes the new one; further ones wait in the backlog of the operating system meanwhile.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		l.front.Refused(Connections)
		_ = conn.Close()
	}
}

// admit adds a connection once there is room for it, or returns nil.
func (l *Listener) admit(conn net.Conn) *Conn {
	if c := l.add(conn, time.Now()); c != nil {
		return c
	}
	timer := time.NewTimer(acceptTime)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case <-l.done:
			return nil
		case <-l.freed:
		}
		if c := l.add(conn, time.Now()); c != nil {
			return c
		}
	}
}

// add adds a connection, for which another one may give way. It returns nil if there is no room.
func (l *Listener) add(conn net.Conn, now time.Time) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	bound := l.Bound()
	if len(l.conns)-l.closing >= bound {
		quiet, ok := savoryintake.Quietest(l.states, now)
		if !ok {
			return nil
		}
		l.closeQuiet(quiet)
	}
	if len(l.conns) >= savoryintake.OpenConnections(bound) {
		return nil
	}
	c := &Conn{Conn: conn, listener: l, inHead: l.heads, readAt: now}
	l.conns[c] = savoryintake.Conn{ReadAt: now}
	if l.OnChange != nil {
		l.OnChange(1)
	}
	return c
}

// Close closes the listener. A blocked Accept returns an error.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// states yields the connections.
func (l *Listener) states(yield func(*Conn, savoryintake.Conn) bool) {
	for c, state := range l.conns {
		c.mu.Lock()
		state.ReadAt = c.readAt
		c.mu.Unlock()
		if !yield(c, state) {
			return
		}
	}
}

// closeQuiet ends the wait of a connection for bytes. It is not closed here, because a request may
// just have been read from it; set then lets it go on.
func (l *Listener) closeQuiet(c *Conn) {
	state := l.conns[c]
	state.Closing = true
	l.conns[c] = state
	l.closing++
	l.front.Refused(QuietConnection)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Now()) // If it fails, the connection is closed.
}

// set records that a request is served on a connection, or ended.
func (l *Listener) set(c *Conn, serving, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.conns[c]
	if !ok {
		return
	}
	if state.Closing && serving {
		c.mu.Lock()
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // If it fails, the connection is closed.
		c.mu.Unlock()
		state.Closing = false
		l.closing--
	}
	state.Serving, state.Known = serving, state.Known || known
	l.conns[c] = state
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, ok := l.conns[c]
	if !ok {
		return
	}
	delete(l.conns, c)
	if state.Closing {
		l.closing--
	}
	if l.OnChange != nil {
		l.OnChange(-1)
	}
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener

	mu     sync.Mutex
	readAt time.Time
	// closing is set once it gave way, until a request is served.
	closing bool
	// inHead is set from the end of a request until the next one is served.
	inHead bool
	// headBytes were read in this time, reserved of them from the budget under id.
	headBytes int
	reserved  int
	id        uint64
	closed    bool
}

// Read reads from the connection. It ends the connection if a head is over its limit, or if there
// is no memory for it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	now := time.Now()
	c.mu.Lock()
	c.readAt = now
	inHead, begins := c.inHead, c.headBytes == 0
	if inHead {
		c.headBytes += n
	}
	c.mu.Unlock()
	if !inHead {
		return n, err
	}
	if begins && !bytes.Contains(p[:n], []byte("\r\n\r\n")) {
		if limit := c.headerTimeout(); limit > 0 {
			_ = c.SetReadDeadline(now.Add(limit)) // If it fails, the connection is closed.
		}
	}
	cause := c.boundHead()
	if cause == "" {
		return n, err
	}
	c.listener.front.Refused(cause)
	if cause == HeadTooLarge {
		_ = c.SetWriteDeadline(now.Add(refusalTime))
		_, _ = c.Write([]byte(headTooLarge)) // the caller may have left
	}
	return 0, io.EOF
}

// boundHead reserves memory for a head that is not small. It returns the cause if the head must be
// refused.
func (c *Conn) boundHead() Cause {
	f := c.listener.front
	c.mu.Lock()
	head := c.headBytes
	needed := head-c.reserved > freeHeadBytes
	if needed && c.id == 0 {
		c.id = f.nextID.Add(1)
	}
	id := c.id
	c.mu.Unlock()
	if f.MaxHeaderBytes != nil {
		if limit := f.MaxHeaderBytes(); limit > 0 && head > limit+headSlackBytes {
			return HeadTooLarge
		}
	}
	if !needed {
		return ""
	}
	if !f.reserve(id, headFactor*freeHeadBytes, func() { _ = c.Conn.Close() }) {
		return BudgetUsedUp
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved += freeHeadBytes
	return ""
}

func (c *Conn) headerTimeout() time.Duration {
	if c.listener.front.HeaderTimeout == nil {
		return 0
	}
	return c.listener.front.HeaderTimeout()
}

// SetReadDeadline sets the deadline. While a head is read it is not later than the deployment's
// own limit, and once the connection gave way it is over.
func (c *Conn) SetReadDeadline(t time.Time) error {
	limit := c.headerTimeout()
	// The deadline is set under the lock, so that it does not replace that of a connection that
	// gives way at the same time.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		t = time.Now()
	} else if c.inHead && c.headBytes > 0 && !t.IsZero() && limit > 0 {
		if end := time.Now().Add(limit); end.Before(t) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// serve records that the head is complete.
func (c *Conn) serve() {
	c.mu.Lock()
	c.inHead = false
	id := c.id
	c.mu.Unlock()
	if id != 0 {
		c.listener.front.complete(id)
	}
	c.listener.set(c, true, false)
}

// wait records that the request has ended and the next one is awaited.
func (c *Conn) wait() {
	c.endHead(true)
	c.listener.set(c, false, false)
}

// endHead releases the memory of a head.
func (c *Conn) endHead(next bool) {
	c.mu.Lock()
	id := c.id
	c.inHead, c.headBytes, c.reserved, c.id = next, 0, 0, 0
	c.mu.Unlock()
	if id != 0 {
		c.listener.front.release(id)
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if !closed {
		c.endHead(false)
		defer c.listener.remove(c)
	}
	return c.Conn.Close()
}

// CloseWrite closes the write side, so that a caller that is still sending reads the error response
// before the connection is reset.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// connOf returns the connection of a listener for callers, also below TLS, or nil.
func connOf(nc net.Conn) *Conn {
	if t, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*Conn)
	return c
}

// ConnState is the ConnState of the server for callers.
func ConnState(nc net.Conn, state http.ConnState) {
	if c := connOf(nc); c != nil && state == http.StateIdle {
		c.wait()
	}
}

type connKey struct{}

// ConnContext is the ConnContext of the server for callers.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(nc))
}

// Serving records that a request is served, when its head is complete.
func Serving(r *http.Request) {
	if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil {
		c.serve()
	}
}

// Known records that the connection of a request is that of a caller whose request was accepted.
func Known(r *http.Request) {
	if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil {
		c.listener.set(c, true, true)
	}
}
