package savoryadmin

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
)

// Guards against a document that is cut, by its connection or at the bound of a response, and that
// operators get as a whole one and could submit again.
func TestCutDocument(t *testing.T) {
	tooLarge := savoryraw.New("HTTP/1.1 200 OK\nFIELDS\nContent-Length: 67108865\n\n<FILL 67108865>")
	savoryraw.Each(t, HeaderRevision+": 7", func(t *testing.T, s *savoryraw.Server) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := (&Client{Entry: s.Address()}).Document(ctx, "")
		is.New(t).True(err != nil)
	}, tooLarge)
}
