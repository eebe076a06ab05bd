package savoryengine

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
	"savorycart.example/savorycore/savoryverdict"
)

// Guards against a response of an engine that breaks off or has no end and counts as a whole
// one, or of which more than a bounded part is read.
func TestResponsesWithoutEnd(t *testing.T) {
	savoryraw.Each(t, "Content-Type: text/event-stream", func(t *testing.T, s *savoryraw.Server) {
		is := is.New(t)
		c := &Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 64 << 10}, CallTimeout: time.Second}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		run := &Run{Chain: []Hop{{Server: "e", Address: s.Address()}}}
		err := c.Run(ctx, run, func(Event) bool { t.Error("an event is read"); return true })
		is.True(err != nil)
		is.Equal(savoryverdict.Of(err), savoryverdict.MayHaveRun)
		_, err = c.Status(ctx, s.Address())
		is.True(err != nil)
		is.True(c.Order(ctx, s.Address(), Order{}) != nil)
		is.True(s.Written() < 3*(maxResponseBytes+4<<20)) // the kernel buffers the rest
	})
}
