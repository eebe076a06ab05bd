package savorynode

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
	"savorycart.example/savorycore/savoryverdict"
)

// Guards against a header of a backend server that has no end, or breaks off, and is kept up to
// megabytes for each request, or counts as a response.
func TestBrokenResponseHeader(t *testing.T) {
	const kernelBytes = 6 << 20 // what the kernel buffers on loopback
	savoryraw.Each(t, "A: b", func(t *testing.T, s *savoryraw.Server) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address().String()+"/", http.NoBody)
		is.NoErr(err)
		resp, err := transport(true).RoundTrip(req)
		if err == nil {
			defer resp.Body.Close()
			is.True(s.Response.HasHead())
			return
		}
		is.True(!s.Response.HasHead())
		is.NoErr(ctx.Err()) // the header ends the request, not the deadline
		is.True(s.Written() < maxResponseHeaderBytes+kernelBytes)
	})
}

// Guards against a head of a backend server that is no response and is passed on or trusted, is waited
// on, or hides a response in its body.
func TestInvalidHeads(t *testing.T) {
	for _, keep := range []bool{true, false} {
		savoryraw.EachInvalidHead(t, "A: b", func(t *testing.T, s *savoryraw.Server) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address().String()+"/", http.NoBody)
			is.NoErr(err)
			resp, err := transport(keep).RoundTrip(req)
			if err == nil {
				_ = resp.Body.Close()
				t.Fatalf("status %d is a response", resp.StatusCode)
			}
			is.NoErr(ctx.Err())
			is.Equal(savoryverdict.OfDial(err), savoryverdict.MayHaveRun)
		})
	}
}
