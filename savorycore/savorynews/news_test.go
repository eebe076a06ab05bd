package savorynews

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryecho"
)

const maxAge = 2 * time.Second

// Guards against an entry that knows of a newer version, or whose last confirmation is too old,
// and does not doubt its configuration.
func TestDoubt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var n Tracker
	is.Equal(n.Doubt(now, maxAge), Unconfirmed)
	n.SetInForce(4, now)
	n.Confirm(1, now)
	is.Equal(n.Doubt(now.Add(maxAge), maxAge), None)
	is.Equal(n.Doubt(now.Add(maxAge+1), maxAge), Unconfirmed)
	is.True(!n.Hear(4, now))
	is.True(n.Hear(7, now))
	is.True(!n.Hear(7, now.Add(time.Second)))
	is.Equal(n.Doubt(now, maxAge), Behind)
	is.Equal(n.BehindFor(now.Add(time.Second)), time.Second)
	is.Equal(n.SetInForce(7, now.Add(time.Second)), time.Second)
	is.Equal(n.Doubt(now.Add(time.Second), maxAge), None)
}

// Pattern: entries pass readings to each other for a long time after the last reading of the
// store, with delays. Guards against an age that is renewed by its way over other entries: no
// entry may count a reading as later than it was.
func TestAgeIsNotRenewed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, maxDelay = 4, 500 * time.Millisecond
		readAt := time.Unix(1000, 0)
		now := readAt
		var all [entries]Tracker
		var echoes [entries][entries]savoryecho.Peer
		for i := range all {
			all[i].SetInForce(1, now)
		}
		all[0].Confirm(1, readAt)
		for range rapid.IntRange(1, 200).Draw(t, "messages") {
			from, to := rapid.IntRange(0, entries-1).Draw(t, "from"), rapid.IntRange(0, entries-1).Draw(t, "to")
			id, age := all[from].LastReading(now)
			stamp := echoes[from][to].Send(now)
			now = now.Add(time.Duration(rapid.IntRange(0, int(maxDelay)).Draw(t, "delay")))
			madeAt := echoes[to][from].Receive(stamp, now)
			if id != 0 && !madeAt.IsZero() {
				all[to].Confirm(id, madeAt.Add(-age))
			}
		}
		for i := range all {
			if late := all[i].confirmedAt.Sub(readAt); late > 0 {
				t.Fatalf("entry %d counts the reading %s too late", i, late)
			}
		}
	})
}
