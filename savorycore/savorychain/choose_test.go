package savorychain

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryworld"
)

const (
	testLayers = 12
	second     = time.Second
)

var start = time.Unix(1000, 0)

// newServers returns n engines for each of the given layer ranges.
func newServers(n int, ranges ...savoryworld.LayerRange) []savoryworld.BackendServer {
	var servers []savoryworld.BackendServer
	for _, r := range ranges {
		for i := range n {
			port := uint16(len(servers) + 1)
			servers = append(servers, savoryworld.BackendServer{
				Name: fmt.Sprintf("%s/%d", r, i), Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
				Zone: []string{"a", "b"}[i%2], Model: "m", Version: "v", Layers: r, Accelerator: []string{"fast", "slow"}[i%2],
			})
		}
	}
	return servers
}

func newTestTable(servers []savoryworld.BackendServer) *Table {
	ms := func(n int) savoryworld.Duration { return savoryworld.Duration(time.Duration(n) * time.Millisecond) }
	doc := &savoryconfig.Document{
		Zones:          []savoryworld.AvailabilityZone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Links:          []savoryworld.Link{{From: "a", To: "b", Delay: ms(1), BytesPerSecond: 1 << 20}},
		Accelerators:   []savoryworld.Accelerator{{Name: "fast", StepBase: ms(1), StepToken: 1000, MaxTokens: 64}, {Name: "slow", StepBase: ms(2), StepToken: 9000, MaxTokens: 16}},
		Pipelines:      []savoryworld.Pipeline{{Name: "p", Model: "m", Version: "v", Layers: testLayers, ActivationBytes: 1 << 10, FirstToken: savoryworld.Duration(second), BetweenTokens: ms(72), MaxTokens: 99}},
		BackendServers: servers,
	}
	t := &Table{Entry: "e", Zone: "a", Rand: rand.New(rand.NewPCG(1, 1)), SampleSize: DefaultSampleSize, SubsetSize: DefaultSubsetSize}
	t.SetSnapshot(savoryconfig.NewSnapshot(&savoryconfig.Root{Revision: 1}, doc))
	return t
}

func request(t *Table) Request {
	return Request{Pipeline: t.snapshot.Pipeline("p"), PromptTokens: 20, AnswerTokens: 10, Admitted: true}
}

// Guards against a chain that misses or repeats layers after any sequence of
// failures, leaving servers and load reports. A chain has no server that is
// leaving, and has a suspected server only if its stage has no other.
func TestChosenChainsCoverAllLayers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranges := []savoryworld.LayerRange{{To: 4}, {From: 4, To: 9}, {From: 9, To: testLayers}, {From: 4, To: testLayers}, {To: 9}}
		table := newTestTable(newServers(rapid.IntRange(1, 9).Draw(t, "n"), ranges...))
		var names []string
		for name := range table.states {
			names = append(names, name)
		}
		slices.Sort(names)
		leaving := make(map[string]bool)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "server")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				table.RecordFailure(name, now)
			case 1:
				leaving[name] = rapid.Bool().Draw(t, "leaving")
				table.SetLeaving(name, leaving[name])
			case 2:
				table.RecordLoad(savoryengine.Load{Server: name, Running: rapid.IntRange(0, 90).Draw(t, "running"), Queued: rapid.IntRange(0, 900).Draw(t, "queued")}, now)
			case 3:
				table.RecordProgress(name)
			}
			checkChoice(t, table, leaving, now)
		}
	})
}

func checkChoice(t *rapid.T, table *Table, leaving map[string]bool, now time.Time) {
	req := request(table)
	choice, err := table.Choose(req, now)
	if err != nil {
		if !errors.Is(err, ErrNoChain) {
			t.Fatal(err)
		}
		return
	}
	next := 0
	for _, hop := range choice.Chain {
		if hop.Layers.From != next {
			t.Fatalf("chain %s: gap or overlap at layer %d", ServerNames(choice.Chain), next)
		}
		next = hop.Layers.To
		if leaving[hop.Server] {
			t.Fatalf("chain %s holds %s, which leaves", ServerNames(choice.Chain), hop.Server)
		}
		if table.states[hop.Server].isSuspected(now) && hasTrusted(table, hop.Layers, now) {
			t.Fatalf("chain %s holds %s, which failed, while others serve its stage", ServerNames(choice.Chain), hop.Server)
		}
	}
	if next != testLayers {
		t.Fatalf("chain %s ends at layer %d", ServerNames(choice.Chain), next)
	}
	flight := table.RecordSent(choice, req.PromptTokens, now)
	table.RecordFinished(flight)
}

