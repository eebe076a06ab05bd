package savorylimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryworld"
)

// simulation runs several limiters in virtual time. Requests arrive at entries;
// announcements arrive after a delay, unless a partition separates the entries.
type simulation struct {
	limiters []*Limiter
	now      time.Time
	delay    time.Duration
	// partition is the partition of each entry; announcements do not cross
	// partitions.
	partition []int
	messages  []announcement
}

type announcement struct {
	deliverAt time.Time
	from      int
	demands   []Demand
}

const (
	simulationStep   = 5 * time.Millisecond
	contractRate     = 100
	announceInterval = time.Second
	// simulatedEntries is the number of entries, simulatedTime the duration of a
	// run.
	simulatedEntries = 7
	simulatedTime    = 10 * time.Second
)

var contract = &savoryworld.Customer{Name: "c", Contract: savoryworld.Contract{RequestsPerSecond: contractRate}}

func newSimulation() *simulation {
	l := &simulation{now: time.Unix(1000, 0), delay: 200 * time.Millisecond, partition: make([]int, simulatedEntries)}
	for i := range simulatedEntries {
		l.limiters = append(l.limiters, &Limiter{Entry: fmt.Sprint("e", i)})
	}
	l.listAll()
	return l
}

func (l *simulation) listAll() {
	var names []string
	for _, limiter := range l.limiters {
		names = append(names, limiter.Entry)
	}
	for _, limiter := range l.limiters {
		limiter.SetEntries(names)
	}
}

// run sends rate(entry) requests per second to each entry for simulatedTime and
// returns the number of admitted requests.
func (l *simulation) run(rate func(entry int) float64) int {
	admitted := 0
	due := make([]float64, len(l.limiters))
	end := l.now.Add(simulatedTime)
	for l.now.Before(end) {
		l.now = l.now.Add(simulationStep)
		l.exchange()
		for i, limiter := range l.limiters {
			due[i] += rate(i) * simulationStep.Seconds()
			for ; due[i] >= 1; due[i]-- {
				if limiter.Admit(contract, 0, l.now) == nil {
					admitted++
					limiter.Done(contract.Name, 0)
				}
			}
		}
	}
	return admitted
}

// exchange sends announcements every announceInterval and delivers those that
// are due.
func (l *simulation) exchange() {
	if l.now.UnixNano()%int64(announceInterval) == 0 {
		for i, limiter := range l.limiters {
			l.messages = append(l.messages, announcement{deliverAt: l.now.Add(l.delay), from: i, demands: limiter.AnnounceDemands(l.now)})
		}
	}
	for len(l.messages) > 0 && !l.messages[0].deliverAt.After(l.now) {
		m := l.messages[0]
		l.messages = l.messages[1:]
		for i, limiter := range l.limiters {
			if i != m.from && l.partition[i] == l.partition[m.from] {
				limiter.SetPeerDemands(l.limiters[m.from].Entry, m.demands)
			}
		}
	}
}

// Guards the bounds on the traffic that all entries admit together, as stated in
// docs/DESIGN.md. In steady state it is at most the contract, and at least nine
// tenths of the contract if there is enough demand. While demand moves, entries
// are partitioned or a new entry has no view of the fleet, it is at most one and
// a half contracts over ten seconds, and at least seven tenths of the contract
// after demand has moved.
func TestContractOverEntries(t *testing.T) {
	full := contractRate * simulatedTime.Seconds()
	even := func(int) float64 { return 3 * contractRate / simulatedEntries }
	onlyFirst := func(i int) float64 {
		if i == 0 {
			return 3 * contractRate
		}
		return 0
	}
	onlySecond := func(i int) float64 {
		if i == 1 {
			return 3 * contractRate
		}
		return 0
	}
	t.Run("even", func(t *testing.T) {
		is := is.New(t)
		l := newSimulation()
		l.run(even)
		got := float64(l.run(even))
		is.True(got <= 1.02*full)
		is.True(got >= 0.9*full)
	})
	t.Run("all on one entry", func(t *testing.T) {
		is := is.New(t)
		l := newSimulation()
		l.run(onlyFirst)
		got := float64(l.run(onlyFirst))
		is.True(got <= 1.02*full)
		is.True(got >= 0.9*full)
	})
	t.Run("moving", func(t *testing.T) {
		is := is.New(t)
		l := newSimulation()
		l.run(onlyFirst)
		got := float64(l.run(onlySecond))
		is.True(got <= 1.5*full)
		is.True(got >= 0.7*full)
	})
	t.Run("no demand before", func(t *testing.T) {
		is := is.New(t)
		l := newSimulation()
		got := float64(l.run(even))
		is.True(got <= 1.5*full)
	})
	t.Run("network partition", func(t *testing.T) {
		is := is.New(t)
		l := newSimulation()
		l.run(even)
		for i := range 3 {
			l.partition[i] = 1
		}
		got := float64(l.run(even))
		is.True(got <= 1.5*full)
		is.True(got >= 0.9*full)
	})
	t.Run("an entry fails", func(t *testing.T) {
		is := is.New(t)
		l := newSimulation()
		l.run(even)
		l.limiters = l.limiters[1:]
		l.partition = l.partition[1:]
		l.messages = nil
		l.listAll()
		l.run(even)
		got := float64(l.run(func(int) float64 { return 3 * contractRate / (simulatedEntries - 1) }))
		is.True(got <= 1.02*full)
		is.True(got >= 0.9*full)
	})
	t.Run("a new entry without peers", func(t *testing.T) {
		is := is.New(t)
		l := newSimulation()
		l.run(even)
		l.limiters = append(l.limiters, &Limiter{Entry: "new"})
		l.partition = append(l.partition, 0)
		l.limiters[simulatedEntries].SetEntries([]string{"new"})
		got := float64(l.run(even))
		is.True(got <= 1.5*full)
	})
}

