package savorygate

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
)

// newPreparedGate returns a gate that has its state and a configuration, and doesn't run.
func newPreparedGate(t testing.TB, s *Settings) *Gate {
	t.Helper()
	logger, err := savorylog.New(t.Output(), "error")
	if err != nil {
		t.Fatal(err)
	}
	g := &Gate{Log: logger, LogDropped: func() int64 { return 0 }}
	g.Configure(s)
	g.prepare(s)
	g.ctx = t.Context()
	t.Cleanup(g.peerClient.Close)
	g.setConfig(&savoryrouting.Config{Version: 3, Services: []savoryrouting.Service{{Name: "s"}}}, "test")
	return g
}

// delayedPeer is a gate with a peer service on loopback that delays messages.
type delayedPeer struct {
	*Gate
	requests, responses time.Duration
}

func (p *delayedPeer) sync(ctx context.Context, s *savorypeer.SyncState) (*savorypeer.SyncState, error) {
	time.Sleep(p.requests)
	state, err := p.handleSync(ctx, s)
	time.Sleep(p.responses)
	return state, err
}

func newDelayedPeer(t *testing.T) *delayedPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &delayedPeer{Gate: newPreparedGate(t, &Settings{Zone: "a", Peers: l.Addr().(*net.TCPAddr).AddrPort()})}
	server := &savorypeer.Server{Sync: p.sync}
	server.Prepare()
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p
}

// ages is what an entry states, in this order: the ages of the configuration's confirmation, of
// the list of servers, of a slowdown and of a limit; -1 for what it doesn't know.
func (g *Gate) ages(to savorypeer.Entry) [4]time.Duration {
	s := g.syncState(to, &savorypeer.Versions{TracksNotices: true, FetchesConfig: true})
	ages := [4]time.Duration{-1, -1, -1, -1}
	if s.Known.ConfigReading != 0 {
		ages[0] = s.Known.ConfigAge
	}
	if s.Known.ListRevision != 0 {
		ages[1] = s.Known.ListAge
	}
	if len(s.Slowdowns) == 1 {
		ages[2] = s.Slowdowns[0].Age
	}
	if len(s.Notices) == 1 {
		ages[3] = s.Notices[0].Age
	}
	return ages
}

// know gives the gate a reading of the store and events of just now.
func (g *Gate) know(at time.Time) {
	readAt := g.bootNow().Add(-g.now().Sub(at))
	g.confirmConfig(7, readAt)
	g.applyList(&savoryroster.Listing{Revision: 5, Servers: []savoryroster.Server{{ID: "e", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "a", Born: at.Add(-time.Minute), Beat: 1}}}, reading{id: 8, at: readAt}, "test")
	g.view.recordSlowdown("e", 2, at, g.config())
	g.view.mergeNotices([]savorynotice.State{{Server: "e", Born: at.Add(-time.Minute), Limit: 5}}, at)
}

// Pattern: messages between entries that take long, as on an overloaded leader of a zone. Guards
// against an entry that takes what it hears for newer than it is: it would deny by a
// configuration that it counts as confirmed.
func TestDelayOfMessageCountsAsAge(t *testing.T) {
	const delay = 300 * time.Millisecond
	tests := []struct {
		name                string
		requests, responses time.Duration
		// fromCaller is set if the caller knows, and first if there is no exchange before.
		fromCaller, first bool
	}{
		{name: "late response", responses: delay},
		{name: "late request", requests: delay, fromCaller: true},
		{name: "late first request", requests: delay, fromCaller: true, first: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			callee := newDelayedPeer(t)
			caller := newPreparedGate(t, &Settings{Zone: "a", Peers: netip.MustParseAddrPort("127.0.0.1:1")})
			address := callee.relay.self.Address
			caller.relay.addEntries([]savorypeer.Entry{callee.relay.self}, caller.now())
			exchange := func() {
				known, ok := caller.relay.beginCall(address)
				is.True(ok)
				caller.syncWith(address, known)
			}
			if !tt.first {
				exchange()
			}
			from, to := callee.Gate, caller
			if tt.fromCaller {
				from, to = caller, callee.Gate
			}
			at := from.now()
			from.know(at)
			callee.requests, callee.responses = tt.requests, tt.responses
			exchange()
			callee.requests, callee.responses = 0, 0
			passed := from.now().Sub(at)
			stated := to.ages(from.relay.self)
			for _, age := range stated {
				is.True(age < 0 || age >= passed) // nothing is stated as younger than it is
			}
			if tt.first {
				is.Equal(stated[0], time.Duration(-1)) // an undated confirmation isn't used
				exchange()
			}
			exchange()
			for _, age := range to.ages(from.relay.self) {
				is.True(age >= delay) // it is known in the end
			}
		})
	}
}

// Guards against the list of a peer that has read none since its start, but has the copy of the
// store: the age of such a list overflowed with the delay of the message, so that the list of its
// receiver seemed to be read in the future. The receiver then never read the list itself, and took
// registrations that had expired in an outage for servers that are gone.
func TestCopiedListIsNoReading(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	copied := &savoryroster.Listing{Revision: 8, Servers: []savoryroster.Server{{ID: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: now}}}
	gates := make([]*Gate, 2)
	for i := range gates {
		gates[i] = newPreparedGate(t, &Settings{Zone: "a", Peers: netip.MustParseAddrPort(fmt.Sprint("127.0.0.1:", 7001+i))})
	}
	gates[0].view.applySnapshot(copied, now, gates[0].config())
	exchange := func() {
		state := gates[0].syncState(gates[1].relay.self, &savorypeer.Versions{})
		is.NoErr(state.Check())
		gates[1].applySyncState(state, time.Time{})
		state = gates[1].syncState(gates[0].relay.self, &state.Known)
		is.NoErr(state.Check())
		gates[0].applySyncState(state, gates[0].bootNow())
	}
	for range 3 {
		exchange()
	}
	gates[1].view.applySnapshot(copied, now, gates[1].config())
	for range 3 {
		exchange()
	}
	for _, g := range gates {
		is.Equal(g.view.hasList(), false)
		is.True(g.listAge() >= time.Hour)
	}
}
