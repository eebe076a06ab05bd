package savoryorder

// This file defines Planner, which compares engines with the configuration.

import (
	"cmp"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// statusTTL is the greatest age of a status on which an order is based.
	statusTTL = 5 * time.Second
	// orderDelay is the base of the delay before an order that an engine did not follow
	// is repeated. The delay doubles with each order given, up to maxOrderDelay.
	orderDelay    = 2 * time.Second
	maxOrderDelay = time.Minute
	// loadingWindow is how long an engine counts as loading after an order even if its
	// status does not report it yet.
	loadingWindow = 5 * time.Second
)

// Order is an order to an engine to hold the state that the configuration wants.
type Order struct {
	Server *savoryworld.BackendServer
	Wanted savoryengine.Assignment
	// Holds is the state that the engine reported.
	Holds savoryengine.Assignment
	// Try counts the orders of the same state to the engine, from 1.
	Try int
}

// Planner decides on orders. Its exported fields are set before its first use; it is
// not safe for concurrent use.
type Planner struct {
	// MaxLoading bounds the number of engines that load weights at a time, since the
	// weight store's rate is limited.
	MaxLoading int

	engines map[string]*engineState
	// statusRounds counts the calls of SelectForStatus.
	statusRounds int
}

type engineState struct {
	status    savoryengine.Status
	statusAt  time.Time
	ordered   savoryengine.Assignment
	orderedAt time.Time
	tries     int
	// statusRound is the value of Planner.statusRounds when the engine's status was last
	// selected.
	statusRound int
}

// WantedOf returns the state that the configuration wants of an engine.
func WantedOf(s *savoryworld.BackendServer) savoryengine.Assignment {
	return savoryengine.Assignment{Model: s.Model, Version: s.Version, Adapter: s.Adapter, Layers: s.Layers}
}

// Observe records the status of an engine, read at now.
func (p *Planner) Observe(server string, status savoryengine.Status, now time.Time) {
	e := p.engine(server)
	e.status = status
	e.statusAt = now
}

// SelectForStatus returns up to n engines whose status is to be read now: first the
// engines whose last status differs from the configuration, then those whose status
// is oldest.
func (p *Planner) SelectForStatus(servers []savoryworld.BackendServer, n int) []*savoryworld.BackendServer {
	var engines []*savoryworld.BackendServer
	for i := range servers {
		if servers[i].IsEngine() {
			engines = append(engines, &servers[i])
		}
	}
	slices.SortStableFunc(engines, func(a, b *savoryworld.BackendServer) int {
		return cmp.Or(p.statusRank(a)-p.statusRank(b), p.engine(a.Name).statusRound-p.engine(b.Name).statusRound, cmp.Compare(a.Name, b.Name))
	})
	engines = engines[:min(n, len(engines))]
	p.statusRounds++
	for _, server := range engines {
		p.engine(server.Name).statusRound = p.statusRounds
	}
	return engines
}

// statusRank returns 0 for an engine whose last status differs from the
// configuration and 1 for the others.
func (p *Planner) statusRank(server *savoryworld.BackendServer) int {
	e := p.engine(server.Name)
	if !e.statusAt.IsZero() && e.status.Holds != WantedOf(server) {
		return 0
	}
	return 1
}

// Plan returns the orders to give now, so that at most MaxLoading engines load.
// Engines get no order if their status is too old or if they load or leave.
func (p *Planner) Plan(servers []savoryworld.BackendServer, now time.Time) []Order {
	available := p.MaxLoading - p.loading(now)
	var orders []Order
	for _, i := range byName(servers) {
		server := &servers[i]
		if available <= 0 {
			break
		}
		if !server.IsEngine() || server.Leaving || !p.due(server, now) {
			continue
		}
		e := p.engine(server.Name)
		wanted := WantedOf(server)
		if e.ordered != wanted {
			e.ordered, e.tries = wanted, 0
		}
		e.tries++
		e.orderedAt = now
		orders = append(orders, Order{Server: server, Wanted: wanted, Holds: e.status.Holds, Try: e.tries})
		available--
	}
	return orders
}

// due reports whether the engine differs from the configuration and may be given an
// order now.
func (p *Planner) due(server *savoryworld.BackendServer, now time.Time) bool {
	e := p.engine(server.Name)
	if e.statusAt.IsZero() || now.Sub(e.statusAt) > statusTTL || e.status.Loading || e.status.Leaving {
		return false
	}
	wanted := WantedOf(server)
	if e.status.Holds == wanted {
		return false
	}
	if e.ordered != wanted {
		return true
	}
	delay := min(orderDelay<<min(e.tries, 10), maxOrderDelay)
	return now.Sub(e.orderedAt) >= delay
}

// loading counts the engines that load weights.
func (p *Planner) loading(now time.Time) int {
	n := 0
	for _, e := range p.engines {
		recentlyOrdered := !e.orderedAt.IsZero() && now.Sub(e.orderedAt) < loadingWindow && e.status.Holds != e.ordered
		if e.status.Loading || recentlyOrdered {
			n++
		}
	}
	return n
}

func (p *Planner) engine(server string) *engineState {
	if p.engines == nil {
		p.engines = make(map[string]*engineState)
	}
	e := p.engines[server]
	if e == nil {
		e = new(engineState)
		p.engines[server] = e
	}
	return e
}

// byName returns the indexes of servers in the order of their names.
func byName(servers []savoryworld.BackendServer) []int {
	order := make([]int, len(servers))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(servers[a].Name, servers[b].Name) })
	return order
}
