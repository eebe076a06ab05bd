package savoryfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxChangeTime is the maximum time until a change is in force at all entries, the
// target of 6 s.
const maxChangeTime = 6 * time.Second

func newFleet(n int, seed uint64) *Fleet {
	f := &Fleet{Seed: seed, Nodes: n, Zones: 11, Buckets: 1600, ListDelay: 30 * time.Second}
	f.Start()
	f.Run(5 * time.Second)
	return f
}

// A change must reach every node in time at any size of the fleet. With wrong
// gossip targets or missing heartbeats, some nodes would not receive it.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, n := range []int{1, 3, 7, 40, 200} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d nodes seed %d", n, seed), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(n, seed)
				revision := f.AcceptChange(n / 2)
				f.Run(maxChangeTime)
				_, everywhere := f.PropagationTime(revision)
				is.True(everywhere)
			})
		}
	}
}

// A change must reach every live node while the VM list still has stopped
// nodes. A tenth of the fleet and the watchers' zone stop just before the change,
// so that gossip messages to them fail.
func TestChangeSurvivesDeaths(t *testing.T) {
	is := is.New(t)
	f := newFleet(200, 1)
	f.Kill(func(index, zone int) bool { return zone == 2 || index%10 == 3 })
	revision := f.AcceptChange(0)
	f.Run(maxChangeTime)
	is.Equal(f.NotInForce(revision), 0)
}

// A change must reach every node by gossip alone if the store becomes
// unavailable at the acceptance of the change.
func TestChangeSurvivesStoreOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(200, 2)
	f.SetStoreUnavailable(true)
	revision := f.AcceptChange(5)
	f.Run(maxChangeTime)
	is.Equal(f.NotInForce(revision), 0)
}

// A change must be in force at all connected nodes during a network partition
// of an hour, and at all nodes within maxChangeTime after its end. Nodes that
// recorded only failed calls for an hour could otherwise stay without contact
// after the recovery.
func TestChangeCrossesHealedLink(t *testing.T) {
	is := is.New(t)
	f := newFleet(110, 3)
	f.SetPartitioned("region-2", true)
	revision := f.AcceptChange(0)
	f.Run(maxChangeTime)
	isolated := 0
	for i := range f.Nodes {
		if i%11 >= 8 {
			isolated++
		}
	}
	is.Equal(f.NotInForce(revision), isolated)
	f.Run(time.Hour)
	is.Equal(f.NotInForce(revision), isolated)
	f.SetPartitioned("region-2", false)
	f.Run(maxChangeTime)
	is.Equal(f.NotInForce(revision), 0)
}
