package savorypath

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testModel() *savoryrouting.Engine {
	return &savoryrouting.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918000, Stride: 3, StepTime: time.Millisecond,
		ActivationBytes: 45900, PipeMbps: 18000,
		Accelerators: []savoryrouting.Accelerator{
			{Name: "fast", MemoryMB: 72000, StepFactor: 2.4}, {Name: "slow", MemoryMB: 43200, StepFactor: 5.6},
		},
	}
}

func engine(m *savoryrouting.Engine, id, zone, kind string, from, to int) Engine {
	return Engine{
		ID: id, Zone: zone, Holds: savoryworld.LayerRange{From: from, To: to}, Accelerator: m.Accelerator(kind),
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

// Guards against a chain that misses, repeats or reorders layers for any layout
// of engines, or that uses an avoided engine.
func TestChainCoversAllLayersOnce(t *testing.T) {
	m := testModel()
	rapid.Check(t, func(t *rapid.T) {
		table := &Table{Zone: "a"}
		var engines []Engine
		for i := range rapid.IntRange(1, 14).Draw(t, "engines") {
			from := rapid.IntRange(0, 7).Draw(t, "from") * 10
			to := min(80, from+10*rapid.IntRange(1, 4).Draw(t, "units"))
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			engines = append(engines, engine(m, fmt.Sprint("e", i), zone, "slow", from, to))
		}
		table.SetEngines(m, engines)
		avoided := rapid.SampledFrom(engines).Draw(t, "avoided").ID
		choice, err := table.Choose(Request{Tokens: 100, AllowCrossZone: true, Avoid: func(id string) bool { return id == avoided }}, begin)
		if err != nil {
			return
		}
		if err := choice.Chain.Check(80); err != nil {
			t.Fatal(err)
		}
		if choice.Chain.Uses(avoided) {
			t.Fatalf("chain %s uses %s", choice.Chain, avoided)
		}
	})
}

// Guards against requests that fail because one zone has an incomplete chain.
// They go to the chain of another zone, and a chain crosses zones only if no
// zone has a complete one.
func TestBrokenZone(t *testing.T) {
	is := is.New(t)
	m := testModel()
	table := &Table{Zone: "a"}
	whole := []Engine{
		engine(m, "a1", "a", "fast", 0, 30), engine(m, "a2", "a", "fast", 30, 60),
		engine(m, "b1", "b", "slow", 0, 20), engine(m, "b2", "b", "slow", 20, 40), engine(m, "b3", "b", "slow", 40, 60), engine(m, "b4", "b", "slow", 60, 80),
	}
	table.SetEngines(m, whole)
	choice, err := table.Choose(Request{Tokens: 100}, begin)
	is.NoErr(err)
	is.Equal(choice.Chain[0].Server, "b1")
	table.SetEngines(m, append(whole[:4:4], whole[5])) // b3 fails as well
	_, err = table.Choose(Request{Tokens: 100}, begin)
	is.True(errors.Is(err, ErrNoChain))
	choice, err = table.Choose(Request{Tokens: 100, AllowCrossZone: true}, begin)
	is.NoErr(err)
	is.NoErr(choice.Chain.Check(80))
}

// Guards against a burst that saturates the shared link between zones. Chains
// over several zones stop before they use more than their fraction of the
// bandwidth.
func TestBurstAcrossZonesIsBounded(t *testing.T) {
	is := is.New(t)
	m := testModel()
	table := &Table{Zone: "a"}
	table.SetEngines(m, []Engine{engine(m, "a1", "a", "fast", 0, 30), engine(m, "b1", "b", "fast", 30, 60), engine(m, "b2", "b", "fast", 60, 80)})
	sent := 0
	for range 100 {
		r := Request{Tokens: 800, AllowCrossZone: true}
		choice, err := table.Choose(r, begin)
		if err != nil {
			break
		}
		table.RecordStart(choice.Chain, r.Tokens, begin)
		sent++
	}
	mbit := float64(sent*800) * 45900 * 8 / 1e6
	is.True(sent > 0)
	is.True(mbit <= maxCrossZoneBandwidthFraction*m.PipeMbps*unreportedWindow.Seconds())
}

// Pattern: the zones lack different layers for some seconds, so that only chains
// over several zones are left, and the link between the zones bears a part of the
// load. Each entry used to assume that all others send as much over the link as it
// does itself, so that with nine entries a single usual prompt exceeded the bound
// and no chain over several zones was ever chosen. The entries together use the
// bandwidth that they may use, and at most a little more.
func TestFleetUsesCrossZoneBandwidth(t *testing.T) {
	for _, entries := range []int{3, 9, 60, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			is := is.New(t)
			m := testModel()
			m.UsualPrompt, m.UsualAnswer = 760, 170
			const tokens, seconds, perSecond = 930, 12, 120
			tables := make([]*Table, entries)
			for i := range tables {
				tables[i] = &Table{Zone: "a", Entries: entries, Rand: rand.New(rand.NewPCG(3, uint64(i)))}
				tables[i].SetEngines(m, []Engine{engine(m, "a1", "a", "fast", 0, 30), engine(m, "b1", "b", "fast", 30, 60), engine(m, "b2", "b", "fast", 60, 80)})
			}
			arrivals := rand.New(rand.NewPCG(4, 1))
			mbit, now := 0.0, begin
			const warmUp = 4 * time.Second
			for n := range seconds * perSecond {
				now = begin.Add(time.Duration(n) * time.Second / perSecond)
				if n%(perSecond/4) == 0 {
					exchangeLoads(tables, now)
				}
				table := tables[arrivals.IntN(entries)]
				choice, err := table.Choose(Request{Tokens: tokens, AllowCrossZone: true}, now)
				if err != nil {
					continue
				}
				table.RecordStart(choice.Chain, tokens, now)
				table.RecordEnd(choice.Chain, tokens, now)
				if now.Sub(begin) >= warmUp {
					mbit += tokens * float64(m.ActivationBytes) * 8 / 1e6
				}
			}
			fraction := mbit / now.Sub(begin.Add(warmUp)).Seconds() / m.PipeMbps
			t.Logf("%d entries use %.3f of the link", entries, fraction)
			is.True(fraction > 0.5*maxCrossZoneBandwidthFraction)
			is.True(fraction < 1.3*maxCrossZoneBandwidthFraction)
		})
	}
}

