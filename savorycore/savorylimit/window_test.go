package savorylimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryclock"
)

// Guards against spreading the budget over the window: when an engine fails with
// all its streams, the whole share may be used at once, and it is not available
// again within the window.
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

// Guards against a window at any offset that holds more retries than the slack.
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
				t.Fatalf("%d retries in a window exceed the slack of %v", n, b.Slack)
			}
		}
	})
}

// Guards against exceeding the slack when all entries fail and restart: none of
// them can tell how many entries share the slack or how much was spent before.
func TestNewEntryHasLittleSlack(t *testing.T) {
	is := is.New(t)
	const window = 10 * time.Second
	is.Equal(SlackShare(300, 1, 0, window), 0.0)
	is.Equal(SlackShare(300, 1, peerDiscoveryWindow-time.Millisecond, window), 0.0)
	is.Equal(SlackShare(300, 60, peerDiscoveryWindow, window), 1.25)
	// The retries before the failure and after the restart together stay within
	// the slack in the settings.
	const usedFraction = 0.8
	is.True(usedFraction*300+60*SlackShare(usedFraction*300, 60, peerDiscoveryWindow, window) <= 300+1e-9)
	is.Equal(SlackShare(300, 60, window, window), 5.0)
}

// Guards against a time of day that jumps forward and ends the window early, so that
// its retries are allowed a second time, or jumps back and never ends it.
func TestWindowBudgetIgnoresClockJumps(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	for _, seconds := range []int{2400, -2400, 30, -3} {
		b := WindowBudget{Slack: 5, Window: 10 * time.Second}
		allowed := func(now time.Time) (n int) {
			for b.AllowRetry(now) {
				n++
			}
			return n
		}
		is.Equal(allowed(start), 5)
		is.Equal(allowed(savoryclock.Jump(start.Add(3*time.Second), seconds)), 0)
		is.Equal(allowed(start.Add(6*time.Second)), 0) // the clock has jumped back again
		is.Equal(allowed(savoryclock.Jump(start.Add(12*time.Second), seconds)), 5)
	}
}