func hasTrusted(table *Table, layers savoryworld.LayerRange, now time.Time) bool {
	for _, s := range table.states {
		if s.server.Layers == layers && !s.isLeaving() && !s.isSuspected(now) {
			return true
		}
	}
	return false
}

// Guards against a chain with a gap when no engine holds one of the layers.
func TestNoChainWithoutStage(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newServers(2, savoryworld.LayerRange{To: 4}, savoryworld.LayerRange{From: 5, To: testLayers}))
	_, err := table.Choose(request(table), start)
	is.True(errors.Is(err, ErrNoChain))
}

// Guards against requests that go to a loaded engine, and against old load
// reports that still count. Reports of the work of other entries count and
// decay with age.
func TestChoosePrefersLessLoadedEngine(t *testing.T) {
	is := is.New(t)
	servers := newServers(2, savoryworld.LayerRange{To: testLayers})
	servers[1].Accelerator, servers[1].Zone = "fast", "a"
	table := newTestTable(servers)
	table.RecordLoad(savoryengine.Load{Server: "0-11/0", Running: 40, Queued: 4000}, start)
	choice, err := table.Choose(request(table), start)
	is.NoErr(err)
	is.Equal(ServerNames(choice.Chain), "0-11/1")
	// After a minute the report has no weight. Only the entry's own work there
	// counts.
	for range 30 {
		choice, err = table.Choose(request(table), start)
		is.NoErr(err)
		table.RecordSent(choice, 400, start)
	}
	later := start.Add(time.Minute)
	choice, err = table.Choose(request(table), later)
	is.NoErr(err)
	is.Equal(ServerNames(choice.Chain), "0-11/0")
}

// Guards against admission of a request whose first token would be late, and
// against an overload error without a time for the next try.
func TestOverloadHasRetryAfter(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newServers(1, savoryworld.LayerRange{To: testLayers}))
	table.RecordLoad(savoryengine.Load{Server: "0-11/0", Queued: 100_000}, start)
	req := request(table)
	req.Admitted = false
	_, err := table.Choose(req, start)
	var overload *OverloadError
	is.True(errors.As(err, &overload))
	is.True(overload.RetryAfter() > 0)
	// A request that was admitted before is not refused.
	req.Admitted = true
	_, err = table.Choose(req, start)
	is.NoErr(err)
}

// Guards against a margin that does not grow after late first tokens or does
// not shrink to its minimum after timely ones.
func TestAdmissionMargin(t *testing.T) {
	is := is.New(t)
	var p admissionMargin
	for range 10 {
		p.observe(2*second, second)
	}
	high := p.factor()
	is.True(high > 1)
	for range 10_000 {
		p.observe(second/2, second)
	}
	is.Equal(p.factor(), minMargin)
}

// Guards against a wrong order of the criteria for a plain service: not
// suspected, fewest requests in flight, least link delay.
func TestChooseService(t *testing.T) {
	is := is.New(t)
	servers := []savoryworld.BackendServer{
		{Name: "d1", Service: "dispatch", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")},
		{Name: "d2", Service: "dispatch", Zone: "b", Address: netip.MustParseAddrPort("127.0.0.1:2")},
	}
	table := newTestTable(servers)
	choice, err := table.ChooseService("dispatch", nil, start)
	is.NoErr(err)
	is.Equal(choice.Server.Name, "d1") // least link delay
	table.RecordServiceSent("d1")
	choice, err = table.ChooseService("dispatch", nil, start)
	is.NoErr(err)
	is.Equal(choice.Server.Name, "d2") // fewer in flight
	table.RecordFailure("d2", start)
	choice, err = table.ChooseService("dispatch", nil, start)
	is.NoErr(err)
	is.Equal(choice.Server.Name, "d1") // not suspected
	table.SetLeaving("d1", true)
	_, err = table.ChooseService("dispatch", []string{"d2"}, start)
	is.True(errors.Is(err, ErrNoServer))
}

// Guards against a new revision that resets the state of a server. The state is
// kept unless the address of the server changed.
func TestSetSnapshotKeepsState(t *testing.T) {
	is := is.New(t)
	servers := newServers(2, savoryworld.LayerRange{To: testLayers})
	table := newTestTable(servers)
	table.RecordFailure("0-11/0", start)
	table.RecordFailure("0-11/1", start)
	moved := slices.Clone(servers)
	moved[1].Address = netip.MustParseAddrPort("127.0.0.1:99")
	doc := *table.snapshot.Document
	doc.BackendServers = moved
	table.SetSnapshot(savoryconfig.NewSnapshot(&savoryconfig.Root{Revision: 2}, &doc))
	is.True(table.states["0-11/0"].isSuspected(start))
	is.True(!table.states["0-11/1"].isSuspected(start))
}
