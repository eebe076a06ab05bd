package savorysite

// This file defines a listener whose connections can be made unresponsive.

import (
	"net"
	"sync"
)

// freezableListener accepts connections that can be made unresponsive while new
// ones work, like those whose state a NAT gateway or firewall has dropped.
type freezableListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*freezableConn]bool
}

func newFreezableListener(l net.Listener) *freezableListener {
	return &freezableListener{Listener: l, conns: make(map[*freezableConn]bool)}
}

func (l *freezableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &freezableConn{Conn: conn, listener: l, frozen: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// freeze makes all open connections unresponsive and returns their number.
func (l *freezableListener) freeze() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns)
	for c := range l.conns {
		close(c.frozen)
		delete(l.conns, c)
	}
	return n
}

// freezableConn delivers no data in either direction once it is frozen, but stays
// open.
type freezableConn struct {
	net.Conn
	listener *freezableListener
	frozen   chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// Read reads from the connection. If the connection is frozen, it blocks until Close
// and returns net.ErrClosed.
func (c *freezableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.frozen:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write writes to the connection. If the connection is frozen, it discards the data
// and reports success.
func (c *freezableConn) Write(p []byte) (int, error) {
	select {
	case <-c.frozen:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func (c *freezableConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.conns, c)
	})
	return c.Conn.Close()
}