// exchangeLoads reports the loads of each entry to all others.
func exchangeLoads(tables []*Table, now time.Time) {
	loads := make([][]Load, len(tables))
	for i, table := range tables {
		loads[i] = table.OwnLoads(now)
	}
	for i, table := range tables {
		byPeer := make(map[string][]Load)
		for j := range tables {
			if j != i {
				byPeer[fmt.Sprint(j)] = loads[j]
			}
		}
		table.SetPeers(byPeer, now)
	}
}

// Guards against entries that all choose the same replica because they send at
// once and their loads are exchanged with a lag. Each entry assumes that its
// peers send as much as it does.
func TestConcurrentEntriesSpreadLoad(t *testing.T) {
	is := is.New(t)
	m := testModel()
	const entries = 7
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = &Table{Zone: "a", Entries: entries, Rand: rand.New(rand.NewPCG(1, uint64(i)))}
		tables[i].SetEngines(m, []Engine{
			engine(m, "f", "a", "fast", 0, 40), engine(m, "s1", "a", "slow", 0, 20), engine(m, "s2", "a", "slow", 20, 40),
			engine(m, "x1", "a", "slow", 40, 60), engine(m, "x2", "a", "slow", 60, 80),
			engine(m, "y1", "a", "slow", 40, 60), engine(m, "y2", "a", "slow", 60, 80),
		})
		for j := range entries {
			if j != i {
				tables[i].SetPeer(fmt.Sprint(j), nil, begin)
			}
		}
	}
	counts := make(map[string]int)
	for range 5 {
		for _, table := range tables {
			r := Request{Tokens: 900}
			choice, err := table.Choose(r, begin)
			is.NoErr(err)
			table.RecordStart(choice.Chain, r.Tokens, begin)
			for _, h := range choice.Chain {
				counts[h.Server]++
			}
		}
	}
	is.True(counts["x1"] >= 10 && counts["y1"] >= 10) // of 35 requests, close to half
}

