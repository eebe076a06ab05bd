package savorygate

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
)

// Guards against a less urgent request that takes the place of a more urgent one in the limit
// of a server, and against a wait beyond the latency objective.
func TestUrgentRequestsWaitLonger(t *testing.T) {
	shares := []savoryrouting.Share{{Service: "s", Weight: 1}}
	cfg := &savoryrouting.Config{Routes: []savoryrouting.Route{
		{Name: "urgent", Priority: 1, Shares: shares},
		{Name: "usual", Priority: 2, Shares: shares},
		{Name: "seldom", Priority: 9, Shares: shares},
		{Name: "other", Priority: 0, Shares: []savoryrouting.Share{{Service: "t", Weight: 1}}},
	}}
	for _, c := range []struct {
		route     int
		customer  *savoryrouting.Customer
		objective time.Duration
		deadline  time.Duration
		want      time.Duration
	}{
		{0, nil, 400 * time.Millisecond, 20 * time.Second, 400 * time.Millisecond},
		{1, nil, 400 * time.Millisecond, 20 * time.Second, 200 * time.Millisecond},
		{2, nil, 400 * time.Millisecond, 20 * time.Second, 50 * time.Millisecond},
		{1, &savoryrouting.Customer{Priority: new(0)}, 400 * time.Millisecond, 20 * time.Second, 400 * time.Millisecond},
		{0, nil, 400 * time.Millisecond, 800 * time.Millisecond, 200 * time.Millisecond},
		{0, nil, 0, 800 * time.Millisecond, 200 * time.Millisecond},
		{0, nil, 400 * time.Millisecond, -time.Second, 0},
	} {
		is := is.New(t)
		route := cfg.Routes[c.route]
		route.Objective = c.objective
		call := &call{
			g: new(Gate), table: savoryrouting.NewTable(cfg), route: &route, service: &savoryrouting.Service{Name: "s"}, customer: c.customer,
			deadline: time.Now().Add(c.deadline),
		}
		is.True(call.maxDelay() <= c.want)
		is.True(call.maxDelay() >= c.want-c.want/100)
	}
}

// Guards against a limit of an incarnation that has ended, or of a server that has left the
// list, which a peer passes on.
func TestPeersLimitNeedsListedServer(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := new(view)
	v.applyList(&savoryroster.Listing{Revision: 1, Servers: []savoryroster.Server{{ID: "a", Service: "s", Born: now, Beat: 1}}}, reading{id: 1, at: now}, now, nil)
	is.Equal(len(v.mergeNotices([]savorynotice.State{{Server: "a", Born: now.Add(-time.Hour), Limit: 2}, {Server: "b", Limit: 2}}, now)), 0)
	is.Equal(len(v.mergeNotices([]savorynotice.State{{Server: "a", Born: now, Limit: 2}}, now)), 1)
	// The next incarnation has no limit yet.
	born := now.Add(time.Second)
	v.applyList(&savoryroster.Listing{Revision: 2, Servers: []savoryroster.Server{{ID: "a", Service: "s", Born: born, Beat: 1}}}, reading{id: 2, at: born}, born, nil)
	states, _ := v.noticesForPeers(born)
	is.Equal(len(states), 0)
}

// Guards against an entry of a large fleet that counts the callers of another one twice or not
// at all: each must know the same demand, whichever leader it has.
func TestDemandsAreCountedOnce(t *testing.T) {
	for _, fleet := range [][2]int{{3, 2}, {3, 8}} {
		is := is.New(t)
		f := newEntryFleet(fleet[0], fleet[1])
		n := fleet[0] * fleet[1]
		for range 20 {
			f.round()
		}
		for _, address := range f.order {
			got := f.entries[address].demands(f.now)["s"]
			is.Equal(got, float64(n-1))
		}
		// The leaders of all zones end; their successors take over without a gap.
		for z := range fleet[0] {
			f.stopped[f.order[z*fleet[1]]] = true
		}
		for range 40 {
			f.round()
		}
		for _, address := range f.order {
			if got := f.entries[address].demands(f.now)["s"]; !f.stopped[address] {
				is.Equal(got, float64(n-fleet[0]-1))
			}
		}
	}
}

// Guards against a request that is sent after its wait although its server left or asked for
// a pause meanwhile, or a part of its prompt was quarantined.
func TestTurnIsLost(t *testing.T) {
	is := is.New(t)
	begin := time.Now().Add(-time.Minute)
	part := savoryquarantine.Part{Service: "s", Model: "m", ID: "bad"}
	g := &Gate{metrics: newMetrics(func() int64 { return 0 })}
	for i := range 5 {
		end := begin.Add(time.Duration(i) * 200 * time.Millisecond)
		s := savoryquarantine.Server{ID: fmt.Sprint("e", i), Born: begin, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))}
		g.quarantine.tracker.RecordEnd(s, savoryquarantine.Prompt{Owner: uint64(i), Parts: []savoryquarantine.Part{part}}, true, end)
	}
	bad := savoryquarantine.Prompt{Owner: 9, Parts: []savoryquarantine.Part{part}}
	is.Equal(g.quarantine.tracker.Admit(bad, 0, false, begin.Add(10*time.Second)).Decision, savoryquarantine.Refuse)
	now := time.Now()
	g.view.applyList(&savoryroster.Listing{Revision: 1, Servers: []savoryroster.Server{
		{ID: "sound", Service: "s", Beat: 1}, {ID: "leaving", Service: "s", Beat: 1, Leaving: true}, {ID: "paused", Service: "s", Beat: 1},
	}}, reading{id: 1, at: now}, now, nil)
	g.view.observe("paused", now, now, savorynotice.Notice{Pause: time.Minute}, nil)
	const delay = 10 * time.Millisecond
	for _, c := range []struct {
		server string
		prompt savoryquarantine.Prompt
		trial  bool
		left   bool
		want   bool
	}{
		{server: "sound", want: true},
		{server: "sound", prompt: bad},
		{server: "sound", prompt: bad, trial: true, want: true},
		{server: "sound", left: true},
		{server: "leaving"},
		{server: "paused"},
		{server: "gone"},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		if c.left {
			cancel()
		}
		r := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
		call := &call{g: g, r: r, deadline: time.Now().Add(time.Minute), prompt: c.prompt, trial: c.trial}
		is.Equal(call.awaitTurn(c.server, delay), c.want)
		cancel()
	}
}
