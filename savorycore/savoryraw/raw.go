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

//go:embed early.txt
var early string

// Response is a response that breaks off, has no end or is none.
type Response struct {
	Name string
	text string
}

// Responses returns all responses of responses.txt, which break off or have no end.
func Responses() []Response { return sections(responses) }

// InvalidHeads returns all heads of heads.txt, which are no responses.
func InvalidHeads() []Response { return sections(heads) }

// EarlyResponses returns all responses of early.txt, which a server sends before it has read the
// body of the request.
func EarlyResponses() []Response { return sections(early) }

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

// Whole reports whether a response of early.txt is whole: the server ends its side of the connection
// and does not reset it.
func (r Response) Whole() bool { return strings.Contains(r.text, "<END>") }

// ReadFirst reads as much of the body of a request as a server that sends a response of early.txt
// reads before it.
func (r Response) ReadFirst(body io.Reader) error {
	text, found := strings.CutPrefix(r.text, readFirst)
	if !found {
		return nil
	}
	count, _, _ := strings.Cut(text, ">")
	n, err := strconv.ParseInt(count, 10, 64)
	if err == nil {
		_, err = io.CopyN(io.Discard, body, n)
	}
	if err != nil {
		return fmt.Errorf("response %q: %w", r.Name, err)
	}
	return nil
}

// readFirst begins the directive of ReadFirst.
const readFirst = "<READ "

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
// returns after the last byte, or when the other end has closed the connection. w is a *net.TCPConn,
// which the caller closes then, if the response waits for that, resets the connection or ends one
// side of it.
func (r Response) Write(w io.Writer, fields string) error {
	text := strings.ReplaceAll(strings.ReplaceAll(r.text, "FIELDS", fields), "<CR>", "\r")
	if strings.HasPrefix(text, readFirst) {
		_, text, _ = strings.Cut(text, ">")
	}
	for text != "" {
		before, rest, found := strings.Cut(text, "<")
		if before != "" { // An empty write fails after <END>.
			if _, err := io.WriteString(w, before); err != nil {
				return err
			}
		}
		if !found {
			return nil
		}
		directive, after, _ := strings.Cut(rest, ">")
		text = after
		verb, argument, _ := strings.Cut(directive, " ")
		var err error
		switch verb {
		case "HOLD", "END", "RESET", "PAUSE":
			err = control(w, verb, argument)
		default:
			err = writePart(w, verb, argument)
		}
		if err != nil {
			return fmt.Errorf("response %q: %w", r.Name, err)
		}
	}
	return nil
}

// control carries out a directive that concerns the connection. It does nothing if w is no
// connection.
func control(w io.Writer, verb, argument string) error {
	if verb == "PAUSE" {
		d, err := time.ParseDuration(argument)
		time.Sleep(d)
		return err
	}
	c, ok := w.(interface {
		io.Reader
		CloseWrite() error
		SetLinger(sec int) error
	})
	if !ok {
		return nil
	}
	switch verb {
	case "END":
		return c.CloseWrite()
	case "RESET":
		return c.SetLinger(0)
	}
	_, err := io.Copy(io.Discard, c)
	return err
}

// writePart writes the bytes that a directive stands for.
func writePart(w io.Writer, verb, argument string) error {
	switch verb {
	case "BYTE":
		n, err := strconv.ParseUint(argument, 10, 8)
		if err == nil {
			_, err = w.Write([]byte{byte(n)})
		}
		return err
	case "EVENT":
		_, err := fmt.Fprintf(w, "id: %s\ndata: token %s\n\n", argument, argument)
		return err
	case "FILL":
		n, err := strconv.Atoi(argument)
		if err == nil {
			_, err = w.Write(bytes.Repeat([]byte("x"), n))
		}
		return err
	case "ENDLESS":
		part := bytes.Repeat([]byte(argument), max(1, endlessBytes/len(argument)))
		for {
			if _, err := w.Write(part); err != nil {
				return err
			}
			time.Sleep(endlessInterval)
		}
	}
	return fmt.Errorf("directive %q does not exist", verb)
}

// Server responds to each request on loopback with one response, and then closes the
// connection. Response is set before Start.
type Server struct {
	Response Response
	// Fields are header fields of the response as for Response.Write.
	Fields string
	// Early is set if the server responds before it has read the body of the request.
	Early bool

	listener net.Listener
	written  atomic.Int64
}

// Each runs check in parallel for all responses of responses.txt and for extra ones, each with a
// server that sends it with the header fields.
func Each(t *testing.T, fields string, check func(t *testing.T, s *Server), extra ...Response) {
	each(t, append(Responses(), extra...), func(s *Server) { s.Fields = fields }, check)
}

// EachInvalidHead is Each for the heads of heads.txt.
func EachInvalidHead(t *testing.T, fields string, check func(t *testing.T, s *Server)) {
	each(t, InvalidHeads(), func(s *Server) { s.Fields = fields }, check)
}

// EachEarly is Each for the responses of early.txt.
func EachEarly(t *testing.T, fields string, check func(t *testing.T, s *Server)) {
	each(t, EarlyResponses(), func(s *Server) { s.Fields, s.Early = fields, true }, check)
}

func each(t *testing.T, all []Response, configure func(*Server), check func(t *testing.T, s *Server)) {
	for _, r := range all {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			s := &Server{Response: r}
			configure(s)
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
			if tcp, ok := c.(*net.TCPConn); ok {
				go s.serve(tcp)
			}
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

func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if s.Early {
		err = s.Response.ReadFirst(req.Body)
	} else {
		_, err = io.Copy(io.Discard, req.Body)
	}
	if err != nil {
		return
	}
	// The client closes the connection of a response without end.
	_ = s.Response.Write(&countingConn{TCPConn: c, n: &s.written}, s.Fields)
}

// countingConn adds the bytes that it writes to n.
type countingConn struct {
	*net.TCPConn
	n *atomic.Int64
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.n.Add(int64(n))
	return n, err
}
