package savorynode

import (
	"bytes"
	"context"
	"io"
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

// Guards against a response without a length that is passed on as whole although its server reset the
// connection while the request was being written, and against one that is refused although its server
// only ended its side.
func TestEarlyResponses(t *testing.T) {
	const bodyBytes = 960_000
	for _, keep := range []bool{true, false} {
		savoryraw.EachEarly(t, "A: b", func(t *testing.T, s *savoryraw.Server) {
			tr, runs := transport(keep), 40
			if s.Response.Whole() {
				runs = 8 // each may wait a while for the server
			}
			for range runs {
				if err := sendEarly(t, tr, s, bodyBytes); (err == nil) != s.Response.Whole() {
					t.Errorf("whole: %t, %v", s.Response.Whole(), err)
				}
			}
		})
	}
}

// sendEarly sends a request with a body of size bytes, and returns the error of its response.
func sendEarly(t *testing.T, tr http.RoundTripper, s *savoryraw.Server, size int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address().String()+"/", onceBody{bytes.NewReader(make([]byte, size))})
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = int64(size)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if ctx.Err() != nil {
		t.Error("waited until the deadline")
	}
	return err
}
