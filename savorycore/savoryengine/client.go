package savoryengine

// This file defines the client with which an entry calls engines.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"savorycart.example/savorycore/savoryverdict"
)

const (
	// maxEventBytes bounds one event of a run.
	maxEventBytes = 64 << 10
	// maxResponseBytes bounds a response that is not a stream.
	maxResponseBytes = 1 << 20
	// eventPrefix begins the data line of a server-sent event.
	eventPrefix = "data:"
)

// Client calls engines. Its exported fields are set before its first use.
type Client struct {
	// Transport carries the calls; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// CallTimeout bounds each call except Run.
	CallTimeout time.Duration
}

// Run starts r at the first stage of its chain and calls event for each event
// until the stream ends or event returns false. It returns nil if the stream
// ended after a last token or event returned false. Any other end is an *Error,
// whose verdict is NotRun only if the engine refused the request before it
// began to run it. Run has no timeout of its own: the caller ends ctx when
// tokens make no progress.
func (c *Client) Run(ctx context.Context, r *Run, event func(Event) bool) error {
	first := r.Chain[0]
	resp, err := c.post(ctx, first.Address, PathRun, r, nil)
	if err != nil {
		return &Error{Verdict: savoryverdict.OfDial(err), Server: first.Server, Message: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readError(resp, first.Server)
	}
	return readEvents(resp.Body, first.Server, event)
}

// Cancel asks the engine at address to stop an attempt.
func (c *Client) Cancel(ctx context.Context, address netip.AddrPort, cancel Cancel) error {
	return c.call(ctx, address, PathCancel, cancel, nil, &struct{}{})
}

// Status returns the status of the engine at address.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (Status, error) {
	var status Status
	err := c.call(ctx, address, PathStatus, struct{}{}, nil, &status)
	return status, err
}

// Order sends an order to the engine at address. An *Error with the verdict
// NotRun means that the engine refused the order.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, order Order) error {
	fence := http.Header{HeaderFence: []string{strconv.FormatInt(order.Fence, 10)}}
	return c.call(ctx, address, PathOrder, order, fence, &struct{}{})
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, path string, req any, header http.Header, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	resp, err := c.post(ctx, address, path, req, header)
	if err != nil {
		return &Error{Verdict: savoryverdict.OfDial(err), Server: address.String(), Message: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readError(resp, address.String())
	}
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if err := dec.Decode(response); err != nil {
		return &Error{Verdict: savoryverdict.MayHaveRun, Server: address.String(), Message: err.Error()}
	}
	return nil
}

func (c *Client) post(ctx context.Context, address netip.AddrPort, path string, req any, header http.Header) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The transport may resend a request whose body it can rewind when a
	// connection fails, but a run must reach an engine at most once.
	httpReq.GetBody = nil
	httpReq.Header.Set("Content-Type", "application/json")
	for name, values := range header {
		httpReq.Header[name] = values
	}
	client := http.Client{Transport: c.Transport}
	return client.Do(httpReq)
}

func readError(resp *http.Response, server string) error {
	fault := &Error{Verdict: savoryverdict.MayHaveRun, Server: server}
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if err := dec.Decode(fault); err != nil || !fault.Verdict.Valid() {
		message := fmt.Sprintf("status %d", resp.StatusCode)
		return &Error{Verdict: savoryverdict.MayHaveRun, Server: server, Message: message}
	}
	return fault
}

// readEvents decodes server-sent events. A stream that ends without a last
// token is an *Error.
func readEvents(body io.Reader, server string, event func(Event) bool) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), eventPrefix)
		if !ok {
			continue
		}
		e, err := DecodeEvent([]byte(data))
		if err != nil {
			return &Error{Verdict: savoryverdict.MayHaveRun, Server: server, Message: err.Error()}
		}
		if e.Fault != nil {
			return e.Fault
		}
		if !event(e) || e.Token.Finish != "" {
			return nil
		}
	}
	message := "the stream ended before the last token"
	if err := scanner.Err(); err != nil {
		message = err.Error()
	}
	return &Error{Verdict: savoryverdict.MayHaveRun, Server: server, Message: message}
}

// DecodeEvent decodes and checks the data of one event.
func DecodeEvent(data []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, fmt.Errorf("event: %w", err)
	}
	if err := e.Check(); err != nil {
		return Event{}, fmt.Errorf("event: %w", err)
	}
	return e, nil
}

// EncodeEvent writes one server-sent event.
func EncodeEvent(w io.Writer, e Event) error {
	data, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("event: %w", err)
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}
