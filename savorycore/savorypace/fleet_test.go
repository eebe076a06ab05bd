package savorypace

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet is a plain service whose callers spread over entries, in virtual time. Each entry chooses
// the server with the fewest requests of its own, of those within their allowance.
type fleet struct {
	rand    *rand.Rand
	now     time.Time
	tables  []*Table
	servers []*fleetServer
	queue   events
	// rate is the number of requests per second of one entry, by entry.
	rate func(entry int) float64
	// exchange is the interval of the exchanges, 0 for none.
	exchange time.Duration
	// unbounded ignores the allowances.
	unbounded bool
}

type fleetServer struct {
	Server
	// answer is the time of an answer, coldFactor multiplies it for the first coldAnswers.
	answer      time.Duration
	coldFactor  float64
	coldAnswers int
	inFlight    int
	peak        int
	served      int
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(entries, servers int, exchange time.Duration, rate func(int) float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(1, 2)), now: begin, rate: rate, exchange: exchange}
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("e", i))
	}
	for i := range entries {
		f.tables = append(f.tables, &Table{Entry: names[i], ExchangeTime: 2600 * time.Millisecond})
		f.tables[i].SetEntries(names)
		f.next(i)
	}
	for i := range servers {
		f.add(&fleetServer{Server: Server{ID: fmt.Sprint("s", i), Service: "app", Slots: 8}, answer: 50 * time.Millisecond})
	}
	f.list()
	if exchange > 0 {
		f.after(exchange, f.exchangeReports)
	}
	return f
}

// add adds a server that list lists.
func (f *fleet) add(s *fleetServer) *fleetServer {
	f.servers = append(f.servers, s)
	return s
}

func (f *fleet) list() {
	var listed []Server
	for _, s := range f.servers {
		listed = append(listed, s.Server)
	}
	for _, t := range f.tables {
		t.SetServers(listed)
	}
}

func (f *fleet) after(d time.Duration, run func()) { heap.Push(&f.queue, event{f.now.Add(d), run}) }

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); len(f.queue) > 0 && f.queue[0].at.Before(end); {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
}

// next schedules the next request of an entry.
func (f *fleet) next(entry int) {
	if r := f.rate(entry); r > 0 {
		f.after(time.Duration(f.rand.ExpFloat64()/r*float64(time.Second)), func() { f.request(entry) })
	}
}

func (f *fleet) request(entry int) {
	defer f.next(entry)
	t := f.tables[entry]
	var best *fleetServer
	cost := math.Inf(1)
	for _, s := range f.servers {
		c := float64(t.servers[s.ID].inFlight)/float64(s.Slots) + 0.01*f.rand.Float64()
		switch {
		case f.unbounded:
		case t.Beyond(s.ID, f.now):
			c++
		case t.Probe(s.ID, f.now):
			c -= 0.02
		}
		if c < cost {
			best, cost = s, c
		}
	}
	t.Started(best.ID, f.now)
	t.Chosen("app", f.now)
	best.inFlight++
	best.peak = max(best.peak, best.inFlight)
	took := float64(best.answer) * max(1, float64(best.inFlight)/float64(best.Slots)) * (0.8 + 0.4*f.rand.Float64())
	if best.coldAnswers > 0 {
		took *= best.coldFactor
	}
	f.after(time.Duration(took), func() {
		best.inFlight--
		best.served++
		best.coldAnswers--
		t.Answered(Answer{Service: "app", Size: 1, Took: time.Duration(took)}, []string{best.ID}, f.now)
		t.Ended(best.ID)
	})
}

