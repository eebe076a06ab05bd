package savoryvmlist

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
)

// Guards against a list that breaks off, or exceeds its bound, and counts as a whole one: the VMs
// that it lacks would be removed.
func TestCutList(t *testing.T) {
	tooLarge := savoryraw.New("HTTP/1.1 200 OK\nFIELDS\nContent-Length: 8388609\n\n[]<ENDLESS  >")
	savoryraw.Each(t, "ETag: x", func(t *testing.T, s *savoryraw.Server) {
		is := is.New(t)
		vms, err := (&Client{Address: s.Address(), Timeout: 3 * time.Second}).Read(context.Background())
		is.True(err != nil)
		is.Equal(len(vms), 0)
	}, tooLarge)
}

// Guards against a head that is no response, or hides one in its body, and counts as a list.
func TestInvalidHeads(t *testing.T) {
	savoryraw.EachInvalidHead(t, "ETag: x", func(t *testing.T, s *savoryraw.Server) {
		is := is.New(t)
		_, err := (&Client{Address: s.Address(), Timeout: time.Second}).Read(context.Background())
		is.True(err != nil)
	})
}
