package savoryconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryraw"
	"savorycart.example/savorycore/savoryverdict"
)

// earlyBodies are the sizes of requests that a server does not read before it responds, and earlyRuns
// is how often each is sent, since the kernel reports a reset to the reader or to the writer of a
// connection, whichever asks first. A whole response that waits for halfCloseTime is sent less often.
var earlyBodies = []int{130_000, 300_000, 960_000}

const earlyRuns, earlyWholeRuns = 20, 3

// Guards against a response without a length that counts as whole although its server reset the
// connection while the request was being written, and against one that counts as broken although its
// server only ended its side.
func TestEarlyResponses(t *testing.T) {
	savoryraw.EachEarly(t, "Id: 1", func(t *testing.T, s *savoryraw.Server) {
		c := &Client{DialTimeout: time.Second}
		runs, whole, want := earlyRuns*len(earlyBodies), 0, 0
		if s.Response.Whole() {
			runs = earlyWholeRuns * len(earlyBodies)
			want = runs
		}
		for i := range runs {
			size := earlyBodies[i%len(earlyBodies)]
			err := sendEarly(c, s, size)
			if err == nil {
				whole++
			}
			if (err == nil) != s.Response.Whole() {
				t.Logf("%d bytes: %v", size, err)
			}
			if verdict := savoryverdict.Of(err); err != nil && verdict != savoryverdict.MayHaveRun {
				t.Errorf("%d bytes: verdict %s", size, verdict)
			}
		}
		is.New(t).Equal(whole, want)
	})
}

// sendEarly sends a request with a body of size bytes, and returns the error of its response.
func sendEarly(c *Client, s *savoryraw.Server, size int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := c.Do(ctx, s.Address(), &Request{
		Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{make([]byte, size)}, ID: "1",
		ResponseID: func(h http.Header) string { return h.Get("Id") },
	})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r)
	if closeErr := r.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("close: %w", closeErr)
	}
	if ctx.Err() != nil {
		err = fmt.Errorf("waited until the deadline: %w", err)
	}
	return err
}
