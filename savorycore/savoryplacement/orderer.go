package savoryplacement

// This file defines Orderer, which turns a plan into orders to engines.

import (
	"maps"
	"time"

	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// settleTime is the time without a new engine after which the first plan is
	// made: engines register within a few heartbeats of their start, and an
	// order on a part of them would be repeated.
	settleTime = 2 * time.Second
	// settleMost bounds the wait for the first plan from the first engine on.
	settleMost = 6 * time.Second
	// orderPause is the time in which an order must show in the engine's state
	// before it is given again; orders may be carried out seconds late.
	orderPause = 3 * time.Second
)

// Order tells an engine which layers to hold.
type Order struct {
	Server savoryroster.Server
	Layers savoryworld.LayerRange
}

// Orderer decides for the engines of one service. The zero value is ready for
// use after Resume; it is not safe for concurrent use.
type Orderer struct {
	plan    Plan
	planned bool
	pending map[string]pendingOrder
	firstAt time.Time
	newAt   time.Time
	known   map[string]bool
}

type pendingOrder struct {
	born time.Time
	at   time.Time
}

// Resume takes the plan that is kept in the store, or nil for none.
func (o *Orderer) Resume(plan Plan) {
	o.plan, o.planned = plan, plan != nil
	o.pending = make(map[string]pendingOrder)
	o.known = make(map[string]bool)
}

// Plan returns the plan in force.
func (o *Orderer) Plan() Plan { return o.plan }

// Replan brings the plan up to date with the usable engines and reports whether
// it changed. An engine that fails is not usable; its part is given to another
// only if no replica is left.
func (o *Orderer) Replan(e *savoryrouting.Engine, engines []Engine, now time.Time) bool {
	for _, engine := range engines {
		if !o.known[engine.ID] {
			o.known[engine.ID] = true
			o.newAt = now
		}
	}
	if len(engines) == 0 {
		return false
	}
	if o.firstAt.IsZero() {
		o.firstAt = now
	}
	if !o.planned {
		if now.Sub(o.newAt) < settleTime && now.Sub(o.firstAt) < settleMost {
			return false
		}
		o.planned = true
		if anyHolds(engines) {
			o.plan = Extend(e, nil, engines)
		} else {
			o.plan = New(e, engines)
		}
		return true
	}
	next := Extend(e, o.plan, engines)
	if maps.Equal(next, o.plan) {
		return false
	}
	o.plan = next
	return true
}

func anyHolds(engines []Engine) bool {
	for _, engine := range engines {
		if !engine.Holds.Empty() {
			return true
		}
	}
	return false
}

// Orders returns the orders to give now. While any engine serves, no more loads
// run at once than the weight store carries at full speed.
func (o *Orderer) Orders(e *savoryrouting.Engine, servers []savoryroster.Server, now time.Time) []Order {
	loading, serving := 0, false
	for _, s := range servers {
		p, ok := o.pending[s.ID]
		waits := ok && p.born.Equal(s.Born) && s.Holds != o.plan[s.ID] && now.Sub(p.at) < orderPause
		if waits || s.Busy {
			loading++
		}
		serving = serving || !s.Holds.Empty()
	}
	var orders []Order
	for _, s := range servers {
		want, ok := o.plan[s.ID]
		if !ok || want.Empty() || s.Holds == want || s.Leaving || s.Busy {
			continue
		}
		p, ok := o.pending[s.ID]
		if ok && p.born.Equal(s.Born) && now.Sub(p.at) < orderPause {
			continue
		}
		if serving && e.LoadsAtOnce > 0 && loading >= e.LoadsAtOnce {
			continue
		}
		loading++
		o.pending[s.ID] = pendingOrder{born: s.Born, at: now}
		orders = append(orders, Order{Server: s, Layers: want})
	}
	return orders
}
