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
)

// transferTime is the time in which n bytes arrive in base64 at minTransferRate.
func transferTime(n int) time.Duration {
	return time.Duration(n) * 4 / 3 * time.Second / minTransferRate
}

// transfer is a reading of the store. It is used by one goroutine.
type transfer struct {
	metrics   *metrics
	startedAt time.Time
	// silence is how long the reading goes on without a byte.
	silence  time.Duration
	timer    *time.Timer
	received int
}

// startTransfer returns a reading of at most maxBytes and the context of its calls. The
// context ends when no byte arrived for silence, or when the bytes took longer than at
// minTransferRate. stop must be called.
func (g *Gate) startTransfer(silence time.Duration, maxBytes int) (t *transfer, ctx context.Context, stop func()) {
	ctx, cancelCause := context.WithCancelCause(g.ctx)
	ctx, cancel := context.WithTimeout(ctx, silence+transferTime(maxBytes))
	t = &transfer{metrics: g.metrics, startedAt: g.now(), silence: silence}
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
}
