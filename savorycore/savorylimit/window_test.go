package savorylimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Pattern: an engine dies with all its streams. The whole share may be used at
// once, and no window ever holds more than it.
func TestWindowBudgetAllowsBurst(t *testing.T) {
	is := is.New(t)
	b := WindowBudget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 100 {
		b.RecordRequest(now)
		now = now.Add(90 * time.Millisecond)
	}
	n := 0
	for b.AllowRetry(now) {
		n++
	}
	is.Equal(n, 40)
	is.True(!b.AllowRetry(now.Add(9 * time.Second)))
	is.True(b.AllowRetry(now.Add(11 * time.Second)))
}

func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := WindowBudget{Slack: float64(rapid.IntRange(1, 20).Draw(t, "slack")), Window: 10 * time.Second}
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var allowed []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if b.AllowRetry(now) {
				allowed = append(allowed, now)
			}
		}
		for i, from := range allowed {
			n := 0
			for _, at := range allowed[i:] {
				if at.Sub(from) < b.Window {
					n++
				}
			}
			if float64(n) > b.Slack {
				t.Fatalf("%d retries in a window, more than %v", n, b.Slack)
			}
		}
	})
}

// Pattern: all entries are lost and start again. None knows how many share the
// slack, nor what was spent of it before.
func TestNewEntryHasLittleSlack(t *testing.T) {
	is := is.New(t)
	const window = 10 * time.Second
	is.Equal(SlackShare(300, 1, 0, window), 0.0)
	is.Equal(SlackShare(300, 1, peerDiscoveryWindow-time.Millisecond, window), 0.0)
	is.Equal(SlackShare(300, 60, peerDiscoveryWindow, window), 1.25)
	// All of it before the loss and after it stays below the operators' slack.
	const usedFraction = 0.8
	is.True(usedFraction*300+60*SlackShare(usedFraction*300, 60, peerDiscoveryWindow, window) <= 300+1e-9)
	is.Equal(SlackShare(300, 60, window, window), 5.0)
}