// Guards against load that is still counted after its request has ended.
func TestLoadEnds(t *testing.T) {
	is := is.New(t)
	m := testModel()
	table := &Table{Zone: "a"}
	table.SetEngines(m, []Engine{engine(m, "f1", "a", "fast", 0, 40), engine(m, "f2", "a", "fast", 40, 80)})
	choice, err := table.Choose(Request{Tokens: 10}, begin)
	is.NoErr(err)
	table.RecordStart(choice.Chain, 10, begin)
	is.Equal(len(table.OwnLoads(begin)), 2)
	table.RecordEnd(choice.Chain, 10, begin)
	is.Equal(len(table.OwnLoads(begin)), 0)
}

// Guards against a burst at an engine at which most chains begin. Engines bound
// the requests that they receive, so chains begin elsewhere before the bound is
// reached.
func TestFirstEngineSlots(t *testing.T) {
	is := is.New(t)
	m := testModel()
	m.Slots = 10
	table := &Table{Zone: "a"}
	table.SetEngines(m, []Engine{
		engine(m, "f1", "a", "fast", 0, 20), engine(m, "s1", "a", "slow", 0, 20), engine(m, "rest1", "a", "fast", 20, 50), engine(m, "rest2", "a", "fast", 50, 80),
	})
	firsts := make(map[string]int)
	for {
		choice, err := table.Choose(Request{Tokens: 10}, begin)
		if err != nil {
			break
		}
		table.RecordStart(choice.Chain, 10, begin)
		firsts[choice.Chain[0].Server]++
	}
	is.Equal(firsts, map[string]int{"f1": 9, "s1": 9})
}

// Guards against many entries that choose the same replicas because they use
// the same loads and send before the next exchange. Replicas of similar cost
// share the requests.
func TestLargeFleetSpreads(t *testing.T) {
	is := is.New(t)
	m := testModel()
	var engines []Engine
	for i := range 4 {
		engines = append(engines, engine(m, fmt.Sprint("x", i), "a", "slow", 0, 20), engine(m, fmt.Sprint("y", i), "a", "fast", 20, 50))
	}
	engines = append(engines, engine(m, "z", "a", "fast", 50, 80))
	counts := make(map[string]int)
	for i := range 60 {
		table := &Table{Zone: "a", Entries: 60, Rand: rand.New(rand.NewPCG(2, uint64(i)))}
		table.SetEngines(m, engines)
		choice, err := table.Choose(Request{Tokens: 900}, begin)
		is.NoErr(err)
		for _, h := range choice.Chain {
			counts[h.Server]++
		}
	}
	for i := range 4 {
		is.True(counts[fmt.Sprint("x", i)] >= 5) // of a mean of 15
		is.True(counts[fmt.Sprint("y", i)] >= 5)
	}
}

// Guards against streams that lost their chain and are refused for lack of
// memory while new requests are admitted. Streams that had begun are admitted
// up to a higher fill.
func TestContinuingStreamsAreAdmittedFirst(t *testing.T) {
	is := is.New(t)
	m := testModel()
	table := &Table{Zone: "a"}
	table.SetEngines(m, []Engine{engine(m, "f1", "a", "fast", 0, 40), engine(m, "f2", "a", "fast", 40, 80)})
	for {
		choice, err := table.Choose(Request{Tokens: 100}, begin)
		if err != nil {
			is.True(errors.Is(err, ErrFull))
			break
		}
		table.RecordStart(choice.Chain, 100, begin)
	}
	choice, err := table.Choose(Request{Tokens: 100, Continuing: true}, begin)
	is.NoErr(err)
	is.NoErr(choice.Chain.Check(80))
}

// Guards against a move that replaces more engines than the failed one. The
// other engines keep their layers, also if they are full or slower than those
// of a new chain.
func TestMoveKeepsOtherEngines(t *testing.T) {
	m := testModel()
	m.ReadPerSecond, m.ReadChunk = 164000, 512
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		table := &Table{Zone: "a", Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), Entries: 60}
		var engines []Engine
		for unit := range 8 {
			for n := range 3 {
				engines = append(engines, engine(m, fmt.Sprint("e", unit, n), "a", "slow", unit*10, unit*10+10))
			}
		}
		table.SetEngines(m, engines)
		old, err := table.Choose(Request{Tokens: 800}, begin)
		is.NoErr(err)
		table.RecordStart(old.Chain, 800, begin)
		full := rapid.SampledFrom(old.Chain).Draw(t, "full").Server
		room := m.RequestMemory(m.Accelerator("slow"), 10)
		table.SetPeer("p", []Load{{Server: full, Requests: 500, Memory: 2 * room}}, begin)
		failed := rapid.SampledFrom(old.Chain[1:]).Draw(t, "lost").Server
		moved, err := table.Choose(Request{
			Tokens: 800, FirstServer: old.Chain[0].Server, CurrentChain: old.Chain, Continuing: true, Avoid: func(id string) bool { return id == failed },
		}, begin)
		is.NoErr(err)
		is.NoErr(moved.Chain.Check(80))
		for i, h := range old.Chain {
			is.True((moved.Chain[i] == h) == (h.Server != failed)) // only the hop of the failed engine changes
		}
	})
}

