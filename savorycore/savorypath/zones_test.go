package savorypath

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// zoneFleet returns entries in three zones, each with two replicas of a chain.
func zoneFleet(perZone int) []*Table {
	m := testModel()
	m.UsualPrompt, m.UsualAnswer, m.RequestTime = 760, 200, 5*time.Microsecond
	m.ReadPerSecond, m.ReadChunk, m.TokenBytes = 164000, 512, 300000
	for i := range m.Accelerators {
		m.Accelerators[i].ReadFactor = 3
	}
	zones := []string{"a", "b", "c"}
	var engines []Engine
	for _, zone := range zones {
		for from := 0; from < 80; from += 16 {
			for replica := range 2 {
				engines = append(engines, engine(m, fmt.Sprint(zone, from, "-", replica), zone, "slow", from, from+16))
			}
		}
	}
	var tables []*Table
	for i := range perZone * len(zones) {
		t := &Table{Zone: zones[i%len(zones)], Entries: perZone * len(zones), Rand: rand.New(rand.NewPCG(5, uint64(i)))}
		t.SetEngines(m, engines)
		tables = append(tables, t)
	}
	return tables
}

// Pattern: steady load from all zones, entries that learn of one another's requests half a
// second late. All entries used to choose the zone that had looked cheapest at the last
// exchange, so each zone in turn got most of the fleet's requests, and prompts waited there
// for up to 1.3 s while the engines of the other zones were idle. In no interval between
// two exchanges may a zone get twice the requests of its own callers.
func TestFleetDoesNotCrowdOneZone(t *testing.T) {
	for _, perZone := range []int{3, 28} {
		t.Run(fmt.Sprint(3*perZone), func(t *testing.T) {
			is := is.New(t)
			tables := zoneFleet(perZone)
			const perSecond, seconds = 300, 12
			const hold, interval = 3 * perSecond, perSecond / 2
			type running struct {
				table *Table
				chain Chain
			}
			var all []running
			arrivals := rand.New(rand.NewPCG(6, 1))
			counts, worst := make(map[string]int), 0
			for n := range seconds * perSecond {
				now := begin.Add(time.Duration(n) * time.Second / perSecond)
				if n%interval == 0 {
					exchangeLoads(tables, now)
					clear(counts)
				}
				table := tables[arrivals.IntN(len(tables))]
				choice, err := table.Choose(Request{Tokens: 960}, now)
				is.NoErr(err)
				table.RecordStart(choice.Chain, 960, now)
				all = append(all, running{table, choice.Chain})
				if len(all) > hold {
					all[0].table.RecordEnd(all[0].chain, 960, now)
					all = all[1:]
				}
				counts[choice.Chain[0].Server[:1]]++
				worst = max(worst, counts[choice.Chain[0].Server[:1]])
			}
			t.Logf("%d of %d requests of one interval went to one zone", worst, interval)
			is.True(worst < 2*interval/3)
		})
	}
}

// Pattern: a zone loses its fast path, so its own chain is much dearer than those of the
// other zones. Its requests leave for both other zones, not for one, and they leave also if
// it has no chain at all.
func TestRequestsLeaveCostlyZone(t *testing.T) {
	is := is.New(t)
	tables := zoneFleet(1)
	table := tables[0]
	var slowed, rest []Engine
	for _, e := range table.engines {
		if e.Zone == "a" {
			e.SlowdownFactor = 12
		} else {
			rest = append(rest, e)
		}
		slowed = append(slowed, e)
	}
	for _, engines := range [][]Engine{slowed, rest} {
		table.SetEngines(table.engine, engines)
		counts := make(map[string]int)
		for range 600 {
			choice, err := table.Choose(Request{Tokens: 960}, begin)
			is.NoErr(err)
			counts[choice.Chain[0].Server[:1]]++
		}
		is.True(counts["a"] <= 100)
		is.True(counts["b"] >= 200 && counts["c"] >= 200)
	}
}
