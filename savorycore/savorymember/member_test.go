package savorymember

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryworld"
)

var start = time.Unix(1000, 0)

func entryVM(i int) savoryworld.VM {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 7081)
	return savoryworld.VM{Address: address, Zone: fmt.Sprintf("z%d", i%11), Region: "r", State: savoryworld.VMLive, Entry: true}
}

// newTable returns the table of entry i with a fixed seed.
func newTable(i int) *Table {
	vm := entryVM(i)
	return &Table{Self: Peer{Address: vm.Address, Zone: vm.Zone, Region: vm.Region}, Rand: rand.New(rand.NewPCG(uint64(i), 1))}
}

func fleet(n int) []savoryworld.VM {
	vms := make([]savoryworld.VM, n)
	for i := range vms {
		vms[i] = entryVM(i)
	}
	return vms
}

// Guards against a zone with too many or too few watchers: entries with the same
// view must agree on them, and each zone must have WatchersPerZone watchers or
// all its entries.
func TestWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "entries")
		vms := fleet(n)
		watchers := make(map[string][]string)
		for i := range n {
			table := newTable(i)
			table.SetListed(vms, start)
			for _, p := range table.Watchers(table.Self.Zone, start) {
				if table.IsWatcher(start) && p == table.Self {
					watchers[table.Self.Zone] = append(watchers[table.Self.Zone], p.Name())
				}
			}
		}
		for i := range min(n, 11) {
			zone := entryVM(i).Zone
			members := (n - i + 10) / 11
			if got := len(watchers[zone]); got != min(members, WatchersPerZone) {
				t.Fatalf("zone %s with %d entries has %d watchers", zone, members, got)
			}
		}
	})
}

// Guards against a peer that stays excluded after its link has recovered, and
// against removing a peer that still answers because the VM list lags.
func TestPeerStates(t *testing.T) {
	is := is.New(t)
	table := newTable(0)
	table.SetListed(fleet(3), start)
	is.Equal(len(table.Live(start)), 2)

	// A peer that does not answer is excluded for unreachableTTL, but it still
	// gets heartbeats, so that a recovered link is detected.
	unreachable := entryVM(1).Address
	table.RecordFailure(unreachable, start)
	is.Equal(len(table.Live(start)), 1)
	is.Equal(len(table.HeartbeatTargets(start)), 2)
	is.Equal(len(table.Live(start.Add(unreachableTTL))), 2)

	// A peer that is no longer listed stays in the table while it answers,
	// because the list lags.
	table.RecordContact(Peer{Address: unreachable, Zone: "z1"}, false, start)
	table.SetListed(fleet(1), start)
	is.Equal(len(table.Peers()), 1)
	table.SetListed(fleet(1), start.Add(2*unlistedTTL))
	is.Equal(len(table.Peers()), 0)
}

// Guards against entries that differ after they received the same marks: merging
// in any order and more than once must give the same set.
func TestMarksMergeInAnyOrder(t *testing.T) {
	mark := rapid.Custom(func(t *rapid.T) Mark {
		return Mark{
			Server:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"),
			Source:  rapid.SampledFrom([]MarkSource{FromOperator, FromServer, FromVMList}).Draw(t, "source"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
			At:      start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "at")) * time.Second),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		marks := rapid.SliceOfN(mark, 0, 12).Draw(t, "marks")
		var one, other Marks
		for _, m := range marks {
			one.Merge(m)
		}
		for _, m := range slices.Backward(marks) {
			other.Merge(m)
			other.Merge(m)
		}
		now := start.Add(5 * time.Second)
		if one.Digest(now) != other.Digest(now) {
			t.Fatalf("%v differs from %v", one.All(now), other.All(now))
		}
	})
}

// Guards against marks that never expire, and against an operator's mark that
// expires or cannot be revoked.
func TestMarksEnd(t *testing.T) {
	is := is.New(t)
	var marks Marks
	marks.Merge(Mark{Server: "a", Source: FromServer, Leaving: true, At: start})
	marks.Merge(Mark{Server: "b", Source: FromOperator, Leaving: true, At: start})
	later := start.Add(renewedMarkTTL)
	is.True(marks.Leaving("a", start))
	is.True(!marks.Leaving("a", later))
	is.True(marks.Leaving("b", later))
	is.Equal(len(marks.Expire(later)), 1)
	marks.Merge(Mark{Server: "b", Source: FromOperator, At: later})
	is.True(!marks.Leaving("b", later))
}
