// Package savorycrowd sends requests that hold memory or connections of an entry without
// being served, for tests of the entry's bounds.
package savorycrowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	chunkBytes = 64 << 10
	// unsentBytes is how far before the limit the bodies stop that are never completed.
	unsentBytes = 128 << 10
	// redialDelay is the time after which a client whose connection was closed opens
	// another one.
	redialDelay = 20 * time.Millisecond
	// overLimit is the factor by which bodies and heads exceed their limit.
	overLimit = 8
)

// Pattern is what each client of a crowd sends on a connection.
type Pattern struct {
	Name string
	// Warm is set if the client first sends an ordinary request and reads its response.
	Warm bool
	// First is sent once, then Unit for Repeat times. The connection is left open.
	First  string
	Unit   string
	Repeat int
	// Unread is set if the client does not read what it receives.
	Unread bool
	// Mixed, if not empty, is the patterns that the clients send in turn.
	Mixed []Pattern
}

// Request is the beginning of a POST request that an entry accepts: the request line and the
// fields of the header, each with its line end, without an empty line, a length or a body. Get
// is a whole request without a body, Stream a whole request for a stream of events.
type Request struct{ Post, Get, Stream string }

// Callers returns the patterns for the listener for callers. maxBody is the limit on bodies.
func Callers(r Request, maxBody int) []Pattern {
	chunked := r.Post + "Transfer-Encoding: chunked\r\n\r\n"
	data := strings.Repeat("x", chunkBytes)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, data)
	short := (maxBody - unsentBytes) / chunkBytes
	line := strings.Repeat("x", 1<<10)
	ps := []Pattern{
		{Name: "chunked bodies that stop", First: chunked, Unit: chunk, Repeat: short},
		{Name: "announced bodies that stop", First: r.Post + "Content-Length: " + strconv.Itoa(maxBody) + "\r\n\r\n", Unit: data, Repeat: short},
		{Name: "chunks of one byte", First: chunked, Unit: strings.Repeat("1\r\nx\r\n", 1<<10), Repeat: (maxBody - unsentBytes) >> 10},
		{Name: "chunked bodies over the limit", First: chunked, Unit: chunk, Repeat: overLimit * maxBody / chunkBytes},
		{Name: "announced bodies over the limit", First: r.Post + "Content-Length: " + strconv.Itoa(overLimit*maxBody) + "\r\n\r\n", Unit: data, Repeat: overLimit * maxBody / chunkBytes},
		{Name: "endless header line", First: r.Post + "X-Line: ", Unit: line, Repeat: 1 << 10},
		{Name: "endless header", First: r.Post, Unit: "X-Field: " + line + "\r\n", Repeat: 1 << 10},
		{Name: "endless trailer", First: chunked + "0\r\n", Unit: "X-Field: " + line + "\r\n", Repeat: 1 << 10},
		{Name: "endless chunk extension", First: chunked + "1;", Unit: line, Repeat: 1 << 10},
		{Name: "endless empty lines", Unit: strings.Repeat("\r\n", 1<<9), Repeat: 1 << 10},
		{Name: "unread responses", Unit: r.Get, Repeat: 1 << 10, Unread: true},
		{Name: "idle connections", Unread: true},
		{Name: "streams with one key", First: r.Stream},
		{Name: "bodies that stop on known connections", Warm: true, First: chunked, Unit: chunk, Repeat: short},
	}
	return append(ps, Pattern{Name: "mixed", Mixed: ps})
}

// Ports returns the patterns for the other listeners.
func Ports() []Pattern {
	return []Pattern{
		{Name: "idle", Unread: true},
		{Name: "unfinished header", First: "GET / HTTP/1.1\r\nHost: x\r\nX-Line: ", Unit: "x", Repeat: 1 << 14},
	}
}

// Run sends a pattern to address from a number of clients until ctx ends. get is the ordinary
// request of warm patterns.
func (p Pattern) Run(ctx context.Context, address string, clients int, get string) {
	var wg sync.WaitGroup
	for i := range clients {
		own := p
		if len(p.Mixed) > 0 {
			own = p.Mixed[i%len(p.Mixed)]
		}
		wg.Go(func() {
			for ctx.Err() == nil {
				own.send(ctx, address, get)
				select {
				case <-ctx.Done():
				case <-time.After(redialDelay):
				}
			}
		})
	}
	wg.Wait()
}

// send sends the pattern on one connection, and holds the connection until the entry closes it
// or ctx ends.
func (p Pattern) send(ctx context.Context, address, get string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	if p.Warm && !exchange(conn, get) {
		return
	}
	if _, err = io.WriteString(conn, p.First); err != nil {
		return
	}
	for range p.Repeat {
		if _, err = io.WriteString(conn, p.Unit); err != nil {
			return
		}
	}
	if p.Unread {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn) // ends with the connection
}

// exchange sends a request, reads its response and reports whether it was received.
func exchange(conn net.Conn, request string) bool {
	if _, err := io.WriteString(conn, request); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// Usage is what a process has used at most: resident memory in bytes, and descriptors at the
// times when Observe was called.
type Usage struct {
	Memory      int64
	Descriptors int
}

// Observe adds the current usage of a process. An error means that the process has ended.
func (u *Usage) Observe(pid int) error {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err
	}
	_, text, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.ParseInt(strings.Fields(text + " 0")[0], 10, 64)
	if err != nil || kb == 0 {
		return fmt.Errorf("process %d has no memory", pid)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return err
	}
	u.Memory, u.Descriptors = max(u.Memory, kb<<10), max(u.Descriptors, len(open))
	return nil
}
