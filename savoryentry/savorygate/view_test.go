package savorygate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryclock"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryworld"
)

// Two entries that report the same reading to each other with a delay must not make
// it look newer; otherwise neither would detect that nobody reads the list.
func TestListAgeGrowsWhileReadingIsEchoed(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a, b := new(view), new(view)
	a.applyList(&savoryroster.Listing{Revision: 7}, reading{id: 1, at: now}, now, nil)
	const delay = 200 * time.Millisecond
	l, known := a.listForPeers(now)
	b.applyList(l, reading{id: known.ListReading, at: now.Add(delay).Add(-known.ListAge)}, now.Add(delay), nil)
	for range 10 {
		now = now.Add(delay)
		_, known = a.listForPeers(now)
		now = now.Add(delay)
		b.confirmList(known, now)
		_, known = b.listForPeers(now)
		now = now.Add(delay)
		a.confirmList(known, now)
	}
	_, known = b.listForPeers(now)
	is.True(known.ListAge >= 10*2*delay)
	// A new reading counts.
	a.applyList(&savoryroster.Listing{Revision: 8}, reading{id: 2, at: now}, now, nil)
	_, known = a.listForPeers(now)
	b.confirmList(known, now)
	_, known = b.listForPeers(now)
	is.Equal(known.ListAge, time.Duration(0))
}

// Pattern: an engine is ordered to load the layers that a lost engine alone held, and
// gives up its own at once. The streams that wait for the layers that it gave up name
// it as the cause. It has not failed, and is used as soon as it holds the new layers.
func TestEngineThatGaveUpLayersHasNotFailed(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old, ordered := savoryworld.LayerRange{From: 50, To: 55}, savoryworld.LayerRange{From: 30, To: 35}
	server := savoryroster.Server{ID: "e", Service: "s", Born: now, Holds: old, Beat: 1}
	v := new(view)
	v.applyList(&savoryroster.Listing{Revision: 1, Servers: []savoryroster.Server{server}}, reading{id: 1, at: now}, now, nil)
	failing := func() bool {
		_, failing := v.servers("s", now)
		return failing["e"]
	}
	// A stream waits before this entry knows of the order.
	is.True(!v.recordStall("e", old, now).IsZero())
	is.True(failing())
	now = now.Add(100 * time.Millisecond)
	v.recordReport("e", Report{StartedAt: now.Add(-100 * time.Millisecond), OrderCount: 1, Busy: true}, nil)
	// Other streams wait while it loads, and after it has loaded.
	is.True(v.recordStall("e", old, now).IsZero())
	now = now.Add(time.Second)
	server.Holds, server.Orders, server.Beat = ordered, 1, 2
	v.applyList(&savoryroster.Listing{Revision: 2, Servers: []savoryroster.Server{server}}, reading{id: 2, at: now}, now, nil)
	is.True(!failing())
	is.Equal(len(v.recentFailures(now)), 0)
	is.True(v.recordStall("e", old, now).IsZero())
	is.True(!failing())
	// A stream that waits for layers that it does hold shows a failure.
	is.True(!v.recordStall("e", ordered, now).IsZero())
	is.True(failing())
}

// Guards against a time of day that jumps while a list ages, a server is avoided and the
// store was in contact: each counts by the steady clock.
func TestAgesIgnoreClockJumps(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	for _, seconds := range []int{2400, -2400} {
		v := new(view)
		v.applyList(&savoryroster.Listing{Revision: 1, Servers: []savoryroster.Server{{ID: "e", Service: "s"}}}, reading{id: 1, at: start}, start, nil)
		v.recordFailure("e", false, start)
		later := savoryclock.Jump(start.Add(300*time.Millisecond), seconds)
		_, known := v.listForPeers(later)
		is.Equal(known.ListAge, 300*time.Millisecond)
		_, failing := v.servers("s", later)
		is.True(failing["e"])
		_, failing = v.servers("s", savoryclock.Jump(start.Add(time.Second), seconds))
		is.True(!failing["e"])
		var contact savoryworld.AtomicTime
		contact.Store(start)
		is.Equal(later.Sub(contact.Load()), 300*time.Millisecond)
	}
}
