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
	responses := append(savoryraw.Responses(), savoryraw.New("HTTP/1.1 200 OK\nFIELDS\nContent-Length: 8388609\n\n[]<ENDLESS  >"))
	for _, r := range responses {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &savoryraw.Server{Response: r, Fields: "ETag: x"}
			is.NoErr(s.Start())
			defer s.Close()
			vms, err := (&Client{Address: s.Address(), Timeout: 3 * time.Second}).Read(context.Background())
			is.True(err != nil)
			is.Equal(len(vms), 0)
		})
	}
}
