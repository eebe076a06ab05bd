// Package savoryraw has HTTP responses of faulty servers that are written byte for byte: they
// break off, have no end or are no responses. Tests of clients send them.
package savoryraw

import (
	"bufio"
	"bytes"
	_ "embed" // embeds the responses
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

//go:embed responses.txt
var responses string

//go:embed heads.txt
var heads string

// Response is a response that breaks off, has no end or is none.
type Response struct {
	Name string
	text string
}

// Responses returns all responses of responses.txt, which break off or have no end.
func Responses() []Response { return sections(responses) }

// InvalidHeads returns all heads of heads.txt, which are no responses.
func InvalidHeads() []Response { return sections(heads) }

// sections returns the responses of a file.
func sections(file string) []Response {
	var all []Response
	for _, section := range strings.Split(strings.TrimSuffix(file, "\n"), "\n== ")[1:] {
		name, text, _ := strings.Cut(section, "\n")
		r := New(text)
		r.Name = name
		all = append(all, r)
	}
	return all
}

// New returns a response with a text as in responses.txt.
func New(text string) Response {
	return Response{text: strings.ReplaceAll(text, "\n", "\r\n")}
}

// HasHead reports whether the head of the final response is complete.
func (r Response) HasHead() bool {
	head, _, found := strings.Cut(r.text, "\r\n\r\n")
	return found && strings.Contains(head, "FIELDS")
}

// Endless reports whether the response has no end.
func (r Response) Endless() bool { return strings.Contains(r.text, "<ENDLESS ") }

const (
	// endlessBytes is the size of the writes of an endless part.
	endlessBytes = 8 << 10
	// endlessInterval is the time between them, so that tests in parallel do not use up the
	// processor.
	endlessInterval = time.Millisecond
)

// Write writes the response with the header fields, which are lines without the last line end. It
// returns after the last byte, or when the other end has closed the connection; w is a net.Conn if
// the response waits for that.
func (r Response) Write(w io.Writer, fields string) error {
	text := strings.ReplaceAll(strings.ReplaceAll(r.text, "FIELDS", fields), "<CR>", "\r")
	for text != "" {
		before, rest, found := strings.Cut(text, "<")
		if _, err := io.WriteString(w, before); err != nil || !found {
			return err
		}
		directive, after, _ := strings.Cut(rest, ">")
		text = after
		verb, argument, _ := strings.Cut(directive, " ")
		switch verb {
		case "HOLD":
			if c, ok := w.(io.Reader); ok {
				_, err := io.Copy(io.Discard, c)
				return err
			}
		case "FILL":
			n, err := strconv.Atoi(argument)
			if err != nil {
				return fmt.Errorf("response %q: %w", r.Name, err)
			}
			if _, err := w.Write(bytes.Repeat([]byte("x"), n)); err != nil {
				return err
			}
		case "ENDLESS":
			part := bytes.Repeat([]byte(argument), max(1, endlessBytes/len(argument)))
			for {
				if _, err := w.Write(part); err != nil {
					return err
				}
				time.Sleep(endlessInterval)
			}
		default:
			return fmt.Errorf("response %q: directive %q does not exist", r.Name, verb)
		}
	}
	return nil
}

// Server responds to each request on loopback with one response, and then closes the
// connection. Response is set before Start.
type Server struct {
	Response Response
	// Fields are header fields of the response as for Response.Write.
	Fields string

	listener net.Listener
	written  atomic.Int64
}

// Each runs check in parallel for all responses of responses.txt and for extra ones, each with a
// server that sends it with the header fields.
func Each(t *testing.T, fields string, check func(t *testing.T, s *Server), extra ...Response) {
	each(t, append(Responses(), extra...), fields, check)
}

// EachInvalidHead is Each for the heads of heads.txt.
func EachInvalidHead(t *testing.T, fields string, check func(t *testing.T, s *Server)) {
	each(t, InvalidHeads(), fields, check)
}

func each(t *testing.T, all []Response, fields string, check func(t *testing.T, s *Server)) {
	for _, r := range all {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			s := &Server{Response: r, Fields: fields}
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			check(t, s)
		})
	}
}

// Start opens the listener and serves until Close.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for raw responses: %w", err)
	}
	s.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go s.serve(c)
		}
	}()
	return nil
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Written returns the number of bytes that the server has written to its clients.
func (s *Server) Written() int64 { return s.written.Load() }

// Close closes the listener.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	// The client closes the connection of a response without end.
	_ = s.Response.Write(&countingConn{Conn: c, n: &s.written}, s.Fields)
}

// countingConn adds the bytes that it writes to n.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}
