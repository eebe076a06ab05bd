package savorynode

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
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
