package savorylab

// This file defines the policies that are compared.

import (
	"math/rand/v2"
	"time"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorylimit"
)

// Policy names a way to choose chains.
type Policy string

// The policies.
const (
	// Estimate is the product's own policy.
	Estimate Policy = "estimate"
	// Random picks an engine of each stage at random.
	Random Policy = "random"
	// RoundRobin picks the engines of each stage in turn.
	RoundRobin Policy = "round robin"
	// FewestOutstanding picks the engine of each stage with the fewest requests of the
	// same entry in flight.
	FewestOutstanding Policy = "fewest outstanding"
)

// Policies returns all policies, the product's own first.
func Policies() []Policy { return []Policy{Estimate, Random, RoundRobin, FewestOutstanding} }

// chooser is the state of a policy at one entry.
type chooser struct {
	policy    Policy
	table     *savorychain.Table
	stages    [][]*engine
	rand      *rand.Rand
	nextIndex []int
	inFlight  map[string]int

	fairness savorylimit.Fairness
}

func newChooser(policy Policy, name, zone string, snapshot *savoryconfig.Snapshot, stages [][]*engine, seed uint64) *chooser {
	source := rand.New(rand.NewPCG(seed, 1))
	c := &chooser{policy: policy, stages: stages, rand: source, nextIndex: make([]int, len(stages)), inFlight: make(map[string]int)}
	for i := range c.nextIndex {
		c.nextIndex[i] = source.IntN(len(stages[i]))
	}
	if policy == Estimate {
		c.table = &savorychain.Table{
			Entry: name, Zone: zone, Rand: source,
			SampleSize: savorychain.DefaultSampleSize, SubsetSize: savorychain.DefaultSubsetSize,
		}
		c.table.SetSnapshot(snapshot)
	}
	return c
}

// choose returns a chain, or an error if the request is refused.
func (c *chooser) choose(req savorychain.Request, now time.Time) (savorychain.Choice, error) {
	if c.policy == Estimate {
		return c.table.Choose(req, now)
	}
	var choice savorychain.Choice
	for i, members := range c.stages {
		server := c.pick(i, members).server
		choice.Chain = append(choice.Chain, savoryengine.Hop{Server: server.Name, Address: server.Address, Layers: server.Layers})
	}
	return choice, nil
}

func (c *chooser) pick(stage int, members []*engine) *engine {
	switch c.policy {
	case RoundRobin:
		c.nextIndex[stage]++
		return members[c.nextIndex[stage]%len(members)]
	case FewestOutstanding:
		start := c.rand.IntN(len(members))
		best := members[start]
		for i := range members {
			e := members[(start+i)%len(members)]
			if c.inFlight[e.server.Name] < c.inFlight[best.server.Name] {
				best = e
			}
		}
		return best
	default:
		return members[c.rand.IntN(len(members))]
	}
}

func (c *chooser) recordSent(choice savorychain.Choice, tokens int, now time.Time) *savorychain.Flight {
	if c.table != nil {
		return c.table.RecordSent(choice, tokens, now)
	}
	for _, hop := range choice.Chain {
		c.inFlight[hop.Server]++
	}
	return &savorychain.Flight{Chain: choice.Chain}
}

func (c *chooser) recordPromptDone(f *savorychain.Flight, prefix uint64, took, bound time.Duration) {
	if c.table != nil {
		c.table.RecordPromptDone(f)
		c.table.RecordPrefix(prefix, f.Chain)
		c.table.RecordFirstToken(took, bound)
	}
}

func (c *chooser) recordFinished(f *savorychain.Flight) {
	if c.table != nil {
		c.table.RecordFinished(f)
		return
	}
	for _, hop := range f.Chain {
		c.inFlight[hop.Server]--
	}
}

func (c *chooser) recordLoad(load savoryengine.Load, now time.Time) {
	if c.table != nil {
		c.table.RecordLoad(load, now)
	}
}
