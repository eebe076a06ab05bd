package savorynotice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is a service whose callers spread over entries and whose servers state limits, in
// virtual time. Entries exchange what they know with a delay.
type fleet struct {
	rand    *rand.Rand
	now     time.Time
	entries []*fleetEntry
	servers map[string]*fleetServer
	// maxWait is how long a request waits for a server.
	maxWait  time.Duration
	messages []fleetMessage
	// responses are those that are on their way.
	responses []fleetResponse
	nextSync  time.Time
	started   int
}

type fleetEntry struct {
	board *Board
	// rate is the rate of its callers' requests per second.
	rate float64
	// heard holds the last demand of each other entry, and alive when it was received.
	heard map[string]float64
	alive map[string]time.Time
	// pending are the requests that wait for their turn, as (time, server).
	pending []fleetSend
}

type fleetSend struct {
	at     time.Time
	server string
}

type fleetServer struct {
	limit float64
	// arrivals are the times of its requests.
	arrivals []time.Time
}

type fleetMessage struct {
	at       time.Time
	from, to *fleetEntry
	states   []State
	demand   float64
}

type fleetResponse struct {
	at, sentAt time.Time
	to         *fleetEntry
	server     string
	limit      float64
}

const (
	fleetStep    = 2 * time.Millisecond
	fleetSync    = 250 * time.Millisecond
	fleetDelay   = 300 * time.Millisecond
	fleetPeerTTL = 2600 * time.Millisecond
	responseTime = 50 * time.Millisecond
)

func newFleet(seed uint64, rates []float64, limits map[string]float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), now: begin, servers: make(map[string]*fleetServer), maxWait: 500 * time.Millisecond}
	for _, r := range rates {
		f.start(r)
	}
	for id, l := range limits {
		f.servers[id] = &fleetServer{limit: l}
	}
	return f
}

// start adds an entry whose callers send requests at a rate.
func (f *fleet) start(rate float64) {
	f.started++
	e := &fleetEntry{board: &Board{Entry: fmt.Sprint("e", f.started)}, rate: rate, heard: make(map[string]float64), alive: make(map[string]time.Time)}
	f.entries = append(f.entries, e)
}

// run advances the time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		f.exchange()
		for _, e := range f.entries {
			for n := f.poisson(e.rate * fleetStep.Seconds()); n > 0; n-- {
				f.request(e)
			}
			f.sendDue(e)
		}
	}
}

func (f *fleet) poisson(mean float64) int {
	n, p := 0, f.rand.Float64()
	for term := math.Exp(-mean); p > term; n++ {
		p -= term
		term *= mean / float64(n+1)
	}
	return n
}

// request chooses the server that takes a request first, if any does within maxWait.
func (f *fleet) request(e *fleetEntry) {
	e.board.RecordRequest("app", f.now)
	best, delay := "", f.maxWait
	for _, id := range f.ids() {
		if d, ok := e.board.Delay("app", id, f.now); ok && (d < delay || d == 0 && delay == 0 && f.rand.IntN(2) == 0) {
			best, delay = id, d
		}
	}
	if best != "" {
		e.board.Reserve(best)
		e.pending = append(e.pending, fleetSend{at: f.now.Add(delay), server: best})
	}
}

