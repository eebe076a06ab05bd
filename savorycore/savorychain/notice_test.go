package savorychain

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savoryworld"
)

// sendService sends requests to a plain service at a rate for d, and returns the number that
// each server got and the last error.
func sendService(t *Table, perSecond int, d time.Duration) (map[string]int, error) {
	got := make(map[string]int)
	var last error
	for now := start; now.Before(start.Add(d)); now = now.Add(time.Second / time.Duration(perSecond)) {
		choice, err := t.ChooseService("dispatch", nil, now)
		if err != nil {
			last = err
			continue
		}
		t.RecordServiceSent(choice.Server.Name)
		got[choice.Server.Name]++
		t.RecordServiceFinished(choice.Server.Name)
	}
	return got, last
}

// Guards against requests to a plain server beyond the limit that it stated, and against
// callers that wait or are told a wrong time when all servers are limited or paused.
func TestServiceLimits(t *testing.T) {
	is := is.New(t)
	table := newTestTable([]savoryworld.BackendServer{{Name: "d1", Service: "dispatch", Zone: "a"}, {Name: "d2", Service: "dispatch", Zone: "a"}})
	table.Observe("d1", start, start, savorynotice.Notice{Limit: 2})
	got, err := sendService(table, 50, 10*time.Second)
	is.NoErr(err)
	is.True(got["d1"] >= 18 && got["d1"] <= 2*10+5)
	is.Equal(got["d1"]+got["d2"], 500)
	table.Observe("d2", start, start, savorynotice.Notice{Pause: time.Minute})
	_, err = sendService(table, 50, time.Second)
	limited := (*LimitedError)(nil)
	is.True(errors.As(err, &limited) && errors.Is(err, ErrNoServer))
	is.True(limited.RetryAfter > 0 && limited.RetryAfter <= 10*time.Second)
	is.Equal(len(table.Observe("unknown", start, start, savorynotice.Notice{Limit: 2})), 0)
}

// Guards against runs that begin at an engine beyond its limit or in its pause, and against
// an engine that takes no beginnings and is not used as a later stage either.
func TestChainLimits(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newServers(1, savoryworld.LayerRange{To: 6}, savoryworld.LayerRange{From: 6, To: testLayers}))
	first, last := "0-5/0", "6-11/0"
	table.Observe(last, start, start, savorynotice.Notice{Limit: 1})
	table.Observe(first, start, start, savorynotice.Notice{Limit: 2})
	sent := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(20 * time.Millisecond) {
		choice, err := table.Choose(request(table), now)
		if limited := (*LimitedError)(nil); err != nil {
			is.True(errors.As(err, &limited) && errors.Is(err, ErrNoChain))
			continue
		}
		flight := table.RecordSent(choice, 1, now)
		table.RecordFinished(flight)
		sent++
	}
	is.True(sent >= 18 && sent <= 2*10+5)
	table.Observe(first, start, start.Add(20*time.Second), savorynotice.Notice{Pause: time.Second, LimitUnknown: true})
	_, err := table.Choose(request(table), start.Add(20*time.Second))
	is.True(err != nil)
	_, err = table.Choose(request(table), start.Add(22*time.Second))
	is.NoErr(err)
}
