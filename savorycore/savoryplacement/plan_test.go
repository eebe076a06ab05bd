package savoryplacement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

// testEngine returns a model of 80 layers on three kinds of accelerators.
func testEngine() *savoryrouting.Engine {
	return &savoryrouting.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918000, LoadsAtOnce: 5, UsualPrompt: 774, UsualAnswer: 203, Stride: 3, ReadPerSecond: 105000, ReadChunk: 512,
		StepTime: 1020 * time.Microsecond, RequestTime: 7140 * time.Nanosecond, ContextTime: 9560 * time.Nanosecond,
		Accelerators: []savoryrouting.Accelerator{
			{Name: "large", MemoryMB: 72000, StepFactor: 2.4, ReadFactor: 3.2},
			{Name: "middle", MemoryMB: 43200, StepFactor: 5.6, ReadFactor: 2.7},
			{Name: "small", MemoryMB: 21600, StepFactor: 16, ReadFactor: 8.2},
		},
	}
}

// zoneEngines returns the engines of one zone, given the number of each kind.
func zoneEngines(zone string, large, middle, small int) []Engine {
	var engines []Engine
	for kind, n := range map[string]int{"large": large, "middle": middle, "small": small} {
		for i := range n {
			engines = append(engines, Engine{ID: fmt.Sprintf("%s-%s-%d", zone, kind, i), Zone: zone, Accelerator: kind})
		}
	}
	return engines
}

// replicas counts for each zone the engines that hold each layer.
func replicas(plan Plan, engines []Engine) map[string][]int {
	count := make(map[string][]int)
	for _, e := range engines {
		if count[e.Zone] == nil {
			count[e.Zone] = make([]int, 80)
		}
		for l := plan.Layers[e.ID].From; l < plan.Layers[e.ID].To; l++ {
			count[e.Zone][l]++
		}
	}
	return count
}

// The layer with the least request memory in each zone holds the requests of the
// zone's callers: 30 per second for two seconds. A plan that fills an engine
// with layers, or leaves a zone without a chain, fails here.
func TestPlanCarriesLoad(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := append(zoneEngines("a", 1, 6, 5), zoneEngines("b", 2, 2, 5)...)
	engines = append(engines, zoneEngines("c", 1, 3, 8)...)
	plan := New(e, engines)
	memory := make(map[string][]float64)
	for _, engine := range engines {
		if memory[engine.Zone] == nil {
			memory[engine.Zone] = make([]float64, 80)
		}
		layers := plan.Layers[engine.ID]
		t.Logf("%s %s", engine.ID, layers)
		for l := layers.From; l < layers.To; l++ {
			memory[engine.Zone][l] += e.RequestMemory(e.Accelerator(engine.Accelerator), layers.Count()) / float64(layers.Count())
		}
	}
	for zone, tokens := range memory {
		least := slices.Min(tokens)
		t.Logf("zone %s: %.0f tokens at the layer with the least memory", zone, least)
		is.True(least > 30*2*977)
	}
}

// No engine is assigned more layers than fit its accelerator, also after the loss
// of an engine, and one loss moves at most maxMoves engines.
func TestPlanFitsAndIsStable(t *testing.T) {
	e := testEngine()
	rapid.Check(t, func(t *rapid.T) {
		engines := zoneEngines("a", rapid.IntRange(0, 3).Draw(t, "large"), rapid.IntRange(0, 6).Draw(t, "middle"), rapid.IntRange(0, 9).Draw(t, "small"))
		plan := New(e, engines)
		check := func(plan Plan, engines []Engine) {
			for _, engine := range engines {
				if a := e.Accelerator(engine.Accelerator); plan.Layers[engine.ID].Count() > e.MaxLayers(a) {
					t.Fatalf("%s is assigned layers %s, more than the %d that fit", engine.ID, plan.Layers[engine.ID], e.MaxLayers(a))
				}
			}
		}
		check(plan, engines)
		if len(engines) == 0 {
			return
		}
		lost := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
		left := append(append([]Engine{}, engines[:lost]...), engines[lost+1:]...)
		next := Extend(e, plan, left)
		check(next, left)
		changed := 0
		for id, layers := range next.Layers {
			if plan.Layers[id] != layers {
				changed++
			}
		}
		if changed > maxMoves {
			t.Fatalf("%d engines moved after the loss of one engine", changed)
		}
	})
}

