package savoryorder

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryworld"
)

// engine is a fake engine that holds the state of the last order that it received.
// If checks is true, it refuses orders with an older fencing token.
type engine struct {
	checks bool
	fence  int64
	holds  savoryengine.Assignment
}

func (e *engine) order(fence int64, wanted savoryengine.Assignment) {
	if e.checks && fence < e.fence {
		return
	}
	e.fence = max(e.fence, fence)
	e.holds = wanted
}

// delayedOrder is an order that is still in flight.
type delayedOrder struct {
	engine int
	fence  int64
	wanted savoryengine.Assignment
}

// A second orderer acquires the lease after the first. The first may be paused and
// resume with its old configuration, and its orders may arrive late. An engine that
// checks fencing tokens never returns to the old state after an order of the second
// orderer. An engine that ignores them ends in the new state too, because the
// second orderer reads its state back.
func TestExpiredOrdererIsHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 10 * time.Second
		now := time.Unix(1000, 0)
		old := savoryengine.Assignment{Model: "m", Version: "v1"}
		wanted := savoryengine.Assignment{Model: "m", Version: "v2"}
		engines := []*engine{{checks: true}, {checks: false}}
		var delayed []delayedOrder
		first, second := &Lease{Margin: ttl / 3}, &Lease{Margin: ttl / 3}
		first.Acquired(1, now, ttl)
		leaseEnds := now.Add(ttl)
		planner := &Planner{MaxLoading: 2}
		servers := []savoryworld.BackendServer{{Name: "0", Model: "m", Version: "v2"}, {Name: "1", Model: "m", Version: "v2"}}
		ordered := make([]bool, len(engines))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "who") {
			case 0:
				if fence, held := first.Fence(now); held {
					if !now.Before(leaseEnds) {
						t.Fatal("the first orderer holds a lease that has expired at the store")
					}
					delayed = append(delayed, delayedOrder{rapid.IntRange(0, 1).Draw(t, "engine"), fence, old})
				}
			case 1:
				if len(delayed) > 0 {
					o := delayed[0]
					delayed = delayed[1:]
					engines[o.engine].order(o.fence, o.wanted)
				}
			default:
				if now.After(leaseEnds) {
					second.Acquired(2, now, ttl)
				}
				runRound(second, planner, servers, engines, ordered, now)
			}
			if e := engines[0]; ordered[0] && e.holds != wanted {
				t.Fatal("an engine that checks fencing tokens returned to the old state")
			}
		}
		for _, o := range delayed {
			engines[o.engine].order(o.fence, o.wanted)
		}
		for range 20 {
			now = now.Add(maxOrderDelay)
			second.Acquired(2, now, ttl)
			runRound(second, planner, servers, engines, ordered, now)
		}
		for i, e := range engines {
			if e.holds != wanted {
				t.Fatalf("engine %d holds %v after the last round", i, e.holds)
			}
		}
	})
}

// runRound runs one round of the second orderer.
func runRound(lease *Lease, planner *Planner, servers []savoryworld.BackendServer, engines []*engine, ordered []bool, now time.Time) {
	fence, held := lease.Fence(now)
	if !held {
		return
	}
	for i, e := range engines {
		planner.Observe(fmt.Sprint(i), savoryengine.Status{Holds: e.holds}, now)
	}
	for _, o := range planner.Plan(servers, now) {
		i := int(o.Server.Name[0] - '0')
		engines[i].order(fence, o.Wanted)
		ordered[i] = true
	}
}

// At most MaxLoading engines load at a time, also directly after an order. More
// loads would exceed the weight store's rate.
func TestPlanBoundsConcurrentLoads(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	planner := &Planner{MaxLoading: 2}
	var servers []savoryworld.BackendServer
	for i := range 6 {
		name := fmt.Sprint("e", i)
		servers = append(servers, savoryworld.BackendServer{Name: name, Model: "m", Version: "v2"})
		planner.Observe(name, savoryengine.Status{Holds: savoryengine.Assignment{Model: "m", Version: "v1"}}, now)
	}
	is.Equal(len(planner.Plan(servers, now)), 2)
	is.Equal(len(planner.Plan(servers, now)), 0) // both are loading

	// One engine has loaded, so one more may load.
	planner.Observe("e0", savoryengine.Status{Holds: savoryengine.Assignment{Model: "m", Version: "v2"}}, now)
	planner.Observe("e1", savoryengine.Status{Loading: true}, now)
	orders := planner.Plan(servers, now)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Server.Name, "e2")
}

// Engines that are leaving, and engines without a recent status, get no order.
func TestPlanLeavesOutLeavingAndUnknown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	planner := &Planner{MaxLoading: 9}
	servers := []savoryworld.BackendServer{
		{Name: "leaving", Model: "m", Leaving: true}, {Name: "unknown", Model: "m"}, {Name: "old", Model: "m"}, {Name: "says", Model: "m"},
	}
	planner.Observe("leaving", savoryengine.Status{}, now)
	planner.Observe("old", savoryengine.Status{}, now.Add(-time.Minute))
	planner.Observe("says", savoryengine.Status{Leaving: true}, now)
	is.Equal(len(planner.Plan(servers, now)), 0)
}

// The status of each engine is read once before any is read twice, so that no engine
// is left out; engines that differ from the configuration come first.
func TestStatusReadsRotate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	planner := &Planner{MaxLoading: 1}
	var servers []savoryworld.BackendServer
	for i := range 10 {
		name := fmt.Sprint("e", i)
		servers = append(servers, savoryworld.BackendServer{Name: name, Model: "m", Version: "v1"})
	}
	selected := make(map[string]int)
	for range 5 {
		for _, server := range planner.SelectForStatus(servers, 2) {
			selected[server.Name]++
			planner.Observe(server.Name, savoryengine.Status{Holds: WantedOf(server)}, now)
		}
	}
	is.Equal(len(selected), 10)
	servers[7].Version = "v2"
	is.Equal(planner.SelectForStatus(servers, 1)[0].Name, "e7")
}
