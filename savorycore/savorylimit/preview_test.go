package savorylimit

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryworld"
)

// Guards against previews that use up a contract or a retry budget, or that state another number
// of retries than is allowed.
func TestPreviewChangesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	c := &savoryworld.Customer{Name: "c", Contract: savoryworld.Contract{RequestsPerSecond: 2, Concurrency: 9}}
	build := func() (*Limiter, *WindowBudget, *RetryBudget) {
		l, w, r := &Limiter{Entry: "e"}, &WindowBudget{Ratio: 0.2, Slack: 7, Window: 10 * time.Second}, new(RetryBudget)
		is.NoErr(l.Admit(c, 0, now))
		for range 10 {
			w.RecordRequest(now)
			r.RecordRequest(now)
		}
		is.True(w.AllowRetry(now))
		is.True(r.AllowRetry(now))
		return l, w, r
	}
	l, w, r := build()
	unchangedL, unchangedW, unchangedR := build()
	now = now.Add(3 * time.Second)
	preview := l.Copy("c")
	for preview.Admit(c, 0, now) == nil {
	}
	windowLeft, left := w.Left(now), r.Left(now)
	is.True(reflect.DeepEqual(l, unchangedL))
	is.True(reflect.DeepEqual(w, unchangedW))
	is.True(reflect.DeepEqual(r, unchangedR))
	is.NoErr(l.Admit(c, 0, now))
	for range windowLeft {
		is.True(w.AllowRetry(now))
	}
	is.True(!w.AllowRetry(now))
	is.Equal(windowLeft, 8)
	for range left {
		is.True(r.AllowRetry(now))
	}
	is.True(!r.AllowRetry(now))
}