// Guards against admitting more than the contract in a large fleet. Demand is
// not exchanged there, so each entry must use an even share.
func TestLargeFleetDividesEvenly(t *testing.T) {
	is := is.New(t)
	l := &Limiter{Entry: "e0"}
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("e", i))
	}
	l.SetEntries(names)
	now := time.Unix(1000, 0)
	for range 50 {
		_ = l.Admit(contract, 0, now)
	}
	is.Equal(len(l.AnnounceDemands(now)), 0)
	is.Equal(l.Share("c", now), 0.01)
}

// Guards against more requests in flight than the contract's concurrency, and
// against a finished request that still counts.
func TestConcurrencyIsBounded(t *testing.T) {
	is := is.New(t)
	l := &Limiter{Entry: "e"}
	c := &savoryworld.Customer{Name: "c", Contract: savoryworld.Contract{Concurrency: 2}}
	now := time.Unix(1, 0)
	is.NoErr(l.Admit(c, 0, now))
	is.NoErr(l.Admit(c, 0, now))
	is.True(l.Admit(c, 0, now) != nil)
	l.Done("c", 0)
	is.NoErr(l.Admit(c, 0, now))
}

// Guards against retries that multiply the load: with a retry wanted after each
// request, only the budget may be used.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b RetryBudget
	now := time.Unix(1, 0)
	retries := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.RecordRequest(now)
		if b.AllowRetry(now) {
			retries++
		}
	}
	// The bound is a tenth of the requests, two retries per second for ten
	// seconds, and the initial budget.
	is.True(retries <= 10_000/10+20+maxRetries)
	is.True(retries >= 1000)
}

// Guards against refusing a customer within its fair share because another
// customer has many requests in flight, and against counts that remain after
// the requests end.
func TestFairness(t *testing.T) {
	is := is.New(t)
	var f Fairness
	is.Equal(f.AdmissionFraction("a"), 1.0)
	for range 10 {
		f.Begin("large", 1)
	}
	is.Equal(f.AdmissionFraction("large"), 1.0) // the only customer has the whole fair share
	f.Begin("small", 1)
	is.Equal(f.AdmissionFraction("small"), 1.0)
	is.True(f.AdmissionFraction("large") < 1)
	for range 10 {
		f.End("large")
	}
	f.End("small")
	is.Equal(f.AdmissionFraction("large"), 1.0)
}

// Guards against an entry that has just started and refuses the second request of a customer
// whose requests go to another entry as well.
func TestStartedEntryAdmitsFirstRequests(t *testing.T) {
	is := is.New(t)
	l := &Limiter{Entry: "e0"}
	l.SetEntries([]string{"e0", "e1", "e2"})
	l.SetPeerDemands("e1", []Demand{{Customer: contract.Name, Rate: 0.5}})
	low := &savoryworld.Customer{Name: contract.Name, Contract: savoryworld.Contract{RequestsPerSecond: 10}}
	now := time.Unix(1000, 0)
	for range 3 {
		is.NoErr(l.Admit(low, 0, now))
		now = now.Add(100 * time.Millisecond)
	}
}
