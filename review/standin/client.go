package main

// This file defines the stand-in for a client.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id       string
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

func (r result) String() string {
	end := "complete"
	if !r.complete {
		end = "not complete"
	}
	if r.err != nil {
		end += ": " + r.err.Error()
	}
	return fmt.Sprintf("%s: status %d, stamp %q, %d bytes, %s", r.id, r.status, r.header.Get("Server-Stamp"), len(r.body), end)
}

// request is one attempt of a client.
type request struct {
	id, method, path string
	header           map[string]string
	body             string
	deadline         time.Duration
}

const (
	host   = "desk.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// text returns the request as it is sent.
func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n", r.method, r.path, host, r.id, r.deadline.Milliseconds(), apiKey)
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// channel is a client's connection to an entry.
type channel struct {
	net.Conn
	br *bufio.Reader
}

func dial(addr string) (*channel, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, br: bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer until the client's time budget is over.
func (c *channel) do(f *fleet, r request) result {
	f.log("client sends %s: %s %s", r.id, r.method, r.path)
	res := c.exchange(r)
	f.log("client got %s", res)
	return res
}

func (c *channel) exchange(r request) result {
	res := result{id: r.id, header: http.Header{}}
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	if _, res.err = io.WriteString(c, r.text()); res.err != nil {
		return res
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.header = resp.StatusCode, resp.Header
	res.body, res.err = io.ReadAll(resp.Body)
	// A body without a length and without chunks would end with its connection.
	res.complete = res.err == nil
	return res
}

// send opens a connection for one request.
func (f *fleet) send(addr string, r request) result {
	c, err := dial(addr)
	if err != nil {
		f.log("client cannot connect for %s: %v", r.id, err)
		return result{id: r.id, header: http.Header{}, err: err}
	}
	defer c.Close()
	return c.do(f, r)
}
