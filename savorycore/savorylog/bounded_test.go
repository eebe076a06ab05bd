package savorylog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against callers that block on a log output that does not drain. Lines
// that do not fit into the queue must be dropped and counted.
func TestOutputThatDoesNotDrain(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	b := &BoundedWriter{W: out, QueueLines: 4, BytesPerSecond: 1 << 20, Burst: 1 << 20}
	done, runErr := make(chan struct{}), make(chan error, 1)
	go func() { runErr <- b.Run(done) }()
	start := time.Now()
	for range 100 {
		_, err := b.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second)
	is.True(b.Dropped() >= 90)
	close(out.release)
	close(done)
	is.NoErr(<-runErr)
}

// Guards against unbounded log volume. Lines above the byte rate must be
// dropped and counted.
func TestVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := &BoundedWriter{W: &out, QueueLines: 1000, BytesPerSecond: 100, Burst: 1000}
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 50 {
		_, err := b.Write(line)
		is.NoErr(err)
	}
	done := make(chan struct{})
	close(done)
	is.NoErr(b.Run(done))
	is.True(out.Len() <= 1100)
	is.True(b.Dropped() >= 39)
}
