package savoryadmin

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
)

// Guards against a head that is no response and counts as the success of a call.
func TestInvalidHeads(t *testing.T) {
	savoryraw.EachInvalidHead(t, HeaderRevision+": 5", func(t *testing.T, s *savoryraw.Server) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := (&Client{Entry: s.Address()}).Document(ctx, "")
		is.True(err != nil)
	})
}