// A unit whose only engine failed is assigned again by the next plan.
func TestLostUnitIsCovered(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := zoneEngines("a", 1, 6, 5)
	plan := New(e, engines)
	for lost := range engines {
		left := append(append([]Engine{}, engines[:lost]...), engines[lost+1:]...)
		next := Extend(e, plan, left)
		for _, n := range replicas(next, left)["a"] {
			is.True(n >= 1)
		}
	}
}

// Without a stored plan, engines keep the layers that they hold. Otherwise a new
// orderer that finds no plan would reload all engines.
func TestPlanKeepsHeldLayers(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := zoneEngines("a", 1, 6, 5)
	plan := New(e, engines)
	for i := range engines {
		engines[i].Holds = plan.Layers[engines[i].ID]
	}
	is.Equal(Extend(e, Plan{}, engines).Layers, plan.Layers)
}

// A failed engine was the only holder of three units, and the zone has small
// replicas of other units. Each replica takes over one unit; if one engine took
// all three, it would have no memory left for requests.
func TestLostLayersAreSharedByReplicas(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := zoneEngines("a", 2, 2, 5)
	plan := New(e, engines)
	left := make([]Engine, 0, len(engines))
	for _, engine := range engines {
		if engine.ID != "a-large-1" {
			engine.Holds = plan.Layers[engine.ID]
			left = append(left, engine)
		}
	}
	next := Extend(e, plan, left)
	memory := make([]float64, e.Layers)
	for _, engine := range left {
		layers := next.Layers[engine.ID]
		for l := layers.From; l < layers.To; l++ {
			memory[l] += e.RequestMemory(e.Accelerator(engine.Accelerator), layers.Count()) / float64(layers.Count())
		}
	}
	// 27 requests per second of a zone's callers for one and a half seconds.
	is.True(slices.Min(memory) >= 27*1.5*977)
}

// Engines fail one after the other while others still load. No plan moves an
// engine off layers that no other engine serves yet, and none redirects an
// engine that is still loading.
func TestMovesKeepLayersServed(t *testing.T) {
	e := testEngine()
	rapid.Check(t, func(t *rapid.T) {
		engines := append(zoneEngines("a", 1, 6, 5), zoneEngines("b", 2, 2, 5)...)
		slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
		plan := New(e, engines)
		// Some engines have loaded the layers that they were ordered to hold.
		for i := range engines {
			engines[i].Holds = plan.Layers[engines[i].ID]
		}
		for range rapid.IntRange(1, 4).Draw(t, "losses") {
			lost := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
			engines = append(append([]Engine{}, engines[:lost]...), engines[lost+1:]...)
			next := Extend(e, plan, engines)
			for _, engine := range engines {
				old, now := plan.Layers[engine.ID], next.Layers[engine.ID]
				if old != engine.Holds && now != old {
					t.Fatalf("%s is loading, from layers %s to %s, and is reassigned to %s", engine.ID, engine.Holds, old, now)
				}
				// An engine that is loading has its order already.
				for l := engine.Holds.From; now != old && l < engine.Holds.To; l++ {
					if now.From <= l && l < now.To {
						continue
					}
					if !slices.ContainsFunc(engines, func(q Engine) bool {
						kept := next.Layers[q.ID]
						return q.Zone == engine.Zone && q.ID != engine.ID && q.Holds.From <= l && l < q.Holds.To && kept.From <= l && l < kept.To
					}) {
						t.Fatalf("%s gives up layer %d, which no other engine serves", engine.ID, l)
					}
				}
			}
			plan = next
			// Some have loaded what they were ordered to hold.
			for i := range engines {
				if rapid.Bool().Draw(t, "loaded") {
					engines[i].Holds = plan.Layers[engines[i].ID]
				}
			}
		}
	})
}