func (f *fleet) ids() []string {
	var ids []string
	for id := range f.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	f.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

func (f *fleet) sendDue(e *fleetEntry) {
	e.pending = slices.DeleteFunc(e.pending, func(s fleetSend) bool {
		if s.at.After(f.now) {
			return false
		}
		server := f.servers[s.server]
		server.arrivals = append(server.arrivals, f.now)
		f.responses = append(f.responses, fleetResponse{at: f.now.Add(responseTime), sentAt: f.now, to: e, server: s.server, limit: server.limit})
		return true
	})
}

// exchange delivers the responses that are due, lets all entries send what they know to the others, and delivers what is due.
func (f *fleet) exchange() {
	for len(f.responses) > 0 && !f.responses[0].at.After(f.now) {
		r := f.responses[0]
		f.responses = f.responses[1:]
		r.to.board.Observe(r.server, begin, r.sentAt, f.now, Notice{Limit: r.limit})
	}
	for len(f.messages) > 0 && !f.messages[0].at.After(f.now) {
		m := f.messages[0]
		f.messages = f.messages[1:]
		m.to.heard[m.from.board.Entry], m.to.alive[m.from.board.Entry] = m.demand, f.now
		m.to.board.Merge(m.states, f.now)
	}
	if f.now.Before(f.nextSync) {
		return
	}
	f.nextSync = f.now.Add(fleetSync)
	for _, from := range f.entries {
		demand := 0.0
		for _, d := range from.board.Demands(f.now) {
			demand = d.Rate
		}
		for _, to := range f.entries {
			if to != from {
				f.messages = append(f.messages, fleetMessage{at: f.now.Add(fleetDelay), from: from, to: to, states: from.board.States(f.now), demand: demand})
			}
		}
	}
	for _, e := range f.entries {
		var names []string
		sum := 0.0
		for name, at := range e.alive {
			if f.now.Sub(at) < fleetPeerTTL {
				names = append(names, name)
				sum += e.heard[name]
			}
		}
		e.board.SetEntries(names)
		e.board.SetPeerDemands(map[string]float64{"app": sum})
	}
}

// most returns the largest number of requests that a server got in any four seconds since a
// time, and count the number since then.
func (s *fleetServer) most(since time.Time) (most, count int) {
	first := 0
	for i, at := range s.arrivals {
		for s.arrivals[first].Before(since) && first < i || at.Sub(s.arrivals[first]) >= toleranceWindow {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
			count++
		}
	}
	return most, count
}

// Guards against a fleet that sends a server more than it says it takes, and against one
// that leaves more than a tenth of the limits unused while callers are refused. The limits
// begin with the traffic; the first three seconds are for the entries to learn of them.
func TestFleetKeepsLimits(t *testing.T) {
	const settle, measured = 3 * time.Second, 30 * time.Second
	even := func(n int, rate float64) []float64 { return slices.Repeat([]float64{rate}, n) }
	for _, c := range []struct {
		name   string
		rates  []float64
		limits map[string]float64
		// disturb changes the fleet after ten and twenty seconds of the measured time.
		disturb func(f *fleet, n int)
		// minUsed is the least fraction of the limits that is used.
		minUsed float64
	}{
		{"even, far above the limits", even(6, 15), map[string]float64{"a": 15.8, "b": 8.7}, nil, 0.9},
		{"even, half above the limits", even(6, 6), map[string]float64{"a": 15.8, "b": 8.7}, nil, 0.9},
		{"one entry has most of the callers", []float64{60, 5, 5, 2, 2, 1}, map[string]float64{"a": 20, "b": 9}, nil, 0.9},
		{"two of six entries have all callers", []float64{30, 30, 0, 0, 0, 0}, map[string]float64{"a": 16, "b": 9}, nil, 0.9},
		{"low limits", even(6, 4), map[string]float64{"a": 2.5, "b": 1.3, "c": 3.4}, nil, 0.9},
		{"one server without a limit", even(6, 15), map[string]float64{"a": 4, "b": 0}, nil, 0},
		{"large fleet", even(60, 2), map[string]float64{"a": 2.5, "b": 12}, nil, 0.9},
		{"entries come and go", even(6, 15), map[string]float64{"a": 15.8, "b": 8.7}, func(f *fleet, n int) {
			if n == 0 {
				f.entries = f.entries[1:]
				return
			}
			f.start(15)
			f.start(15)
		}, 0.8},
		{"callers move to one entry", even(6, 15), map[string]float64{"a": 15.8, "b": 8.7}, func(f *fleet, n int) {
			for i, e := range f.entries {
				e.rate = 0
				if i == n {
					e.rate = 90
				}
			}
		}, 0.8},
		{"limits that end and come back", even(6, 15), map[string]float64{"a": 15.8, "b": 8.7}, func(f *fleet, n int) {
			f.servers["b"].limit = 20 * float64(n)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				f := newFleet(seed, c.rates, c.limits)
				f.run(settle)
				since := f.now
				for n := range 3 {
					f.run(measured / 3)
					if c.disturb != nil && n < 2 {
						c.disturb(f, n)
					}
				}
				sum, allowed := 0.0, 0.0
				for id, s := range f.servers {
					limit := c.limits[id]
					if s.limit != limit || limit == 0 {
						continue
					}
					most, count := s.most(since)
					if bound := toleranceFactor*limit*toleranceWindow.Seconds() + toleranceRequests; float64(most) > bound {
						t.Errorf("seed %d: server %s with a limit of %g got %d requests in four seconds, more than %g", seed, id, limit, most, bound)
					}
					sum += float64(count)
					allowed += limit * measured.Seconds()
				}
				if sum < c.minUsed*allowed {
					t.Errorf("seed %d: %g requests sent of %g that the limits allow", seed, sum, allowed)
				}
			}
		})
	}
}
