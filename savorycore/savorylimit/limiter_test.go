package savorylimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryworld"
)

// simulation runs several limiters in virtual time: requests arrive at entries, and
// announcements travel with a delay unless the entries are cut apart.
type simulation struct {
	limiters []*Limiter
	now      time.Time
	delay    time.Duration
	// partition gives the partition of each entry; announcements do not cross sides.
	partition []int
	messages []announcement
}

type announcement struct {
	deliverAt      time.Time
	from    int
	demands []Demand
}

const (
	simulationStep  = 5 * time.Millisecond
	contractRate  = 100
	announceInterval = time.Second
	// simulatedEntries is the number of entries, labWindow the time of a run.
	simulatedEntries = 7
	simulatedTime  = 10 * time.Second
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

// run offers rate(entry) requests per second for labWindow and returns how many
// were admitted.
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

// exchange sends and delivers announcements.
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

// The bounds are those that docs/DESIGN.md states: in steady state at most the
// contract and at least nine tenths of it where the demand is there; while
// demand moves, entries are cut apart or a new one knows nothing, never more
// than one contract and a half over ten seconds, and at least seven tenths where
// the demand has moved.
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
	t.Run("from nothing", func(t *testing.T) {
		is := is.New(t)
		l := newSimulation()
		got := float64(l.run(even))
		is.True(got <= 1.5*full)
	})
	t.Run("cut apart", func(t *testing.T) {
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
	t.Run("a new entry knows nothing", func(t *testing.T) {
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

// In a large fleet no demand is exchanged, and all entries together keep to the
// contract whatever they see.
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
	// A tenth of the requests, two a second and what was saved at the start.
	is.True(retries <= 10_000/10+20+maxRetries)
	is.True(retries >= 1000)
}

func TestFairness(t *testing.T) {
	is := is.New(t)
	var f Fairness
	is.Equal(f.AdmissionFraction("a"), 1.0)
	for range 10 {
		f.Begin("large", 1)
	}
	is.Equal(f.AdmissionFraction("large"), 1.0) // alone, it has all
	f.Begin("small", 1)
	is.Equal(f.AdmissionFraction("small"), 1.0)
	is.True(f.AdmissionFraction("large") < 1)
	for range 10 {
		f.End("large")
	}
	f.End("small")
	is.Equal(f.AdmissionFraction("large"), 1.0)
}
