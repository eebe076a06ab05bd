package savorypath

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a preview that changes what later requests are decided by, or that shows
// another chain than the next request gets: of two equal tables one is previewed.
func TestPreviewChangesNothing(t *testing.T) {
	m := testModel()
	rapid.Check(t, func(t *rapid.T) {
		tables := [2]*Table{{Zone: "a", Entries: 3}, {Zone: "a", Entries: 3}}
		var engines []Engine
		for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
			from := rapid.IntRange(0, 3).Draw(t, "from") * 20
			e := engine(m, fmt.Sprint("e", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), "slow", from, 20+from)
			e.SlowdownFactor = 1 + 0.01*float64(i) // no two chains cost the same
			engines = append(engines, e)
		}
		moved := rapid.Bool().Draw(t, "moved")
		sent := rapid.IntRange(0, 5).Draw(t, "sent")
		r := Request{Tokens: rapid.IntRange(1, 40000).Draw(t, "tokens"), AllowCrossZone: true}
		r.Avoid = func(id string) bool { return id == "e0" }
		r.FirstDelay = func(id string) (time.Duration, bool) { return time.Millisecond, id != "e1" }
		for _, table := range tables {
			table.SetEngines(m, engines)
			table.SetPeer("p", []Load{{Server: "e2", Requests: 9, Memory: 1e5, First: 1}}, begin)
			for range sent {
				if choice, err := table.Choose(r, begin); err == nil {
					table.RecordStart(choice.Chain, r.Tokens, begin)
				}
			}
			if moved {
				table.SetEngines(m, engines[1:])
			}
		}
		now := begin.Add(time.Second)
		choice, candidates, err := tables[0].Preview(r, now)
		if !reflect.DeepEqual(tables[0], tables[1]) {
			t.Fatal("the preview has changed the table")
		}
		want, wantErr := tables[1].Choose(r, now)
		if !errors.Is(err, wantErr) || !reflect.DeepEqual(choice, want) {
			t.Fatalf("previewed %v, %v, chosen %v, %v", choice, err, want, wantErr)
		}
		for _, c := range candidates {
			if c.Excluded != "" && choice.Chain.Uses(c.Server) || c.NotFirst != "" && len(choice.Chain) > 0 && choice.Chain[0].Server == c.Server {
				t.Fatalf("chain %s uses %+v", choice.Chain, c)
			}
			if (c.Excluded == Avoided) != (c.Server == "e0") {
				t.Fatalf("%+v", c)
			}
		}
	})
}