// Pattern: an engine that alone holds its layers leaves, and another engine of the
// chain fails before the layers are loaded elsewhere. The leaving engine still runs
// what it has, so only the failed engine is replaced.
func TestMoveKeepsLeavingEngine(t *testing.T) {
	is := is.New(t)
	m := testModel()
	table := &Table{Zone: "a"}
	engines := []Engine{
		engine(m, "f1", "a", "fast", 0, 30), engine(m, "s1", "a", "slow", 30, 50), engine(m, "f2", "a", "fast", 50, 80), engine(m, "f3", "a", "fast", 50, 80),
	}
	table.SetEngines(m, engines)
	old, err := table.Choose(Request{Tokens: 100}, begin)
	is.NoErr(err)
	table.SetEngines(m, append(engines[:1:1], engines[2:]...)) // s1 leaves
	failed := old.Chain[2].Server
	move := Request{Tokens: 100, FirstServer: "f1", CurrentChain: old.Chain, Continuing: true, Avoid: func(id string) bool { return id == failed }}
	moved, err := table.Choose(move, begin)
	is.NoErr(err)
	is.NoErr(moved.Chain.Check(80))
	is.Equal(moved.Chain[:2], old.Chain[:2])
	_, err = table.Choose(Request{Tokens: 100}, begin) // new requests do not use the leaving engine
	is.True(errors.Is(err, ErrNoChain))
	_, err = table.Choose(move, begin.Add(2*formerEngineTTL)) // by then it has ended
	is.True(errors.Is(err, ErrNoChain))
}

// Guards against overfilling the remaining replica when an engine fails in a
// busy zone and all entries move its requests at once. Moves beyond its memory
// return an error.
func TestMovesDoNotOverfillRemainingEngine(t *testing.T) {
	is := is.New(t)
	m := testModel()
	const entries, streams, tokens = 60, 600, 800
	room := m.RequestMemory(m.Accelerator("slow"), 10)
	moved, refused := 0, 0
	for i := range entries {
		table := &Table{Zone: "a", Rand: rand.New(rand.NewPCG(uint64(i), 1)), Entries: entries}
		var engines []Engine
		for unit := range 8 {
			engines = append(engines, engine(m, fmt.Sprintf("e%d0", unit), "a", "slow", unit*10, unit*10+10), engine(m, fmt.Sprintf("e%d1", unit), "a", "slow", unit*10, unit*10+10))
		}
		table.SetEngines(m, engines)
		// Each engine is half full with requests of peers.
		var loads []Load
		for _, e := range engines {
			loads = append(loads, Load{Server: e.ID, Requests: 100, Memory: 0.5 * room})
		}
		table.SetPeers(map[string][]Load{"others": loads}, begin)
		for range streams / entries {
			old, err := table.Choose(Request{Tokens: tokens}, begin)
			is.NoErr(err)
			if !old.Chain.Uses("e40") {
				continue
			}
			choice, err := table.Choose(Request{
				Tokens: tokens, FirstServer: old.Chain[0].Server, CurrentChain: old.Chain, Continuing: true, Avoid: func(id string) bool { return id == "e40" },
			}, begin.Add(time.Second))
			if err != nil {
				refused++
				continue
			}
			is.True(choice.Chain.Uses("e41"))
			table.RecordStart(choice.Chain, tokens, begin.Add(time.Second))
			moved++
		}
	}
	is.True(moved > 0)
	is.True(0.5+float64(moved*tokens*10)/room <= maxContinuingFillRatio) // half of the memory was taken before the moves
	is.True(refused+moved > 100)
}
