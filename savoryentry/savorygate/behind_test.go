package savorygate

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorynews"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
)

// newCall returns a call for a path that has selected nothing yet.
func newCall(g *Gate, path string) *call {
	r := httptest.NewRequest(http.MethodGet, "http://shop.example"+path, nil)
	r.RequestURI = path
	return &call{g: g, r: r, startedAt: g.now(), table: g.table.Load()}
}

// versionWith returns a version of a configuration with a route for each prefix.
func versionWith(version int64, prefixes ...string) *savoryrouting.Config {
	cfg := &savoryrouting.Config{Version: version, Services: []savoryrouting.Service{{Name: "s"}}}
	for _, p := range prefixes {
		cfg.Routes = append(cfg.Routes, savoryrouting.Route{
			Name: p, Host: "shop.example", Prefix: p, Kind: savoryrouting.Idempotent, Timeout: time.Second,
			Shares: []savoryrouting.Share{{Service: "s", Weight: 1}},
		})
	}
	return cfg
}

// Pattern: versions come into force right after each other while requests are being routed.
// Guards against a request that is matched against one version and denied by what is known of a
// later one, which has its route.
func TestDenialIsByVersionInForce(t *testing.T) {
	tests := []struct {
		name string
		// heard is the newest version that peers state before the request is routed, 0 for none.
		heard int64
		// first comes into force after the request was read; later ones follow in steps.
		first  int64
		later  []int64
		step   time.Duration
		denied string
	}{
		{name: "in force after the request was read", first: 14},
		{name: "two at once", heard: 14, first: 12, later: []int64{14}, step: 30 * time.Millisecond},
		{name: "two, one after another", heard: 14, first: 3, later: []int64{12, 14}, step: 60 * time.Millisecond},
		{name: "the newest is too late", heard: 14, first: 12, denied: "ConfigurationBehind"},
		{name: "no newer one", first: 12, denied: "NoRoute"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newPreparedGate(t, &Settings{Zone: "a", Peers: netip.MustParseAddrPort("127.0.0.1:1"), ConfigTime: 3 * time.Second})
			force := func(version int64) {
				cfg := versionWith(version)
				if version >= 14 {
					cfg = versionWith(version, "/new/")
				}
				g.setConfig(cfg, "test")
			}
			g.confirmOwnReading(g.bootNow())
			c := newCall(g, "/new/")
			if tt.heard > 0 {
				g.hearConfig(tt.heard, "test")
			}
			force(tt.first)
			done := make(chan struct{})
			go func() {
				defer close(done)
				for _, v := range tt.later {
					time.Sleep(tt.step)
					force(v)
				}
			}()
			err := c.selectRoute()
			<-done
			if tt.denied != "" {
				is.True(err != nil)
				is.Equal(err.Code, tt.denied)
				return
			}
			is.Equal(err, nil)
			is.Equal(c.route.Name, "/new/")
			is.Equal(c.table.Config.Version, int64(14))
		})
	}
}

// suspendable is a gate whose VM can be suspended: the time since boot goes on, the clock of
// package time does not.
type suspendable struct {
	*Gate
	suspended time.Duration
}

func newSuspendable(t *testing.T, address string) *suspendable {
	t.Helper()
	g := newPreparedGate(t, &Settings{Zone: "a", Peers: netip.MustParseAddrPort(address), ConfigTime: 3 * time.Second})
	s := &suspendable{Gate: g}
	g.SinceBoot = func() time.Duration { return sinceBoot() + s.suspended }
	return s
}

// suspendAfter suspends the VM after its clock was read n times from now on. Time goes on for the
// other entry.
func (s *suspendable) suspendAfter(n int, suspension time.Duration, other *suspendable) {
	running := s.SinceBoot
	s.SinceBoot = func() time.Duration {
		d := running()
		if n--; n == 0 {
			s.suspended += suspension
			other.suspended += suspension
		}
		return d
	}
}

