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

// testEngine is a model of 80 layers on three kinds of accelerators.
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

// zoneEngines returns engines of one zone by the counts of their kinds.
func zoneEngines(zone string, large, middle, small int) []Engine {
	var engines []Engine
	for kind, n := range map[string]int{"large": large, "middle": middle, "small": small} {
		for i := range n {
			engines = append(engines, Engine{ID: fmt.Sprintf("%s-%s-%d", zone, kind, i), Zone: zone, Accelerator: kind})
		}
	}
	return engines
}

// replicas counts the engines that hold each layer.
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

// Every zone has a chain of its own, and its weakest unit has the memory of the
// requests of a whole zone's callers: 30 a second for two seconds.
func TestPlanCarriesLoad(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := append(zoneEngines("a", 1, 6, 5), zoneEngines("b", 2, 2, 5)...)
	engines = append(engines, zoneEngines("c", 1, 3, 8)...)
	plan := New(e, engines)
	rooms := make(map[string][]float64)
	for _, engine := range engines {
		if rooms[engine.Zone] == nil {
			rooms[engine.Zone] = make([]float64, 80)
		}
		layers := plan.Layers[engine.ID]
		t.Logf("%s %s", engine.ID, layers)
		for l := layers.From; l < layers.To; l++ {
			rooms[engine.Zone][l] += e.RequestMemory(e.Accelerator(engine.Accelerator), layers.Count()) / float64(layers.Count())
		}
	}
	for zone, room := range rooms {
		least := slices.Min(room)
		t.Logf("zone %s: %.0f tokens at its weakest layer", zone, least)
		is.True(least > 30*2*977)
	}
}

// Never more layers than fit, whatever comes and goes, and a plan in force is
// kept where nothing changes.
func TestPlanFitsAndIsStable(t *testing.T) {
	e := testEngine()
	rapid.Check(t, func(t *rapid.T) {
		engines := zoneEngines("a", rapid.IntRange(0, 3).Draw(t, "large"), rapid.IntRange(0, 6).Draw(t, "middle"), rapid.IntRange(0, 9).Draw(t, "small"))
		plan := New(e, engines)
		check := func(plan Plan, engines []Engine) {
			for _, engine := range engines {
				if a := e.Accelerator(engine.Accelerator); plan.Layers[engine.ID].Count() > e.MaxLayers(a) {
					t.Fatalf("%s holds %s, more than %d layers", engine.ID, plan.Layers[engine.ID], e.MaxLayers(a))
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
			t.Fatalf("%d engines moved after one loss", changed)
		}
	})
}

// A unit that lost its only engine is held again after one replan.
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

// An engine that holds its part keeps it when the plan is unknown.
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

// Pattern: an engine lost with three units of which it was the only holder, and
// small doubles in the zone. The doubles take one unit each; no engine is filled
// with layers until it has no memory for requests.
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
	rooms := make([]float64, e.Layers)
	for _, engine := range left {
		layers := next.Layers[engine.ID]
		for l := layers.From; l < layers.To; l++ {
			rooms[l] += e.RequestMemory(e.Accelerator(engine.Accelerator), layers.Count()) / float64(layers.Count())
		}
	}
	// 27 requests a second of a zone's callers for a second and a half.
	is.True(slices.Min(rooms) >= 27*1.5*977)
}

// Pattern: engines are lost one after the other while others still load. No plan
// takes an engine off layers that nobody else serves yet, or off its way.
func TestMovesKeepLayersServed(t *testing.T) {
	e := testEngine()
	rapid.Check(t, func(t *rapid.T) {
		engines := append(zoneEngines("a", 1, 6, 5), zoneEngines("b", 2, 2, 5)...)
		slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
		plan := New(e, engines)
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
					t.Fatalf("%s is on its way from %s to %s and is sent to %s", engine.ID, engine.Holds, old, now)
				}
				// An engine that is on its way has its order already.
				for l := engine.Holds.From; now != old && l < engine.Holds.To; l++ {
					if now.From <= l && l < now.To {
						continue
					}
					if !slices.ContainsFunc(engines, func(q Engine) bool {
						kept := next.Layers[q.ID]
						return q.Zone == engine.Zone && q.ID != engine.ID && q.Holds.From <= l && l < q.Holds.To && kept.From <= l && l < kept.To
					}) {
						t.Fatalf("%s leaves layer %d, which nobody else serves", engine.ID, l)
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

// Orders: all at once before anything serves, then as many as load at full speed;
// an urgent one says that nobody else in the zone holds its layers.
func TestOrders(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engines := zoneEngines("a", 1, 6, 5)
	var o Orderer
	o.Resume(Plan{})
	is.True(!o.Replan(e, engines, now)) // more may register
	now = now.Add(settleDelay)
	is.True(o.Replan(e, engines, now))
	var servers []savoryroster.Server
	for _, engine := range engines {
		servers = append(servers, savoryroster.Server{ID: engine.ID, Zone: "a", Born: now})
	}
	first := o.Orders(e, servers, nil, now)
	is.Equal(len(first), len(engines))
	is.Equal(len(o.Orders(e, servers, nil, now.Add(orderRepeatDelay/2))), 0) // unanswered orders are not repeated at once
	for i := range servers {
		servers[i].Holds = o.Plan().Layers[servers[i].ID]
		engines[i].Holds = servers[i].Holds
	}
	is.True(!o.Replan(e, engines, now.Add(time.Second))) // nothing changes
	// Another orderer goes on with the plan and moves nothing.
	var successor Orderer
	successor.Resume(o.Plan())
	is.True(!successor.Replan(e, engines, now.Add(time.Second)))
	is.Equal(len(successor.Orders(e, servers, nil, now.Add(time.Second))), 0)
	// All restart empty but one: loads are bounded, and urgent.
	for i := range servers[1:] {
		servers[i+1].Holds, servers[i+1].Born = savoryworld.LayerRange{}, now.Add(time.Minute)
	}
	again := o.Orders(e, servers, nil, now.Add(time.Minute))
	is.Equal(len(again), e.LoadsAtOnce)
	is.True(again[0].Urgent)
}

// Pattern: all entries were lost while the store was away, and most engines have
// lapsed from the list that the next orderer reads. It moves nothing until they
// are back, or gone.
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
	is.True(!o.Replan(e, engines, begin.Add(2*time.Second))) // all are back, nothing is to be moved
	is.True(o.Replan(e, engines[:len(engines)-1], begin.Add(reregisterWindow)))
}