// exchangeReports passes the sums of the others to each entry.
func (f *fleet) exchangeReports() {
	f.after(f.exchange, f.exchangeReports)
	sums, demand := make(map[string]Report), 0.0
	reports := make([][]Report, len(f.tables))
	for i, t := range f.tables {
		reports[i] = t.Reports(10, f.now)
		demand += f.rate(i)
		for _, r := range reports[i] {
			s := sums[r.Server]
			sums[r.Server] = Report{r.Server, s.Requests + r.Requests, s.Unproven + r.Unproven, s.Allowance + r.Allowance}
		}
	}
	for i, t := range f.tables {
		var others []Report
		for _, s := range sums {
			others = append(others, s)
		}
		for _, r := range reports[i] {
			others = append(others, Report{r.Server, -r.Requests, -r.Unproven, -r.Allowance})
		}
		t.SetDemandShares(func(string) float64 { return f.rate(i) / demand })
		t.SetPeerReports(others, f.now)
	}
}

// share returns a server's fraction of the fair share of the answers in d from now on.
func (f *fleet) share(s *fleetServer, d time.Duration) float64 {
	before, all := s.served, 0
	for _, o := range f.servers {
		all -= o.served
	}
	f.run(d)
	for _, o := range f.servers {
		all += o.served
	}
	return float64(s.served-before) / (float64(all) / float64(len(f.servers)))
}

// rounds returns the number of exchanges until a server gets nine tenths of its fair share.
func (f *fleet) rounds(s *fleetServer) int {
	for n := range 100 {
		if f.share(s, cmp.Or(f.exchange, 250*time.Millisecond)) >= 0.9 {
			return n
		}
	}
	return 100
}

const round = 250 * time.Millisecond

// Pattern: 86 and 860 entries at one server that is 40 times as slow as the others for its first 20
// answers, because it is new or has failed. Guards against entries that each begin gently and
// together flood it.
func TestManyEntriesAtOneColdServer(t *testing.T) {
	for _, c := range []struct {
		entries int
		failed  bool
	}{{86, false}, {860, false}, {86, true}, {860, true}} {
		is := is.New(t)
		start := func(unbounded bool) (*fleet, *fleetServer, int) {
			f := newFleet(c.entries, 10, round, func(int) float64 { return 800 / float64(c.entries) })
			f.unbounded = unbounded
			f.run(5 * time.Second)
			cold := f.servers[0]
			if c.failed {
				for _, t := range f.tables {
					t.Failed(cold.ID, f.now)
				}
			} else {
				cold = f.add(&fleetServer{Server: Server{ID: "new", Service: "app", Slots: 8}, answer: 50 * time.Millisecond})
				f.list()
			}
			cold.peak, cold.coldFactor, cold.coldAnswers = cold.inFlight, 40, 20
			for cold.coldAnswers > 0 {
				f.run(round)
			}
			return f, cold, cold.peak
		}
		_, cold, flooded := start(true)
		is.True(flooded > 4*cold.Slots)
		f, cold, peak := start(false)
		is.True(peak <= cold.Slots)
		n := f.rounds(cold)
		t.Log(c, "at most", peak, "in flight while cold,", flooded, "without a bound; fair share", n, "rounds later, at", f.now.Sub(begin))
		is.True(n <= 90)
	}
}

// Pattern: a new server that is as fast as the others. Guards against one that stays idle: it
// reaches nine tenths of its fair share as fast as its answers and the exchanges of the entries
// allow, which is a doubling in each round.
func TestFastNewServerIsNotIdle(t *testing.T) {
	for _, c := range []struct {
		name     string
		entries  int
		exchange time.Duration
		active   int
		rounds   int
	}{
		{"one entry", 1, round, 1, 2},
		{"few entries", 6, round, 6, 4},
		{"86 entries", 86, round, 86, 12},
		{"860 entries", 860, round, 860, 34},
		{"callers at 7 of 86 entries", 86, round, 7, 40},
		{"no exchange", 86, 0, 86, 80},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.entries, 10, c.exchange, func(i int) float64 {
				if i >= c.active {
					return 0
				}
				return 800 / float64(c.active)
			})
			f.run(5 * time.Second)
			s := f.add(&fleetServer{Server: Server{ID: "new", Service: "app", Slots: 8}, answer: 50 * time.Millisecond})
			f.list()
			n := f.rounds(s)
			t.Log(c.name, "fair share after", n, "rounds, at most", s.peak, "in flight")
			is.True(n <= c.rounds)
		})
	}
}
