package savorylab

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The limits for the 95th percentiles come from the target: 95 of 100 first tokens
// within 0.77 s, and 72 ms between tokens. They equal the latency objectives of the
// pipeline in Lab.document.
const (
	maxFirstToken    = 770 * time.Millisecond
	maxBetweenTokens = 72 * time.Millisecond
)

func newLab(seed uint64, policy Policy, load float64) *Lab {
	return &Lab{
		Seed: seed, Policy: policy, OfferedLoad: load, Entries: 7, EnginesPerStage: 10,
		WarmUp: 5 * time.Second, MeasuredTime: 8 * time.Second, PromptTokens: 160, AnswerTokens: 80,
	}
}

// The router's policy must meet the latency objectives and have more throughput
// and goodput than each baseline policy, below and above the capacity. A wrong
// time estimate sends requests to slow accelerators, slow links or long queues.
func TestEstimateBeatsBaselines(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		for _, seed := range []uint64{1, 2} {
			t.Run(fmt.Sprintf("load %.2f seed %d", load, seed), func(t *testing.T) {
				is := is.New(t)
				estimate := newLab(seed, Estimate, load).Run()
				is.True(estimate.FirstToken95 <= maxFirstToken)
				is.True(estimate.BetweenTokens95 <= maxBetweenTokens)
				for _, policy := range Policies()[1:] {
					baseline := newLab(seed, policy, load).Run()
					is.True(estimate.Goodput > baseline.Goodput)
					is.True(estimate.Throughput > baseline.Throughput)
				}
			})
		}
	}
}

// Load above the capacity must be refused. If it were queued, all answers would
// miss the latency objectives, and the goodput would fall below that of a load
// just under the capacity.
func TestOverloadDoesNotLowerGoodput(t *testing.T) {
	is := is.New(t)
	nearCapacity := newLab(1, Estimate, 0.95).Run()
	overloaded := newLab(1, Estimate, 1.2).Run()
	is.True(overloaded.Goodput >= nearCapacity.Goodput)
	is.True(overloaded.RefusedFraction > 0)
}

// A large customer that sends far more requests than the engines can run must
// not raise the time to the first token of small customers above maxFirstToken,
// and fewer than 2 % of their requests may be refused. Without an admission
// fraction per customer, the requests of the large customer would fill the
// queues for all customers.
func TestLargeCustomerDoesNotHarmSmall(t *testing.T) {
	is := is.New(t)
	lab := newLab(1, Estimate, 2)
	lab.LargeFraction = 0.85
	r := lab.Run()
	is.True(r.SmallFirstToken95 <= maxFirstToken)
	is.True(r.SmallRefusedFraction < 0.02)
	is.True(r.RefusedFraction > 0.2)
}

// Two runs with one seed must have equal results. Iteration over a map or an
// unseeded random source would make them differ.
func TestRunRepeatsBySeed(t *testing.T) {
	is := is.New(t)
	first := newLab(7, Estimate, 0.8).Run()
	second := newLab(7, Estimate, 0.8).Run()
	is.Equal(first, second)
}
