package savoryconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryverdict"
)

// serve runs a scripted server: each handler serves one connection.
func serve(t *testing.T, handlers ...func(net.Conn, *bufio.Reader)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, handle := range handlers {
			c, err := l.Accept()
			if err != nil {
				return
			}
			handle(c, bufio.NewReader(c))
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// respond reads a request and writes text as the response.
func respond(br *bufio.Reader, c net.Conn, text string) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(c, text)
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func send(c *Client, to netip.AddrPort, id string) (string, *Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := c.Do(ctx, to, &Request{
		Method: "POST", Target: "/x//y?a=%20b", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte("bo"), []byte("dy")}, ID: id,
		ResponseID: func(h http.Header) string { return h.Get("Id") },
	})
	if err != nil {
		return "", nil, err
	}
	body, err := io.ReadAll(a)
	_ = a.Close()
	return string(body), a, err
}

// Guards against a late response to an earlier request reaching the caller of
// the next request on the same connection. It must be skipped.
func TestLateAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	to := serve(t, func(c net.Conn, br *bufio.Reader) {
		respond(br, c, okResponse("1", "one"))
		respond(br, c, okResponse("1", "one")+okResponse("2", "two"))
	})
	c := &Client{DialTimeout: time.Second}
	body, _, err := send(c, to, "1")
	is.NoErr(err)
	is.Equal(body, "one")
	body, a, err := send(c, to, "2")
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(a.Reused)
}

// Guards against bytes after a complete response being read as the next
// response. They belong to no request, so the connection must not be used
// again.
func TestExtraBytesEndConnection(t *testing.T) {
	is := is.New(t)
	to := serve(t,
		func(c net.Conn, br *bufio.Reader) { respond(br, c, okResponse("1", "one")+"garbage") },
		func(c net.Conn, br *bufio.Reader) { respond(br, c, okResponse("2", "two")) },
	)
	c := &Client{DialTimeout: time.Second}
	_, _, err := send(c, to, "1")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	body, a, err := send(c, to, "2")
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(!a.Reused)
}

// Guards against sending a request on an idle connection that the server has
// closed.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	to := serve(t,
		func(c net.Conn, br *bufio.Reader) { respond(br, c, okResponse("1", "one")); _ = c.Close() },
		func(c net.Conn, br *bufio.Reader) { respond(br, c, okResponse("2", "two")) },
	)
	c := &Client{DialTimeout: time.Second}
	_, _, err := send(c, to, "1")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	body, _, err := send(c, to, "2")
	is.NoErr(err)
	is.Equal(body, "two")
}

// Guards against a broken response without an error, and against a wrong
// verdict: only a request that was not sent counts as not run.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nshort", "not http\r\n\r\n"} {
		to := serve(t, func(c net.Conn, br *bufio.Reader) { respond(br, c, text); _ = c.Close() })
		_, _, err := send(&Client{DialTimeout: time.Second}, to, "1")
		is.True(err != nil)
		var failure *Error
		if errors.As(err, &failure) {
			is.Equal(failure.Verdict, savoryverdict.MayHaveRun)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unusedAddress := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	_, _, err = send(&Client{DialTimeout: time.Second}, unusedAddress, "1")
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Verdict, savoryverdict.NotRun)
	is.Equal(failure.Stage, "dial")
}

