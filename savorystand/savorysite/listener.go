package savorysite

// This file defines a listener that counts the bytes of its connections.

import (
	"net"
	"sync/atomic"
)

// CountBytes returns a listener whose connections add the bytes that they read and
// write to bytes.
func CountBytes(l net.Listener, bytes *atomic.Int64) net.Listener {
	return &countingListener{Listener: l, bytes: bytes}
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
