package savoryraw

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// fullWriter fails after a number of bytes, as a connection that the other end closes.
type fullWriter struct {
	strings.Builder
	left int
}

var errFull = errors.New("full")

func (w *fullWriter) Write(p []byte) (int, error) {
	if w.left -= len(p); w.left < 0 {
		return 0, errFull
	}
	return w.Builder.Write(p)
}

// Guards against a response of the file that is not written as it stands there.
func TestWrite(t *testing.T) {
	is := is.New(t)
	names := make(map[string]bool)
	for _, r := range slices.Concat(Responses(), InvalidHeads(), EarlyResponses()) {
		is.True(!names[r.Name]) // names are unique
		names[r.Name] = true
		w := &fullWriter{left: 1 << 20}
		err := r.Write(w, "A: b\r\nC: d")
		is.Equal(errors.Is(err, errFull), r.Endless())
		is.True(r.Endless() || err == nil)
		for _, placeholder := range []string{"FIELDS", "<", ">"} {
			is.True(!strings.Contains(w.String(), placeholder))
		}
		if r.Name == "in the blank line" {
			is.Equal(w.String(), "HTTP/1.1 200 OK\r\nA: b\r\nC: d\r\nContent-Type: text/event-stream\r\n\r")
		}
	}
	is.True(len(names) > 30)
}
