package savoryplacement

// This file defines Orderer, which turns a plan into orders to engines.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// settleDelay is the time without a new engine after which the first plan is
	// made. Engines register within a few heartbeats of their start; a plan for only
	// some of them would be replaced and the orders repeated.
	settleDelay = 2 * time.Second
	// maxSettleDelay bounds the wait for the first plan, counted from the first engine.
	maxSettleDelay = 6 * time.Second
	// reregisterWindow is the time after the first reading of the list in which
	// engines of the plan that are missing may have expired while the store was
	// unreachable. They register again about two seconds after the store recovers.
	reregisterWindow = 2500 * time.Millisecond
	// orderRepeatDelay is the time in which an engine's state must show an order
	// before the order is repeated. Engines may carry out orders seconds late.
	orderRepeatDelay = 3 * time.Second
)

// Order states which layers an engine is to load.
type Order struct {
	Server savoryroster.Server
	Layers savoryworld.LayerRange
	// Urgent is true if no usable engine of the zone holds some of the layers. The
	// requests that still run on the engine's old layers then move to other engines
	// at once.
	Urgent bool
}

// Orderer plans and orders for the engines of one service. It is ready for use
// after Resume and is not safe for concurrent use.
type Orderer struct {
	// ListedAt is when the entry first read the list of engines. The caller sets it
	// before Replan.
	ListedAt time.Time

	plan Plan
	// keepHeld is set until the first replan after ResumeHeld.
	keepHeld        bool
	pending         map[string]pendingOrder
	firstEngineAt   time.Time
	lastNewEngineAt time.Time
	seen            map[string]bool
}

type pendingOrder struct {
	incarnation time.Time
	orderedAt   time.Time
}

// Resume starts from the plan in the store. A plan with Unit 0 means that there
// is none.
func (o *Orderer) Resume(plan Plan) {
	o.plan = plan
	o.pending = make(map[string]pendingOrder)
	o.seen = make(map[string]bool)
}

// ResumeHeld starts from a plan that may be older than the last orders: the store
// was restored from a copy. Engines that hold layers keep them, as far as they fit
// the units of the plan.
func (o *Orderer) ResumeHeld(plan Plan) {
	o.Resume(plan)
	o.keepHeld = true
}

// Plan returns the plan in force.
func (o *Orderer) Plan() Plan { return o.plan }

// RecentlyOrdered reports whether the engine was given an order less than
// orderRepeatDelay ago. Requests on the layers that it gives up then stall, which
// looks like a failure.
func (o *Orderer) RecentlyOrdered(s savoryroster.Server, now time.Time) bool {
	p, ok := o.pending[s.ID]
	return ok && p.incarnation.Equal(s.Born) && now.Sub(p.orderedAt) < orderRepeatDelay
}

// Replan adapts the plan to the usable engines and reports whether it changed. A
// failing engine is not usable; its layers are assigned to another engine only
// if no replica remains.
func (o *Orderer) Replan(e *savoryrouting.Engine, engines []Engine, now time.Time) bool {
	for _, engine := range engines {
		if !o.seen[engine.ID] {
			o.seen[engine.ID] = true
			o.lastNewEngineAt = now
		}
	}
	if len(engines) == 0 {
		return false
	}
	if o.firstEngineAt.IsZero() {
		o.firstEngineAt = now
	}
	if now.Sub(o.ListedAt) < reregisterWindow && o.missesPlanned(engines) {
		return false
	}
	if o.plan.Unit == 0 && now.Sub(o.lastNewEngineAt) < settleDelay && now.Sub(o.firstEngineAt) < maxSettleDelay {
		return false
	}
	if o.keepHeld && o.plan.Unit > 0 {
		o.plan = o.plan.withHeld(engines)
	}
	o.keepHeld = false
	next := Extend(e, o.plan, engines)
	if next.Equal(o.plan) {
		return false
	}
	o.plan = next
	return true
}

// missesPlanned reports whether an engine of the plan is not usable.
func (o *Orderer) missesPlanned(engines []Engine) bool {
	n := 0
	for _, e := range engines {
		if _, ok := o.plan.Layers[e.ID]; ok {
			n++
		}
	}
	return n < len(o.plan.Layers)
}

// Orders returns the orders to give now. If any engine holds layers, at most
// LoadsAtOnce engines load at a time, the number that the weight store serves at
// full speed. The loads that make a zone whole soonest come first.
func (o *Orderer) Orders(e *savoryrouting.Engine, servers []savoryroster.Server, failing map[string]bool, now time.Time) []Order {
	held := heldLayers(e, servers, failing)
	loading, serving := o.loading(servers, failing, now)
	var orders []Order
	for _, s := range servers {
		want := o.plan.Layers[s.ID]
		if want.Empty() || s.Holds == want || s.Leaving || s.Busy || failing[s.ID] || o.RecentlyOrdered(s, now) {
			continue
		}
		orders = append(orders, Order{Server: s, Layers: want, Urgent: serving && lacksAny(held[s.Zone], want)})
	}
	sortOrders(orders, held)
	if serving && e.LoadsAtOnce > 0 {
		orders = orders[:min(len(orders), max(0, e.LoadsAtOnce-loading))]
	}
	for _, order := range orders {
		o.pending[order.Server.ID] = pendingOrder{incarnation: order.Server.Born, orderedAt: now}
	}
	return orders
}

// sortOrders sorts urgent orders first, among these the zones that lack the fewest
// layers, and then the shortest loads. Orders of the same rank keep their sequence.
func sortOrders(orders []Order, held map[string][]bool) {
	lacking := make(map[string]int)
	for zone, layers := range held {
		for _, ok := range layers {
			if !ok {
				lacking[zone]++
			}
		}
	}
	rank := func(o Order) int {
		if o.Urgent {
			return lacking[o.Server.Zone]
		}
		return math.MaxInt
	}
	slices.SortStableFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Layers.Count(), b.Layers.Count()))
	})
}

// loading counts the engines that load layers after an order and reports whether
// any engine holds layers. A failing engine is not counted: its load may never end.
func (o *Orderer) loading(servers []savoryroster.Server, failing map[string]bool, now time.Time) (n int, serving bool) {
	for _, s := range servers {
		if failing[s.ID] {
			continue
		}
		if s.Busy || o.RecentlyOrdered(s, now) && s.Holds != o.plan.Layers[s.ID] {
			n++
		}
		serving = serving || !s.Holds.Empty()
	}
	return n, serving
}

// heldLayers returns for each zone which layers a usable engine holds.
func heldLayers(e *savoryrouting.Engine, servers []savoryroster.Server, failing map[string]bool) map[string][]bool {
	held := make(map[string][]bool)
	for _, s := range servers {
		if held[s.Zone] == nil {
			held[s.Zone] = make([]bool, e.Layers)
		}
		if failing[s.ID] {
			continue
		}
		for l := max(0, s.Holds.From); l < min(e.Layers, s.Holds.To); l++ {
			held[s.Zone][l] = true
		}
	}
	return held
}

// lacksAny reports whether any of the layers is not held.
func lacksAny(held []bool, layers savoryworld.LayerRange) bool {
	for l := layers.From; l < layers.To && l < len(held); l++ {
		if !held[l] {
			return true
		}
	}
	return false
}
