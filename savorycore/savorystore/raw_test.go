package savorystore

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
	"savorycart.example/savorycore/savoryverdict"
)

// Guards against a response of the store that breaks off or has no end and counts as a whole
// one, or that is kept without a bound.
func TestResponsesWithoutEnd(t *testing.T) {
	savoryraw.Each(t, "Content-Type: application/json", func(t *testing.T, server *savoryraw.Server) {
		is := is.New(t)
		s := &Store{Address: server.Address(), Timeout: 300 * time.Millisecond}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := s.Get(ctx, "k")
		is.True(err != nil)
		result, err := s.Swap(ctx, Swap{Key: "k", Body: []byte("v")})
		is.True(err != nil && !result.Applied)
		is.Equal(savoryverdict.Of(err), savoryverdict.MayHaveRun)
		is.True(s.Watch(ctx, "k", 1, func(Value) { t.Error("a change is read") }) != nil)
		is.NoErr(ctx.Err()) // the watch has ended because of the response
	})
}

// Guards against a message of a watch that has no end and is kept until the process runs out
// of memory.
func TestWatchMessageIsBounded(t *testing.T) {
	is := is.New(t)
	server := &savoryraw.Server{Response: savoryraw.New("HTTP/1.1 200 OK\nFIELDS\n\n{\"result\":\"<ENDLESS xxxxxxxx>"), Fields: "A: b"}
	is.NoErr(server.Start())
	defer server.Close()
	s := &Store{Address: server.Address(), Timeout: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.True(errors.Is(s.Watch(ctx, "k", 1, func(Value) {}), errWatchTooLarge))
}

// Guards against a head that is no response and counts as one of the store.
func TestInvalidHeads(t *testing.T) {
	savoryraw.EachInvalidHead(t, "Content-Type: application/json", func(t *testing.T, server *savoryraw.Server) {
		is := is.New(t)
		s := &Store{Address: server.Address(), Timeout: 300 * time.Millisecond}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		result, err := s.Swap(ctx, Swap{Key: "k", Body: []byte("v")})
		is.True(err != nil && !result.Applied)
		is.Equal(savoryverdict.Of(err), savoryverdict.MayHaveRun)
		is.True(s.Watch(ctx, "k", 1, func(Value) { t.Error("a change is read") }) != nil)
		is.NoErr(ctx.Err()) // the watch has ended because of the response
	})
}
