package main

// This file defines the stand-in for a client. It sends one request at a time on a channel and
// opens a new one when that was closed.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client keeps one channel to an entry.
type client struct {
	to   string
	conn net.Conn
	br   *bufio.Reader
}

// request is one request with its own ID.
type request struct {
	method, path, host, id, key string
	deadline                    time.Duration
	// prompt is the text of Prompt-Prefix; it is empty for plain requests.
	prompt string
}

// result is what the client saw.
type result struct {
	request
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if there was no head of a response. complete is set if the response ended as
	// its own framing says.
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its response.
func (c *client) send(r request) result {
	res := result{request: r, sentAt: time.Now()}
	res.err = c.exchange(&res)
	res.endedAt = time.Now()
	if res.err != nil || res.header.Get("Connection") == "close" {
		c.close()
	}
	return res
}

func (c *client) exchange(res *result) error {
	r := &res.request
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.to, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds(), r.key)
	if r.prompt != "" {
		fmt.Fprintf(&b, "Model: m\r\nToken-Count: 100,60\r\nPrompt-Prefix: %s\r\n", r.prompt)
	}
	if r.method == http.MethodPost {
		body := "work of " + r.id + "\n"
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		b.WriteString("\r\n")
	}
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	res.status, res.header = resp.StatusCode, resp.Header
	if resp.Close {
		res.header.Set("Connection", "close")
	}
	body, err := io.ReadAll(resp.Body)
	res.body = string(body)
	res.complete = err == nil
	return err
}
