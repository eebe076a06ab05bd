package savorygate

// This file bounds the readings of the store that may transfer many bytes. Over the link
// of a small VM they take seconds. A reading that ends before all bytes have arrived
// fills the link for nothing, so it goes on while bytes arrive.

import (
	"context"
	"fmt"
	"time"

	"savorycart.example/savorycore/savorystore"
)

const (
	// minTransferRate is the rate, in bytes per second, below which a transfer from or
	// to the store may be given up: a quarter of the link of a VM of 20 Mbit/s.
	minTransferRate = 20_000_000 / 8 / 4
	// maxConfigBytes is the size of the largest configuration.
	maxConfigBytes = 4 << 20
	// maxListBytes is the size of a long list of servers: some thousand registrations.
	maxListBytes = 2 << 20
	// largeReadingBytes is the size of a reading from which the time between two
	// readings depends on how long they take.
	largeReadingBytes = 128 << 10
	// spacing is the time from one large reading to the next, as a multiple of the time
	// that it takes. The other connections have the link to themselves for the rest.
	spacing = 4
	// applyMargin is the time from the last byte of a configuration until it is in
	// force, together with pollInterval.
	applyMargin = 300 * time.Millisecond
)

// readingInterval returns the time from the start of a reading of the configuration to
// that of the next, at least base. A new version must be in force within configTime of
// its writing, also if that was just after the start of a reading. If the link is too
// slow for that, the readings take half of it.
func readingInterval(base time.Duration, bytes int, took, configTime time.Duration) time.Duration {
	if bytes < largeReadingBytes {
		return base
	}
	longest := configTime - took - applyMargin
	if longest < took {
		return max(base, 2*took)
	}
	return max(base, min(spacing*took, longest))
}

// transferTime is the time in which n bytes arrive in base64 at minTransferRate.
func transferTime(n int) time.Duration {
	return time.Duration(n) * 4 / 3 * time.Second / minTransferRate
}

// transfer is a reading of the store. It is used by one goroutine.
type transfer struct {
	now       func() time.Time
	metrics   *metrics
	startedAt time.Time
	// silence is how long the reading goes on without a byte.
	silence  time.Duration
	timer    *time.Timer
	received int
	// firstAt and lastAt are the times of the first and the last byte.
	firstAt time.Time
	lastAt  time.Time
}

// took returns the time in which the bytes arrived, without the wait for the first one.
func (t *transfer) took() time.Duration { return t.lastAt.Sub(t.firstAt) }

// startTransfer returns a reading of at most maxBytes and the context of its calls. The
// context ends when no byte arrived for silence, or when the bytes took longer than at
// minTransferRate. stop must be called.
func (g *Gate) startTransfer(silence time.Duration, maxBytes int) (t *transfer, ctx context.Context, stop func()) {
	ctx, cancelCause := context.WithCancelCause(g.ctx)
	ctx, cancel := context.WithTimeout(ctx, silence+transferTime(maxBytes))
	t = &transfer{now: g.now, metrics: g.metrics, startedAt: g.now(), silence: silence}
	t.timer = time.AfterFunc(silence, func() {
		cancelCause(fmt.Errorf("no byte received for %s: %w", silence, context.DeadlineExceeded))
	})
	return t, savorystore.WithReceived(ctx, t.add), func() {
		t.timer.Stop()
		cancel()
		cancelCause(nil)
	}
}

// add records that n bytes arrived.
func (t *transfer) add(n int) {
	t.received += n
	t.metrics.storeReceived.Add(float64(n))
	t.timer.Reset(t.silence)
	if n == 0 {
		return
	}
	t.lastAt = t.now()
	if t.firstAt.IsZero() {
		t.firstAt = t.lastAt
	}
}
