package savorychain

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savoryworld"
)

// Guards against a preview that changes what later requests are decided by, or that shows
// another destination than the next request gets: of two equal tables one is previewed.
func TestPreviewChangesNothing(t *testing.T) {
	is := is.New(t)
	build := func() *Table {
		servers := newServers(9, savoryworld.LayerRange{From: 0, To: 6}, savoryworld.LayerRange{From: 6, To: 12})
		servers = append(servers, savoryworld.BackendServer{Name: "d1", Service: "dispatch", Zone: "a"}, savoryworld.BackendServer{Name: "d2", Service: "dispatch", Zone: "a"})
		table := newTestTable(servers)
		for range 5 {
			choice, err := table.Choose(request(table), start)
			is.NoErr(err)
			table.RecordSent(choice, 20, start)
		}
		table.RecordFailure("0-5/1", start)
		table.SetLeaving("0-5/2", true)
		table.Observe("0-5/3", start, start, savorynotice.Notice{Limit: 2})
		table.Observe("d1", start, start, savorynotice.Notice{Limit: 2})
		table.Observe("d2", start, start, savorynotice.Notice{Pause: time.Minute})
		for range 9 {
			table.RecordServiceSent("d1") // the limit of d1 is used up
		}
		table.Rand = rand.New(rand.NewPCG(7, 7))
		return table
	}
	a, b := build(), build()
	now := start.Add(100 * time.Millisecond)
	choice, candidates, err := a.Preview(request(a), now)
	is.NoErr(err)
	_, services, serviceErr := a.PreviewService("dispatch", nil, now)
	a.Rand = nil
	random := b.Rand
	b.Rand = nil
	is.True(reflect.DeepEqual(a, b))
	b.Rand = random
	want, err := b.Choose(request(b), now)
	is.NoErr(err)
	is.Equal(choice, want)
	_, wantErr := b.ChooseService("dispatch", nil, now)
	is.Equal(serviceErr, wantErr)

	reasons := make(map[string]Exclusion)
	considered := 0
	for _, c := range append(candidates, services...) {
		reasons[c.Server] = c.Excluded
		if c.Excluded == "" {
			considered++
		}
	}
	is.Equal(considered, choice.Considered)
	is.Equal(reasons["0-5/1"], Suspected)
	is.Equal(reasons["0-5/2"], Leaving)
	is.Equal(reasons["d1"], Limited)
	is.Equal(reasons["d2"], Limited)

	for _, name := range []string{"0-5/0", "0-5/1", "0-5/3", "0-5/4", "0-5/5", "0-5/6", "0-5/7", "0-5/8"} {
		b.SetLeaving(name, true)
	}
	_, candidates, err = b.Preview(request(b), now)
	is.True(errors.Is(err, ErrNoChain))
	is.Equal(candidates[len(candidates)-1].Excluded, NotReached)
}
