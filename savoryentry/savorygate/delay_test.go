package savorygate

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorylog"
)

// Guards against an overloaded or paused process whose log does not say so.
func TestLateTimerIsLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := savorylog.New(&out, "info")
	is.NoErr(err)
	g := &Gate{Log: logger, metrics: newMetrics(func() int64 { return 0 })}
	g.recordTimerDelay(minLoggedDelay-time.Millisecond, 0, 0, 0)
	is.Equal(out.Len(), 0)
	g.exchanges.answered.Add(30)
	g.recordTimerDelay(minLoggedDelay, 400*time.Millisecond, 0, 10)
	is.True(strings.Contains(out.String(), "delayMs=500"))
	is.True(strings.Contains(out.String(), "suspendedMs=400"))
	is.True(strings.Contains(out.String(), "answered=20"))
}

// Guards against a pause of a stream that is put down to its engine although the stream was moved
// or sent again in it.
func TestGapCause(t *testing.T) {
	is := is.New(t)
	s := &stream{}
	s.recordGapCause(gapResent)
	is.Equal(s.takeGapCause(), gapResent)
	is.Equal(s.takeGapCause(), gapEngine)
	s.recordGapCause(gapMoved)
	is.Equal(s.takeGapCause(), gapMoved)
	is.Equal(s.takeGapCause(), gapEngine)
}
