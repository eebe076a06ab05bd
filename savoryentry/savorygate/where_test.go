package savorygate

import (
	"net/http"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

// newWhereGate returns a gate that was never started, and so has no metrics: a preview that
// counts a request would panic.
func newWhereGate(now time.Time) *Gate {
	g := &Gate{Log: &log.Logger{Handler: discard.New()}}
	g.Configure(&Settings{Name: "g", Zone: "a", ConfigTime: time.Hour})
	one := []savoryrouting.Share{{Service: "app", Weight: 1}}
	cfg := &savoryrouting.Config{
		Version: 7,
		Routes: []savoryrouting.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: savoryrouting.Idempotent, Timeout: time.Second, Objective: 200 * time.Millisecond, Shares: one, Attempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: savoryrouting.Streaming, Timeout: time.Second, Shares: []savoryrouting.Share{{Service: "llm", Weight: 1}}},
		},
		Services: []savoryrouting.Service{{Name: "app"}, {Name: "llm", Engine: &savoryrouting.Engine{
			Layers: 4, LayerMB: 1, TokenBytes: 1 << 10, Slots: 9, Stride: 1, StepTime: time.Millisecond, UsualPrompt: 10, UsualAnswer: 10,
			Accelerators: []savoryrouting.Accelerator{{Name: "k", MemoryMB: 100, StepFactor: 1, ReadFactor: 1}},
		}}},
		Customers: []savoryrouting.Customer{{Name: "c", KeySHA256: []string{savoryrouting.KeyDigest("secret")}}},
	}
	g.table.Store(savoryrouting.NewTable(cfg))
	g.news.tracker.SetInForce(7, now)
	g.confirmConfig(1, now)
	server := func(id, service string, from, to int) savoryroster.Server {
		return savoryroster.Server{
			ID: id, Service: service, Zone: "a", Slots: 9, Accelerator: "k", Holds: savoryworld.LayerRange{From: from, To: to},
			Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}
	}
	g.view.zone = "a"
	g.view.applyList(&savoryroster.Listing{Revision: 1, Servers: []savoryroster.Server{
		server("p0", "app", 0, 0), server("p1", "app", 0, 0), server("p2", "app", 0, 0),
		server("e0", "llm", 0, 2), server("e1", "llm", 2, 4), server("e2", "llm", 0, 4),
	}}, reading{id: 1, at: now}, now, cfg)
	g.view.chainTables["llm"].Rand = nil
	g.view.recordFailure("p1", false, now)
	g.view.recordFailure("e2", false, now)
	for _, id := range []string{"p0", "e0"} {
		g.view.observe(id, now, now, savorynotice.Notice{Limit: 3}, cfg)
	}
	g.view.markLeaving("p2", cfg)
	g.budgets = map[string]*savorylimit.WindowBudget{"app": {Ratio: 0.2, Slack: 5, Window: time.Second}}
	return g
}

// Guards against a preview that uses up a limit, counts a load, a demand or a retry, or changes
// an average: of two equal gates one answers many previews.
func TestWhereChangesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g, unchanged := newWhereGate(now), newWhereGate(now)
	for range 20 {
		for _, path := range []string{"/safe/x", "/stream/x", "/none"} {
			for _, customer := range []string{"c", "d"} {
				g.where(savoryadmin.WhereRequest{Host: "h", Path: path, Method: http.MethodGet, Customer: customer, Parts: []string{"part"}, PromptTokens: 9})
			}
		}
	}
	is.True(reflect.DeepEqual(&g.view, &unchanged.view))
	is.True(reflect.DeepEqual(&g.quarantine, &unchanged.quarantine))
	is.True(reflect.DeepEqual(&g.news, &unchanged.news))
	is.True(reflect.DeepEqual(&g.durations, &unchanged.durations))
	is.True(reflect.DeepEqual(g.budgets, unchanged.budgets))
	is.Equal(g.inFlight.Load(), int64(0))
}

// Guards against a preview that names another destination or response than a request would get.
func TestWhereStatesDestination(t *testing.T) {
	g := newWhereGate(time.Now())
	excluded := make(map[string]string)
	for _, c := range []struct {
		name, path, customer, key string
		change                    func()
		server, code              string
	}{
		{name: "plain", path: "/safe/x", key: "secret", server: "p0"},
		{name: "chain", path: "/stream/x", customer: "c", server: "e0=0-2,e1=2-4"},
		{name: "no route", path: "/none", code: "NoRoute"},
		{name: "no key", path: "/safe/x", code: "UnknownKey"},
		{name: "wrong key", path: "/safe/x", key: "other", code: "UnknownKey"},
		{name: "limit used up", path: "/stream/x", customer: "c", code: "Limited", change: func() {
			for range 20 {
				g.view.notices.Reserve("e0")
			}
		}},
		{name: "behind", path: "/none", code: "ConfigurationBehind", change: func() { g.news.tracker.Hear(8, time.Now()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.change != nil {
				c.change()
			}
			w := g.where(savoryadmin.WhereRequest{Host: "h", Path: c.path, Customer: c.customer, KeySHA256: savoryadmin.KeyDigest(c.key)})
			for _, s := range w.Candidates {
				excluded[s.Server] = s.Excluded
			}
			if c.code != "" {
				is.Equal(w.Error.Code, c.code)
				is.True(w.Choice == nil)
				is.Equal(w.NoRoute(), c.code == "NoRoute")
				is.Equal(c.code == "Limited", w.Error.RetryAfter > 0 && c.code != "ConfigurationBehind")
				return
			}
			is.True(w.Error == nil)
			is.Equal(w.Customer, "c")
			is.Equal(w.Choice.Server+w.Choice.Chain.String(), c.server)
		})
	}
	is := is.New(t)
	is.Equal(excluded["p0"], "")
	is.Equal(excluded["p1"], "avoided after a failure")
	is.Equal(excluded["p2"], "leaving")
	is.Equal(excluded["e2"], "avoided after a failure")
}
