package savorylab

// This file defines the routing policies that the Lab compares.

import (
	"math/rand/v2"
	"time"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorylimit"
)

// Policy is the name of a method to choose chains.
type Policy string

// The policies.
const (
	// Estimate is the policy of the router, which estimates times from load
	// reports.
	Estimate Policy = "estimate"
	// Random selects a random engine of each stage.
	Random Policy = "random"
	// RoundRobin selects the engines of each stage in turn.
	RoundRobin Policy = "round robin"
	// FewestOutstanding selects the engine of each stage with the fewest requests
	// in flight from the same entry.
	FewestOutstanding Policy = "fewest outstanding"
)

// Policies returns all policies, the router's policy first.
func Policies() []Policy { return []Policy{Estimate, Random, RoundRobin, FewestOutstanding} }

// chooser is the state of a policy at one entry.
type chooser struct {
	policy Policy
	// table is used by Estimate only, and nil for the other policies.
	table  *savorychain.Table
	stages [][]*engine
	rand   *rand.Rand
	// lastIndex holds the index that RoundRobin used last, by stage. The first
	// index is random.
	lastIndex []int
	// inFlight holds the number of requests in flight from this entry, by server.
	inFlight map[string]int

	fairness savorylimit.Fairness
}

func newChooser(policy Policy, name, zone string, snapshot *savoryconfig.Snapshot, stages [][]*engine, seed uint64) *chooser {
	source := rand.New(rand.NewPCG(seed, 1))
	c := &chooser{policy: policy, stages: stages, rand: source, lastIndex: make([]int, len(stages)), inFlight: make(map[string]int)}
	for i := range c.lastIndex {
		c.lastIndex[i] = source.IntN(len(stages[i]))
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

// pick selects an engine of one stage by the baseline policies.
func (c *chooser) pick(stage int, members []*engine) *engine {
	switch c.policy {
	case RoundRobin:
		c.lastIndex[stage]++
		return members[c.lastIndex[stage]%len(members)]
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

// recordSent records that a request was sent along the chosen chain.
func (c *chooser) recordSent(choice savorychain.Choice, tokens int, now time.Time) *savorychain.Flight {
	if c.table != nil {
		return c.table.RecordSent(choice, tokens, now)
	}
	for _, hop := range choice.Chain {
		c.inFlight[hop.Server]++
	}
	return &savorychain.Flight{Chain: choice.Chain}
}

// recordPromptDone records that the first token was received after a time,
// and the objective for that time.
func (c *chooser) recordPromptDone(f *savorychain.Flight, prefix uint64, firstTokenTime, objective time.Duration) {
	if c.table != nil {
		c.table.RecordPromptDone(f)
		c.table.RecordPrefix(prefix, f.Chain)
		c.table.RecordFirstToken(firstTokenTime, objective)
	}
}

// recordFinished records the end of a request.
func (c *chooser) recordFinished(f *savorychain.Flight) {
	if c.table != nil {
		c.table.RecordFinished(f)
		return
	}
	for _, hop := range f.Chain {
		c.inFlight[hop.Server]--
	}
}

// recordLoad records the load report of an engine.
func (c *chooser) recordLoad(load savoryengine.Load, now time.Time) {
	if c.table != nil {
		c.table.RecordLoad(load, now)
	}
}
