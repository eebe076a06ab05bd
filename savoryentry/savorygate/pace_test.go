package savorygate

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypace"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

var paceBegin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func pacedView(entry string, cfg *savoryrouting.Config) *view {
	v := &view{zone: "a", notices: savorynotice.Board{Entry: entry}}
	v.setPace(true, cfg)
	v.setConfig(cfg)
	return v
}

// listPaced applies a list of servers with 4 slots. Those with the prefix e hold layers 0 to 8.
func listPaced(v *view, cfg *savoryrouting.Config, revision int64, ids ...string) {
	l := &savoryroster.Listing{Revision: revision}
	for i, id := range ids {
		s := savoryroster.Server{ID: id, Service: "plain", Zone: "a", Slots: 4, Born: paceBegin, Beat: 1, Address: netip.MustParseAddrPort(fmt.Sprint("10.0.0.1:", 8000+i))}
		if id[0] == 'e' {
			s.Service, s.Holds, s.Accelerator = "model", savoryworld.LayerRange{To: 8}, "fast"
		}
		l.Servers = append(l.Servers, s)
	}
	v.applyList(l, reading{id: uint64(revision), at: paceBegin}, paceBegin, cfg)
}

func pacedConfig() *savoryrouting.Config {
	return &savoryrouting.Config{Services: []savoryrouting.Service{{Name: "plain"}, {Name: "model", Engine: &savoryrouting.Engine{
		Layers: 8, LayerMB: 10, TokenBytes: 1000, Stride: 1, StepTime: time.Millisecond, Slots: 40,
		Accelerators: []savoryrouting.Accelerator{{Name: "fast", MemoryMB: 80000, StepFactor: 1}},
	}}}}
}

// Pattern: a plain server is added to three that have answered. Guards against one that gets its
// full share at once, that waits for its first request, or that gets more than it accepts.
func TestNewPlainServerIsPaced(t *testing.T) {
	is := is.New(t)
	cfg := pacedConfig()
	v := pacedView("e0", cfg)
	listPaced(v, cfg, 1, "a", "b", "c")
	choose := func() string {
		c, err := v.chooseServer("plain", nil, 0, paceBegin)
		is.NoErr(err)
		return c.server.ID
	}
	answer := func(id string, took time.Duration) {
		v.recordPace(savorypace.Answer{Service: "plain", Kind: "r", Took: took}, []string{id}, paceBegin)
		v.endServerRequest(id)
	}
	for range 30 {
		answer(choose(), 100*time.Millisecond)
	}
	listPaced(v, cfg, 2, "a", "b", "c", "new")
	is.Equal(choose(), "new") // its first answer is needed
	for range 9 {
		is.True(choose() != "new")
	}
	answer("new", 90*time.Millisecond)
	is.Equal(choose(), "new")
	is.Equal(choose(), "new")
	is.True(choose() != "new") // two are in flight
	answer("new", 90*time.Millisecond)
	changes, _, servers, steered := v.takePace()
	is.Equal(len(changes), 2)
	is.Equal(servers["proven"], 4)
	is.True(steered["plain"] > 0)
	// What a server states comes first.
	v.observe("new", paceBegin, paceBegin, savorynotice.Notice{Limit: 1}, cfg)
	for range 40 {
		v.chooseServer("plain", nil, 0, paceBegin)
	}
	is.True(v.inFlight["new"] <= 10)
	// A server that no other can replace is not refused.
	is.Equal(v.pace.table.Active("plain"), false)
	v.recordFailure("new", false, paceBegin)
	is.Equal(v.pace.table.Active("plain"), true)
	for range 20 {
		c, err := v.chooseServer("plain", map[string]bool{"a": true, "b": true, "c": true}, time.Hour, paceBegin)
		is.NoErr(err)
		is.Equal(c.server.ID, "new")
	}
}

// Pattern: an engine is added to two, then these fail. Guards against an engine that gets more
// streams than its pace allows while there are others, against a stream that is refused because
// of the pace, and against a pace that changes the estimate of a pass.
func TestNewEngineIsPaced(t *testing.T) {
	is := is.New(t)
	cfg := pacedConfig()
	v := pacedView("e0", cfg)
	listPaced(v, cfg, 1, "e1", "e2")
	choose := func(avoid ...string) savorypath.Choice {
		c, err := v.chooseChain("model", savorypath.Request{Tokens: 100, Avoid: func(id string) bool {
			return len(avoid) > 0 && (id == avoid[0] || id == avoid[1])
		}}, 0, paceBegin)
		is.NoErr(err)
		return c
	}
	for range 6 {
		c := choose()
		v.recordPace(savorypace.Answer{Service: "model", Kind: "r", Took: 100 * time.Millisecond}, []string{c.Chain[0].Server}, paceBegin)
	}
	listPaced(v, cfg, 2, "e1", "e2", "enew")
	first := choose()
	is.Equal(first.Chain[0].Server, "enew") // it has the least load
	for range 10 {
		is.True(choose().Chain[0].Server != "enew")
	}
	_, _, _, steered := v.takePace()
	is.Equal(steered["engine"], 10)
	for range 3 {
		c := choose("e1", "e2")
		is.Equal(c.Chain[0].Server, "enew")
		is.True(c.PassTime < 2*first.PassTime)
	}
	for range 3 {
		v.recordPace(savorypace.Answer{Service: "model", Kind: "r", Took: 100 * time.Millisecond}, []string{"enew"}, paceBegin)
	}
	is.Equal(choose().Chain[0].Server, "enew")
}

// Guards against an entry that does not learn from the loads of the others that a server is
// proven, and against reports of a deployment without pacing.
func TestPaceIsReported(t *testing.T) {
	is := is.New(t)
	cfg := pacedConfig()
	one, two, off := pacedView("e1", cfg), pacedView("e2", cfg), new(view)
	for _, v := range []*view{one, two, off} {
		listPaced(v, cfg, 1, "a", "b", "c")
		listPaced(v, cfg, 2, "a", "b", "c", "new")
	}
	one.recordPace(savorypace.Answer{Service: "plain", Kind: "r", Took: time.Second}, []string{"a"}, paceBegin)
	one.recordPace(savorypace.Answer{Service: "plain", Kind: "r", Took: time.Second}, []string{"new"}, paceBegin)
	sum := make(loadSum)
	sum.add(one.loadsForPeers(paceBegin))
	is.Equal(sum.sorted(), []savorypath.Load{{Server: paceReportPrefix + "new", Memory: 2}})
	is.True(two.pace.table.Active("plain"))
	two.setEntries(2, []string{"e1"})
	two.setPeerLoads(map[string][]savorypath.Load{"others": sum.sorted()}, paceBegin)
	is.True(!two.pace.table.Active("plain"))
	is.Equal(len(off.loadsForPeers(paceBegin)), 0)
}
