package savorynode

// This file defines the requests and responses of the OpenAI-compatible API.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

// The paths of the completion calls.
const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
)

const (
	// defaultMaxTokens is the maximum length of an answer if the request sets
	// none.
	defaultMaxTokens = 128
	// maxStops bounds the stop sequences of a request.
	maxStops = 4
	// leadingPrefixTokens is the number of leading prompt tokens that
	// identify a cacheable prefix if there is no system message.
	leadingPrefixTokens = 64
)

// completionRequest is the body of both completion calls. Prompt is for plain
// completions, Messages for chat completions.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              *string         `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Seed                *int64          `json:"seed"`
	Stop                json.RawMessage `json:"stop"`
	N                   *int            `json:"n"`
	User                string          `json:"user"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
	Name    string `json:"name,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completion is a parsed and checked request.
type completion struct {
	pipeline     *savoryworld.Pipeline
	chat         bool
	stream       bool
	usage        bool
	prompt       string
	promptTokens int
	maxTokens    int
	prefix       uint64
	prefixTokens int
	sampling     savoryengine.Sampling
}

// parseCompletion parses and checks a request. An error names the invalid
// field.
func parseCompletion(body []byte, chat bool, cl *call) (*completion, error) {
	req, err := decodeCompletion(body)
	if err != nil {
		return nil, err
	}
	pipeline := cl.snapshot.Pipeline(req.Model)
	if pipeline == nil {
		return nil, notFound("model", "no model %q", req.Model)
	}
	c := &completion{pipeline: pipeline, chat: chat, stream: req.Stream}
	c.usage = req.StreamOptions != nil && req.StreamOptions.IncludeUsage
	if c.prompt, err = req.promptText(chat); err != nil {
		return nil, err
	}
	if c.maxTokens, err = req.maxTokens(pipeline); err != nil {
		return nil, err
	}
	if c.sampling, err = req.sampling(); err != nil {
		return nil, err
	}
	if req.N != nil && *req.N != 1 {
		return nil, savoryverdict.Invalid("n", "must be 1: one answer is generated for each request")
	}
	c.promptTokens = len(strings.Fields(c.prompt))
	c.setPrefix(req)
	return c, nil
}

// setPrefix sets the hash and the length of the prompt prefix that other
// requests are likely to share: the system message, or the first
// leadingPrefixTokens words.
func (c *completion) setPrefix(req *completionRequest) {
	if len(req.Messages) > 1 && req.Messages[0].Role == "system" {
		c.prefix = xxhash.Sum64String(req.Messages[0].Content)
		c.prefixTokens = len(strings.Fields(req.Messages[0].Content))
		return
	}
	words := strings.Fields(c.prompt)
	if len(words) >= leadingPrefixTokens {
		c.prefix = xxhash.Sum64String(strings.Join(words[:leadingPrefixTokens], " "))
		c.prefixTokens = leadingPrefixTokens
	}
}

// decodeCompletion decodes a JSON request. Unknown fields and trailing data
// are errors.
func decodeCompletion(body []byte) (*completionRequest, error) {
	req := new(completionRequest)
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(req); err != nil {
		return nil, jsonError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, savoryverdict.Invalid("Body", "holds more than one JSON value")
	}
	return req, nil
}

// jsonError converts an error of the JSON decoder to an error that names the
// field.
func jsonError(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return savoryverdict.Invalid(kind.Field, "must be a %s", kind.Type)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return savoryverdict.Invalid(strings.Trim(field, `"`), "is not a known field")
	}
	return savoryverdict.Invalid("Body", "is not valid JSON: %v", err)
}

