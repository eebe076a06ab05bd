package savorynode

// This file defines a listener with a bound on the open connections.

import (
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// boundedListener accepts a connection only while fewer connections than its
// bound are open. Further connections wait in the backlog of the operating
// system.
type boundedListener struct {
	net.Listener
	slots chan struct{}
	open  prometheus.Gauge
	done  chan struct{}
	once  sync.Once
}

func newBoundedListener(l net.Listener, bound int, open prometheus.Gauge) *boundedListener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, bound), open: open, done: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	l.open.Inc()
	return &boundedConn{Conn: conn, listener: l}, nil
}

// Close closes the listener. A blocked Accept returns net.ErrClosed.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

// Close closes the connection and releases its slot.
func (c *boundedConn) Close() error {
	c.once.Do(func() {
		c.listener.open.Dec()
		<-c.listener.slots
	})
	return c.Conn.Close()
}

// closeWriter is a connection whose write side can be closed separately.
type closeWriter interface{ CloseWrite() error }

// CloseWrite closes the write side, so that a caller that is still sending
// reads the error response before the connection is reset.
func (c *boundedConn) CloseWrite() error {
	if w, ok := c.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}