// A response without a length ends with its connection. Guards against a reset
// connection being accepted as the end of the response.
func TestAnswerWithoutLength(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n"
	to := serve(t, func(c net.Conn, br *bufio.Reader) { respond(br, c, head+"whole"); _ = c.Close() })
	body, _, err := send(&Client{DialTimeout: time.Second}, to, "1")
	is.NoErr(err)
	is.Equal(body, "whole")
	to = serve(t, func(c net.Conn, br *bufio.Reader) {
		respond(br, c, head+"part")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, _, err = send(&Client{DialTimeout: time.Second}, to, "1")
	is.True(err != nil)
}

// Guards against reuse of a connection whose large request body is still being
// written when the response arrives: the bytes of two requests would mix.
func TestEarlyAnswerToLargeBody(t *testing.T) {
	is := is.New(t)
	to := serve(t,
		func(c net.Conn, br *bufio.Reader) {
			_, err := http.ReadRequest(br)
			is.NoErr(err)
			_, _ = io.WriteString(c, okResponse("1", "early"))
		},
		func(c net.Conn, br *bufio.Reader) { respond(br, c, okResponse("2", "two")) },
	)
	c := &Client{DialTimeout: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := c.Do(ctx, to, &Request{
		Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{make([]byte, 32<<20)}, ID: "1",
		ResponseID: func(h http.Header) string { return h.Get("Id") },
	})
	is.NoErr(err)
	_, err = io.ReadAll(a)
	is.NoErr(err)
	is.NoErr(a.Close())
	body, second, err := send(c, to, "2")
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(!second.Reused)
}

// Guards against changes to the request on the way: the target and the body
// must arrive unchanged, and no User-Agent header may be added.
func TestRequestIsPassedUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	to := serve(t, func(c net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err == nil {
			body, _ := io.ReadAll(req.Body)
			req.Header.Set("Body-Read", string(body))
			got <- req
		}
		_, _ = io.WriteString(c, okResponse("1", "one"))
	})
	_, _, err := send(&Client{DialTimeout: time.Second}, to, "1")
	is.NoErr(err)
	req := <-got
	is.Equal(req.RequestURI, "/x//y?a=%20b")
	is.Equal(req.Host, "h")
	is.Equal(req.Header.Get("Body-Read"), "body")
	is.Equal(req.Header.Get("User-Agent"), "")
}

// Guards against expired values that stay in the pool, and against a pool that
// does not return the newest value first.
func TestPoolRemovesExpired(t *testing.T) {
	is := is.New(t)
	var p Pool[string, int]
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var dropped []int
	drop := func(v int) { dropped = append(dropped, v) }
	p.Put("a", 1, now.Add(time.Second))
	p.Put("a", 2, now.Add(3*time.Second))
	v, found := p.Get("a", now, drop)
	is.True(found)
	is.Equal(v, 2) // the newest first
	p.RemoveExpired(now.Add(2*time.Second), drop)
	is.Equal(dropped, []int{1})
	is.Equal(p.Len(), 0)
}

// Guards against a server that sends bytes without end in place of the head of a
// response. The client stops after a bounded number of bytes, closes the connection
// and does not state that the request has not run.
func TestEndlessHead(t *testing.T) {
	for name, part := range map[string]string{
		"noise": "\x00\xff\x17", "status line": "HTTP/1.1 200 aaaaaaaa", "header": "Field: value\r\n", "long header": "aaaaaaaa",
		"informational": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			to := serve(t, func(c net.Conn, br *bufio.Reader) {
				n, first := 0, ""
				if name == "header" || name == "long header" {
					first = "HTTP/1.1 200 OK\r\n"
				}
				respond(br, c, first)
				for {
					m, err := io.WriteString(c, part)
					n += m
					if err != nil {
						sent <- n
						return
					}
				}
			})
			_, _, err := send(&Client{DialTimeout: time.Second}, to, "1")
			var failure *Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Verdict, savoryverdict.MayHaveRun)
			is.True(!errors.Is(err, context.DeadlineExceeded)) // it did not wait for its deadline
			const socketBuffers = 8 << 20
			is.True(<-sent < socketBuffers) // the connection was closed
		})
	}
}

// Guards against an earlier refusal of the same request that the server writes once more,
// late, on a connection that is in use for that request again: the caller would be told
// that a request that runs has not run.
func TestRequestIsNotSentTwiceOnOneConnection(t *testing.T) {
	is := is.New(t)
	refusal := "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	second := make(chan struct{})
	to := serve(t,
		func(c net.Conn, br *bufio.Reader) {
			respond(br, c, refusal)
			respond(br, c, okResponse("2", "two"))
			respond(br, c, refusal)
			_, _ = io.Copy(io.Discard, br)
		},
		func(c net.Conn, br *bufio.Reader) {
			close(second)
			respond(br, c, okResponse("1", "one"))
		},
	)
	c := &Client{DialTimeout: time.Second}
	_, a, err := send(c, to, "1")
	is.NoErr(err)
	is.Equal(a.StatusCode, http.StatusServiceUnavailable)
	body, a, err := send(c, to, "2") // another request may use the connection
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(a.Reused)
	body, a, err = send(c, to, "1")
	is.NoErr(err)
	is.Equal(body, "one")
	is.True(!a.Reused)
	<-second
}

// Guards against a connection that keeps the IDs of any number of refused requests.
func TestRefusedRequestsOfConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	refuse := func(c net.Conn, br *bufio.Reader) {
		for i := range maxFailedRequests + 1 {
			respond(br, c, fmt.Sprintf("HTTP/1.1 503 Busy\r\nId: %d\r\nContent-Length: 0\r\n\r\n", i))
		}
		_, _ = io.Copy(io.Discard, br)
	}
	to := serve(t, refuse, func(c net.Conn, br *bufio.Reader) { respond(br, c, okResponse("x", "new")) })
	c := &Client{DialTimeout: time.Second}
	for i := range maxFailedRequests + 1 {
		_, _, err := send(c, to, fmt.Sprint(i))
		is.NoErr(err)
	}
	_, a, err := send(c, to, "x")
	is.NoErr(err)
	is.True(!a.Reused)
}
