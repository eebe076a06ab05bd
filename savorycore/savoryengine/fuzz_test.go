package savoryengine

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryverdict"
)

// Guards against a stream of an engine that ends without a last token and
// without an error: the caller would accept a truncated response.
func FuzzReadEvents(f *testing.F) {
	var stream bytes.Buffer
	token := &Token{Request: "r", Attempt: 1, Text: " word", Finish: "length"}
	if err := EncodeEvent(&stream, Event{Token: token}); err != nil {
		f.Fatal(err)
	}
	f.Add(stream.String())
	f.Add("data: {\"Token\":{\"Request\":\"r\",\"Index\":-1}}\n\n")
	f.Add("data: {\"Fault\":{\"Verdict\":\"Maybe\"}}\n\n")
	f.Add(": keepalive\n\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		finished := false
		err := readEvents(strings.NewReader(text), "e", func(e Event) bool {
			if e.Check() != nil {
				t.Fatal("handed on an event that fails its check")
			}
			finished = e.Token.Finish != ""
			return true
		})
		if (err == nil) != finished {
			t.Fatalf("finished=%t, error %v", finished, err)
		}
		var fault *Error
		if err != nil && (!errors.As(err, &fault) || !fault.Verdict.Valid()) {
			t.Fatalf("error without a verdict: %v", err)
		}
	})
}

// Guards against unbounded memory use: an event above maxEventBytes must be an
// error.
func TestEndlessEventIsRefused(t *testing.T) {
	is := is.New(t)
	err := readEvents(strings.NewReader("data: "+strings.Repeat("x", 10*maxEventBytes)), "e", func(Event) bool { return true })
	var fault *Error
	is.True(errors.As(err, &fault))
	is.Equal(fault.Verdict, savoryverdict.MayHaveRun)
}
