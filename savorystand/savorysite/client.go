package savorysite

// This file defines the client that sends requests to a site's entries.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Caller sends requests as a customer. Its exported fields are set before its
// first use.
type Caller struct {
	// Entry is the address on which an entry accepts callers.
	Entry netip.AddrPort
	// Key is the customer's API key.
	Key string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
	// OnText, if set, is called for each piece of text of a completion.
	OnText func(text string)
}

// Response is the response to a request to a plain service.
type Response struct {
	Status     int
	Verdict    string
	Replayed   bool
	RetryAfter string
	Body       string
}

// Completion is the result of a streamed completion.
type Completion struct {
	// Text holds the pieces of text in the order of their arrival.
	Text []string
	// Complete reports whether the stream ended with the end marker [DONE].
	Complete bool
	// FirstTokenTime is the time to the first piece; TokenGaps are the times
	// between pieces.
	FirstTokenTime time.Duration
	TokenGaps      []time.Duration
	// ErrorMessage is the message of an error event, or the body of a refusal.
	ErrorMessage string
	Status       int
}

// Send sends a request to a plain service. key is the idempotency key; if it is
// empty, none is sent.
func (c *Caller) Send(ctx context.Context, method, path, body, key string) (Response, error) {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return Response{}, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return Response{
		Status: resp.StatusCode, Verdict: resp.Header.Get("Savorycart-Verdict"),
		Replayed: resp.Header.Get("Idempotent-Replayed") == "true", RetryAfter: resp.Header.Get("Retry-After"),
		Body: string(text),
	}, err
}

// Generate requests a streamed completion of at most tokens tokens.
func (c *Caller) Generate(ctx context.Context, model, prompt string, tokens int) (Completion, error) {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{model, prompt, tokens, true})
	if err != nil {
		return Completion{}, err
	}
	req, err := c.request(ctx, http.MethodPost, "/v1/completions", string(body))
	if err != nil {
		return Completion{}, err
	}
	start := time.Now()
	resp, err := c.client().Do(req)
	if err != nil {
		return Completion{}, err
	}
	defer resp.Body.Close()
	g := Completion{Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		text, err := io.ReadAll(resp.Body)
		g.ErrorMessage = string(text)
		return g, err
	}
	return g, g.read(resp.Body, start, c.OnText)
}

// streamEvent is one event of a streamed completion.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func (g *Completion) read(body io.Reader, start time.Time, onText func(string)) error {
	last := start
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			g.Complete = true
			continue
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		if event.Error != nil {
			g.ErrorMessage = event.Error.Message
			continue
		}
		now := time.Now()
		if len(g.Text) == 0 {
			g.FirstTokenTime = now.Sub(start)
		} else {
			g.TokenGaps = append(g.TokenGaps, now.Sub(last))
		}
		last = now
		for _, choice := range event.Choices {
			g.Text = append(g.Text, choice.Text)
			if onText != nil {
				onText(choice.Text)
			}
		}
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return nil
}

func (c *Caller) request(ctx context.Context, method, path, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Entry.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	return req, nil
}

func (c *Caller) client() *http.Client {
	if c.Client != nil {
		return c.Client
	}
	return http.DefaultClient
}
