package savorysite

// This file defines the listener that counts bytes.

import (
	"net"
	"sync/atomic"
)

// CountBytes returns a listener whose connections add the bytes that they read
// and write to a total.
func CountBytes(l net.Listener, bytes *atomic.Int64) net.Listener {
	return &countingListener{Listener: l, bytes: bytes}
}

// countingListener adds the bytes of its connections to a total.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept waits for a connection.
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

// Read counts what it reads.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