func (r *completionRequest) promptText(chat bool) (string, error) {
	if !chat {
		if r.Messages != nil {
			return "", savoryverdict.Invalid("messages", "belongs to chat completions")
		}
		if r.Prompt == nil || strings.TrimSpace(*r.Prompt) == "" {
			return "", savoryverdict.Invalid("prompt", "is empty")
		}
		return *r.Prompt, nil
	}
	if r.Prompt != nil {
		return "", savoryverdict.Invalid("prompt", "belongs to plain completions")
	}
	if len(r.Messages) == 0 {
		return "", savoryverdict.Invalid("messages", "is empty")
	}
	var text strings.Builder
	for i, m := range r.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant":
		default:
			return "", savoryverdict.Invalid(fmt.Sprintf("messages[%d].role", i), "%q is not a role", m.Role)
		}
		fmt.Fprintf(&text, "%s: %s\n", m.Role, m.Content)
	}
	text.WriteString("assistant:")
	return text.String(), nil
}

func (r *completionRequest) maxTokens(p *savoryworld.Pipeline) (int, error) {
	field, n := "max_tokens", r.MaxTokens
	if r.MaxCompletionTokens != nil {
		if n != nil {
			return 0, savoryverdict.Invalid("max_completion_tokens", "is given together with max_tokens")
		}
		field, n = "max_completion_tokens", r.MaxCompletionTokens
	}
	if n == nil {
		return min(defaultMaxTokens, p.MaxTokens), nil
	}
	if *n < 1 || *n > p.MaxTokens {
		return 0, savoryverdict.Invalid(field, "must be from 1 to %d", p.MaxTokens)
	}
	return *n, nil
}

func (r *completionRequest) sampling() (savoryengine.Sampling, error) {
	s := savoryengine.Sampling{Temperature: r.Temperature, TopP: r.TopP, Seed: r.Seed}
	if t := r.Temperature; t != nil && (*t < 0 || *t > 2) {
		return s, savoryverdict.Invalid("temperature", "must be from 0 to 2")
	}
	if p := r.TopP; p != nil && (*p <= 0 || *p > 1) {
		return s, savoryverdict.Invalid("top_p", "must be above 0 and at most 1")
	}
	if len(r.Stop) == 0 || string(r.Stop) == "null" {
		return s, nil
	}
	var one string
	if json.Unmarshal(r.Stop, &one) == nil {
		s.Stop = []string{one}
		return s, nil
	}
	if err := json.Unmarshal(r.Stop, &s.Stop); err != nil || len(s.Stop) > maxStops {
		return s, savoryverdict.Invalid("stop", "must be a string or an array of up to %d strings", maxStops)
	}
	return s, nil
}

// completionResponse is a response, or one event of a streamed response.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// responseBuilder builds the responses to one completion request.
type responseBuilder struct {
	id      string
	created int64
	c       *completion
}

// chunk returns one event of a streamed response.
func (f *responseBuilder) chunk(text, finish string, first bool) completionResponse {
	ch := choice{}
	if finish != "" {
		ch.FinishReason = &finish
	}
	object := "text_completion"
	if f.c.chat {
		object = "chat.completion.chunk"
		ch.Delta = &chatDelta{Content: text}
		if first {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &text
	}
	return completionResponse{ID: f.id, Object: object, Created: f.created, Model: f.c.pipeline.Name, Choices: []choice{ch}}
}

// response returns a response that is not streamed.
func (f *responseBuilder) response(text, finish string, tokens int) completionResponse {
	ch := choice{FinishReason: &finish}
	object := "text_completion"
	if f.c.chat {
		object = "chat.completion"
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	return completionResponse{
		ID: f.id, Object: object, Created: f.created, Model: f.c.pipeline.Name,
		Choices: []choice{ch}, Usage: f.usage(tokens),
	}
}

// usageChunk returns the last event of a streamed response, which is sent if
// the request asks for the usage.
func (f *responseBuilder) usageChunk(tokens int) completionResponse {
	a := f.chunk("", "", false)
	a.Choices = []choice{}
	a.Usage = f.usage(tokens)
	return a
}

func (f *responseBuilder) usage(tokens int) *usage {
	return &usage{PromptTokens: f.c.promptTokens, CompletionTokens: tokens, TotalTokens: f.c.promptTokens + tokens}
}

// writeEvent writes one server-sent event.
func writeEvent(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the customer may use.
func (p *pipelineRunner) serveModels(w http.ResponseWriter, _ *http.Request, cl *call) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range cl.customer.Pipelines {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "savorycart"})
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}
