package savoryadmin

// This file defines the client of the operators' listener.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savoryverdict"
)

// maxResponseBytes bounds one response.
const maxResponseBytes = 64 << 20

// httpClient carries the calls of the clients that have no HTTP client of their own.
var httpClient = &http.Client{Transport: savoryconn.DefaultTransport()}

// Client calls the operators' listener of one entry. Its exported fields are
// set before its first use.
type Client struct {
	Entry netip.AddrPort
	// Token is a team's token. It may be empty for calls that only read.
	Token string
	// HTTP sends the requests; nil means one with savoryconn.DefaultTransport.
	HTTP *http.Client
	// TLS is set if the listener uses TLS.
	TLS bool
}

// Document is the whole document, or one section of it, as TOML.
type Document struct {
	// Revision is the revision of the document, or the revision that last changed
	// the section.
	Revision uint64
	Text     []byte
}

// Status returns the entry's status.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := new(Status)
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, status)
}

// Document returns the document in force, or one section of it.
func (c *Client) Document(ctx context.Context, section savoryconfig.Section) (*Document, error) {
	path := "/v1/config/document"
	if section != "" {
		path += "?section=" + url.QueryEscape(string(section))
	}
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	revision, err := strconv.ParseUint(response.header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("entry %s: header %s is not a number", c.Entry, HeaderRevision)
	}
	return &Document{Revision: revision, Text: response.body}, nil
}

// Bootstrap submits the first document.
func (c *Client) Bootstrap(ctx context.Context, submission string, text []byte) (Accepted, error) {
	var accepted Accepted
	path := "/v1/config/document?submission=" + url.QueryEscape(submission)
	return accepted, c.call(ctx, http.MethodPost, path, text, &accepted)
}

// Submit submits one section that was read at the revision readRevision. A
// submission ID is accepted at most once, so a call whose outcome is unknown
// may be repeated with the same ID.
func (c *Client) Submit(ctx context.Context, section savoryconfig.Section, readRevision uint64, submission string, text []byte) (Accepted, error) {
	var accepted Accepted
	query := url.Values{"read": {strconv.FormatUint(readRevision, 10)}, "submission": {submission}}
	path := "/v1/config/sections/" + url.PathEscape(string(section)) + "?" + query.Encode()
	return accepted, c.call(ctx, http.MethodPost, path, text, &accepted)
}

// SetLeaving sets or clears the leaving mark of a backend server.
func (c *Client) SetLeaving(ctx context.Context, server string, leaving bool) (savorymember.Mark, error) {
	var mark savorymember.Mark
	body, err := json.Marshal(LeaveRequest{Leaving: leaving})
	if err != nil {
		return mark, fmt.Errorf("encode leave request: %w", err)
	}
	return mark, c.call(ctx, http.MethodPost, "/v1/backendservers/"+url.PathEscape(server)+"/leaving", body, &mark)
}

// Drain starts the planned shutdown of the entry.
func (c *Client) Drain(ctx context.Context) error {
	var state string
	return c.call(ctx, http.MethodPost, "/v1/drain", nil, &state)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response.body, v); err != nil {
		return fmt.Errorf("entry %s: %w", c.Entry, err)
	}
	return nil
}

type response struct {
	header http.Header
	body   []byte
}

// send sends a request. A refused request returns a *savoryverdict.Error.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (*response, error) {
	scheme := "http"
	if c.TLS {
		scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+c.Entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", c.Entry, err)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = httpClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", c.Entry, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(text) > maxResponseBytes {
		err = fmt.Errorf("the response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", c.Entry, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, responseError(resp.StatusCode, text)
	}
	return &response{header: resp.Header, body: text}, nil
}

func responseError(status int, text []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(text, &body); err != nil || !body.Error.Verdict.Valid() {
		return &savoryverdict.Error{
			Verdict: savoryverdict.MayHaveRun, Status: status, Code: "BadAnswer", Message: fmt.Sprintf("%.200s", text),
		}
	}
	return &savoryverdict.Error{
		Verdict: body.Error.Verdict, Status: status, Code: body.Error.Code,
		Field: body.Error.Param, Message: body.Error.Message,
	}
}
