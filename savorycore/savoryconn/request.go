package savoryconn

// This file tells a connection that its server has reset from one that it has ended. The kernel reports
// a reset only once: if the writer of a request gets the error, the reader of the response sees the
// end of the connection, which is also the end of a response without a length. The reader sees it as
// well if the server closed the connection and resets it when more of the request arrives.

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// halfCloseTime is how long the end of a connection is doubted while the server has not received the
// whole request. A server that has closed the connection resets it when it receives more of the
// request, and the kernel sends a lost packet again within this time.
const halfCloseTime = 300 * time.Millisecond

// minUnsentPause is the first pause between two looks at what the server has received; each further one is
// twice as long.
const minUnsentPause = 100 * time.Microsecond

// requestConn is a connection on which one request is sent at a time. If the server resets it before
// it has received the whole request, a response that has begun ends with io.ErrUnexpectedEOF instead of
// io.EOF. A sound server may respond early and end only its side of the connection (RFC 9112, section
// 9.6): it then receives the rest of the request, or leaves the connection open.
type requestConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex

	mu sync.Mutex
	// sent is closed once the current request is written; nil before the first request.
	sent chan struct{}
	// answered is set once bytes have arrived since the current request began.
	answered bool
	// writeErr is the first error of a write, or that of a reset which was found later.
	writeErr error
}

// beginRequest records that a request is being written.
func (c *requestConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent, c.answered = make(chan struct{}), false
}

// endRequest records that the current request is written, or that writing it failed with err.
func (c *requestConn) endRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordWrite(err)
	if c.sent != nil && !isClosed(c.sent) {
		close(c.sent)
	}
}

// requestSent reports whether the current request was written without an error.
func (c *requestConn) requestSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return isClosed(c.sent) && c.writeErr == nil
}

// Write implements net.Conn.
func (c *requestConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordWrite(err)
	return n, err
}

// recordWrite records the error of a write; mu is held.
func (c *requestConn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read implements net.Conn.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.answered = c.answered || n > 0
	sent, answered := c.sent, c.answered
	c.mu.Unlock()
	if errors.Is(err, io.EOF) && sent != nil && answered && c.wasReset(sent) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// wasReset reports whether a connection that has ended was reset before the server had received the
// current request. It waits until the request is written and received, but not longer than halfCloseTime.
func (c *requestConn) wasReset(sent <-chan struct{}) bool {
	end := time.Now().Add(halfCloseTime)
	if err := c.SetWriteDeadline(end); err != nil {
		return true // closed
	}
	<-sent
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	writeErr := c.writeErr
	c.mu.Unlock()
	if writeErr != nil {
		return !errors.Is(writeErr, os.ErrDeadlineExceeded)
	}
	for pause := minUnsentPause; ; pause *= 2 {
		unsent, err := c.unsent()
		if err != nil {
			c.endRequest(err)
			return true
		}
		if unsent == 0 || time.Now().After(end) {
			return false
		}
		time.Sleep(min(pause, time.Until(end)))
	}
}

// unsent returns the number of written bytes that the kernel of the server has not acknowledged, 0 if it is
// not known. The error is that of a connection that was reset before that, or is closed.
func (c *requestConn) unsent() (int, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var reset error
	err = raw.Control(func(fd uintptr) {
		var ioctlErr error
		if n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); ioctlErr != nil || n <= 0 {
			n = 0
			return
		}
		// Neither the reader nor the writer has got the error of a reset.
		if code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			reset = syscall.Errno(code)
		}
	})
	return n, errors.Join(err, reset)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
