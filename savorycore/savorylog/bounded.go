package savorylog

// This file defines BoundedWriter, a writer that never blocks its callers.

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// reportDrops is the interval at which dropped lines are reported.
const dropReportInterval = 5 * time.Second

// BoundedWriter writes lines to W in the background. A line is dropped and
// counted if the queue is full or the line exceeds the byte rate. Its exported
// fields are set before Run.
type BoundedWriter struct {
	W io.Writer
	// QueueLines is the length of the queue in lines.
	QueueLines int
	// BytesPerSecond bounds the mean rate, Burst the bytes that are accepted at
	// once.
	BytesPerSecond int
	Burst          int

	once    sync.Once
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

var _ io.Writer = (*BoundedWriter)(nil)

func (b *BoundedWriter) prepare() {
	b.once.Do(func() {
		b.queue = make(chan []byte, b.QueueLines)
		b.limit = rate.NewLimiter(rate.Limit(b.BytesPerSecond), b.Burst)
	})
}

// Write queues a copy of line. It never returns an error: a dropped log line
// must not fail the operation that logs it.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.prepare()
	if !b.limit.AllowN(time.Now(), len(line)) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Run writes the queued lines until done is closed, and then the lines that
// remain in the queue.
func (b *BoundedWriter) Run(done <-chan struct{}) error {
	b.prepare()
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-b.queue:
			if _, err := b.W.Write(line); err != nil {
				return fmt.Errorf("log output: %w", err)
			}
		case <-ticker.C:
			if n := b.dropped.Load(); n > reported {
				if _, err := fmt.Fprintf(b.W, "level=warn message=\"log lines dropped\" lines=%d total=%d\n", n-reported, n); err != nil {
					return fmt.Errorf("log output: %w", err)
				}
				reported = n
			}
		case <-done:
			return b.flush()
		}
	}
}

func (b *BoundedWriter) flush() error {
	for {
		select {
		case line := <-b.queue:
			if _, err := b.W.Write(line); err != nil {
				return fmt.Errorf("log output: %w", err)
			}
		default:
			return nil
		}
	}
}