// read gives the entry readings of the configuration and of the list of servers.
func (s *suspendable) read() {
	now := s.bootNow()
	s.confirmOwnReading(now)
	l := &savoryroster.Listing{Revision: 5, Servers: []savoryroster.Server{{ID: "e", Service: "s", Address: s.relay.self.Address, Born: s.now(), Beat: 1}}}
	s.applyList(l, reading{id: 8, at: now}, "test")
}

// checkOld checks that the entry knows that its readings are older than age.
func (s *suspendable) checkOld(t *testing.T, age time.Duration) {
	t.Helper()
	is := is.New(t)
	is.True(s.configDoubt() != savorynews.None)
	is.True(s.listAge() >= age)
}

// exchange sends the state of an entry to another one and its answer back. before is called
// between the two.
func (s *suspendable) exchange(t *testing.T, with *suspendable, before func()) {
	t.Helper()
	is := is.New(t)
	request := s.syncState(with.relay.self, &savorypeer.Versions{FetchesConfig: true})
	is.NoErr(request.Check())
	requestedAt := s.bootNow()
	response, err := with.handleSync(t.Context(), request)
	is.NoErr(err)
	before()
	is.NoErr(response.Check())
	s.applySyncState(response, requestedAt)
}

// Pattern: a VM is suspended for seconds, and tells a peer what it knows as soon as it is back.
// Guards against a configuration and a list of servers that count as confirmed by readings from
// before the suspension: the peer, which was not suspended, would deny routes that were added
// meanwhile, and use servers that are gone.
func TestSuspensionCountsAsAge(t *testing.T) {
	const suspension = 5 * time.Second
	nothing := func() {}
	tests := []struct {
		name string
		// play suspends the VM of one entry, which has readings, and lets it tell the other.
		play func(t *testing.T, sleeper, peer *suspendable)
	}{
		{"peer asks after it", func(t *testing.T, sleeper, peer *suspendable) {
			sleeper.read()
			sleeper.suspended += suspension
			peer.exchange(t, sleeper, nothing)
		}},
		{"sleeper asks after it", func(t *testing.T, sleeper, peer *suspendable) {
			sleeper.read()
			sleeper.suspended += suspension
			sleeper.exchange(t, peer, nothing)
		}},
		{"while an answer is on its way to it", func(t *testing.T, sleeper, peer *suspendable) {
			peer.read()
			sleeper.exchange(t, peer, func() { sleeper.suspended += suspension })
			peer.suspended += suspension // time goes on for the peer
			third := newSuspendable(t, "127.0.0.1:3")
			third.relay.addEntries([]savorypeer.Entry{sleeper.relay.self}, third.now())
			third.exchange(t, sleeper, nothing)
			third.checkOld(t, suspension)
		}},
	}
	for n := range 6 {
		tests = append(tests, struct {
			name string
			play func(t *testing.T, sleeper, peer *suspendable)
		}{fmt.Sprintf("while it makes an answer, after %d readings of the clock", n+1), func(t *testing.T, sleeper, peer *suspendable) {
			sleeper.read()
			sleeper.suspendAfter(n+1, suspension, peer)
			peer.exchange(t, sleeper, nothing)
			for sleeper.suspended == 0 { // it read the clock less often
				sleeper.bootNow()
			}
		}})
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sleeper, peer := newSuspendable(t, "127.0.0.1:1"), newSuspendable(t, "127.0.0.1:2")
			sleeper.relay.addEntries([]savorypeer.Entry{peer.relay.self}, sleeper.now())
			peer.relay.addEntries([]savorypeer.Entry{sleeper.relay.self}, peer.now())
			for range 2 { // they know each other
				sleeper.exchange(t, peer, nothing)
				peer.exchange(t, sleeper, nothing)
			}
			tt.play(t, sleeper, peer)
			for _, g := range []*suspendable{sleeper, peer} {
				g.checkOld(t, suspension)
			}
		})
	}
}
