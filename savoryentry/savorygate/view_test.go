package savorygate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryroster"
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
