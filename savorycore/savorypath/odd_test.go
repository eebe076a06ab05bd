package savorypath

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against an engine whose registration states layers that no model has, and because
// of which no chain is found at all.
func TestEngineWithOddLayers(t *testing.T) {
	for _, odd := range [][2]int{{-1, 40}, {math.MinInt, math.MaxInt}, {0, math.MaxInt}, {40, 0}, {80, 90}} {
		is := is.New(t)
		m := testModel()
		table := &Table{Zone: "a"}
		table.SetEngines(m, []Engine{engine(m, "e0", "a", "slow", 0, 40), engine(m, "e1", "a", "slow", 40, 80), engine(m, "odd", "a", "slow", odd[0], odd[1])})
		choice, err := table.Choose(Request{Tokens: 1}, begin)
		is.NoErr(err)
		is.NoErr(choice.Chain.Check(80))
	}
}
