package savoryintake

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against bounds that exceed a VM, and that refuse the load of a usual deployment: a
// thousand streams and several hundred new connections on the smallest VM.
func TestBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits Limits
		field  string
		least  int
	}{
		{"smallest VM", Limits{MemoryBytes: 184 << 20, Descriptors: 4100, MaxBodyBytes: 4 << 20}, "", 1300},
		{"largest VM", Limits{MemoryBytes: 536 << 20, Descriptors: 10436, MaxBodyBytes: 4 << 20}, "", 3500},
		{"defaults", Limits{MaxBodyBytes: 1 << 20}, "", 1300},
		{"no memory", Limits{MemoryBytes: 1 << 20, Descriptors: 4100}, "Memory", 0},
		{"few descriptors", Limits{MemoryBytes: 184 << 20, Descriptors: 250}, "Descriptors", 0},
		{"large bodies", Limits{MemoryBytes: 64 << 20, Descriptors: 4100, MaxBodyBytes: 16 << 20}, "Body", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			field, err := c.limits.Check("Memory", "Descriptors", "Body")
			is.Equal(field, c.field)
			is.Equal(err != nil, c.field != "")
			b := c.limits.Bounds()
			is.True(b.Connections >= c.least)
			is.True(b.BudgetBytes >= c.limits.MaxBodyBytes)
			if c.limits.Descriptors >= 500 {
				is.True(2*OpenConnections(b.Connections)+b.PeerConnections+2*b.ToolConnections+fileDescriptors <= c.limits.Descriptors)
			}
		})
	}
}

// Guards against a budget that is exceeded, lost, or withheld from a holder that is alone,
// after any sequence of reservations and releases, and against a served request that gives way.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		b := Budget{Limit: limit}
		held, complete := make(map[uint64]int64), make(map[uint64]bool)
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.Uint64Range(1, 6).Draw(t, "id")
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				b.Release(id)
				delete(held, id)
				delete(complete, id)
			case 1:
				b.Complete(id)
				complete[id] = held[id] > 0
			default:
				n := rapid.Int64Range(1, 60).Draw(t, "n")
				alone := len(held) == 0 || len(held) == 1 && held[id] > 0
				granted, evicted := b.Reserve(id, n, now)
				for _, e := range evicted {
					if complete[e] || e == id {
						t.Fatalf("%d gave way", e)
					}
					delete(held, e)
				}
				if granted {
					held[id] += n
				} else if alone && held[id]+n <= limit {
					t.Fatalf("%d bytes refused to the only holder of %d", n, held[id])
				}
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			if sum != b.Used() || sum > limit {
				t.Fatalf("%d bytes held, %d used", sum, b.Used())
			}
		}
	})
}

// Guards against a crowd that keeps others out: stalled bodies give way first, then the largest
// one, and a small body is never refused for large ones in progress.
func TestWhoGivesWay(t *testing.T) {
	is := is.New(t)
	b := Budget{Limit: 100}
	now := time.Unix(0, 0)
	for id, n := range map[uint64]int64{1: 30, 2: 40, 3: 30} {
		granted, _ := b.Reserve(id, n, now.Add(time.Duration(id)*100*time.Millisecond))
		is.True(granted)
	}
	granted, evicted := b.Reserve(4, 10, now.Add(500*time.Millisecond)) // none is stalled
	is.True(granted)
	is.Equal(evicted, []uint64{2})
	granted, evicted = b.Reserve(5, 60, now.Add(1250*time.Millisecond)) // 1 is stalled for longest
	is.True(granted)
	is.Equal(evicted, []uint64{1})
	granted, _ = b.Reserve(6, 60, now.Add(1300*time.Millisecond)) // 3 is stalled, 5 is as large
	is.True(!granted)

	conns := map[string]Conn{
		"serving": {Serving: true, ReadAt: now}, "known": {Known: true, ReadAt: now},
		"new": {ReadAt: now.Add(time.Second)}, "newer": {ReadAt: now.Add(2 * time.Second)},
	}
	for _, want := range []string{"new", "newer", "known"} {
		key, ok := Quietest(maps.All(conns), now.Add(3*time.Second))
		is.True(ok)
		is.Equal(key, want)
		delete(conns, key)
	}
	_, ok := Quietest(maps.All(conns), now.Add(3*time.Second))
	is.True(!ok)
}