// All engines are ordered at once before any engine serves; after that, as many
// load as the weight store serves at full speed. An order is urgent if no other
// engine of the zone holds its layers.
func TestOrders(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engines := zoneEngines("a", 1, 6, 5)
	var o Orderer
	o.Resume(Plan{})
	is.True(!o.Replan(e, engines, now)) // more engines may register
	now = now.Add(settleDelay)
	is.True(o.Replan(e, engines, now))
	var servers []savoryroster.Server
	for _, engine := range engines {
		servers = append(servers, savoryroster.Server{ID: engine.ID, Zone: "a", Born: now})
	}
	first := o.Orders(e, servers, nil, now)
	is.Equal(len(first), len(engines))
	is.Equal(len(o.Orders(e, servers, nil, now.Add(orderRepeatDelay/2))), 0) // an unacknowledged order is not repeated at once
	for i := range servers {
		servers[i].Holds = o.Plan().Layers[servers[i].ID]
		engines[i].Holds = servers[i].Holds
	}
	is.True(!o.Replan(e, engines, now.Add(time.Second))) // no engine changed
	// A successor continues with the stored plan and moves no engine.
	var successor Orderer
	successor.Resume(o.Plan())
	is.True(!successor.Replan(e, engines, now.Add(time.Second)))
	is.Equal(len(successor.Orders(e, servers, nil, now.Add(time.Second))), 0)
	// All engines but one restart without layers: loads are bounded, and urgent.
	for i := range servers[1:] {
		servers[i+1].Holds, servers[i+1].Born = savoryworld.LayerRange{}, now.Add(time.Minute)
	}
	again := o.Orders(e, servers, nil, now.Add(time.Minute))
	is.Equal(len(again), e.LoadsAtOnce)
	is.True(again[0].Urgent)
}

// Pattern: several engines crash together and come back empty, while few may load at
// a time. The loads that make a zone whole soonest are ordered first, not those of the
// engine whose name comes first, and an engine that failed while it loaded does not
// keep others waiting.
func TestLoadsThatMakeZonesWholeComeFirst(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	e.LoadsAtOnce = 2
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	layers := func(from, to int) savoryworld.LayerRange { return savoryworld.LayerRange{From: from, To: to} }
	var o Orderer
	o.Resume(Plan{Unit: 5, Layers: map[string]savoryworld.LayerRange{
		"a1": layers(0, 30), "a2": layers(0, 30), "a3": layers(30, 80),
		"b1": layers(0, 30), "b2": layers(30, 60), "b3": layers(60, 80), "b4": layers(30, 60),
		"c1": layers(0, 10), "c2": layers(10, 80),
	}})
	server := func(id string, holds savoryworld.LayerRange) savoryroster.Server {
		return savoryroster.Server{ID: id, Zone: id[:1], Born: now, Holds: holds}
	}
	servers := []savoryroster.Server{
		server("a1", layers(0, 0)), server("a2", layers(0, 30)), server("a3", layers(30, 80)), // whole without a1
		server("b1", layers(0, 0)), server("b2", layers(0, 0)), server("b3", layers(60, 80)), server("b4", layers(0, 0)),
		server("c1", layers(0, 0)), server("c2", layers(10, 80)),
	}
	ids := func(orders []Order) (ids []string) {
		for _, order := range orders {
			ids = append(ids, order.Server.ID)
		}
		return ids
	}
	is.Equal(ids(o.Orders(e, servers, nil, now)), []string{"c1", "b1"})
	now = now.Add(time.Second)
	servers[7].Holds = layers(0, 10) // c1 has loaded
	is.Equal(ids(o.Orders(e, servers, nil, now)), []string{"b2"})
	now = now.Add(time.Second)
	is.Equal(len(o.Orders(e, servers, nil, now)), 0)
	failing := map[string]bool{"b1": true}
	is.Equal(ids(o.Orders(e, servers, failing, now)), []string{"b4"})
}

// All entries failed while the store was unreachable, and most engines are expired
// in the list that the next orderer reads. It moves no engine until the engines
// have registered again or reregisterWindow has passed.
func TestSuccessorWaitsForExpiredEngines(t *testing.T) {
	is := is.New(t)
	e, engines, begin := testEngine(), zoneEngines("a", 3, 6, 6), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	plan := New(e, engines)
	for i := range engines {
		engines[i].Holds = plan.Layers[engines[i].ID]
	}
	var o Orderer
	o.ListedAt = begin
	o.Resume(plan)
	is.True(!o.Replan(e, engines[:6], begin.Add(100*time.Millisecond)))
	is.True(o.Plan().Equal(plan))
	is.True(!o.Replan(e, engines, begin.Add(2*time.Second))) // all engines registered again, so none is moved
	is.True(o.Replan(e, engines[:len(engines)-1], begin.Add(reregisterWindow)))
}
