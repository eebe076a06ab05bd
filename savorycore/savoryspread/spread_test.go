package savoryspread

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// counts draws evenly and returns how often each option was chosen, in hundredths.
func counts(options []Option) []int {
	n := make([]int, len(options))
	for i := range 100 {
		n[Zone(options, (float64(i)+0.5)/100)]++
	}
	return n
}

// Guards against requests that leave their zone without need, that all leave at once, or
// that all go to one other zone.
func TestZone(t *testing.T) {
	home := func(cost float64) Option { return Option{Cost: cost, Home: true} }
	for name, c := range map[string]struct {
		options  []Option
		min, max []int
	}{
		"about equal":      {[]Option{home(0.10), {Cost: 0.09}, {Cost: 0.11}}, []int{100, 0, 0}, []int{100, 0, 0}},
		"home is cheapest": {[]Option{home(0.05), {Cost: 0.09}}, []int{100, 0}, []int{100, 0}},
		"somewhat dearer":  {[]Option{home(0.20), {Cost: 0.10}, {Cost: 0.30}}, []int{55, 30, 0}, []int{70, 45, 0}},
		"far dearer":       {[]Option{home(5), {Cost: 0.1}, {Cost: 0.1}}, []int{0, 45, 45}, []int{5, 55, 55}},
		"no home":          {[]Option{{Cost: 0.1}, {Cost: 0.1}, {Cost: 0.4}}, []int{45, 45, 0}, []int{50, 50, 10}},
		"one zone":         {[]Option{{Cost: 7}}, []int{100}, []int{100}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i, n := range counts(c.options) {
				is.True(c.min[i] <= n && n <= c.max[i])
			}
		})
	}
	is.New(t).Equal(Zone(nil, 0.5), -1)
}

// Guards against a choice outside the options, and against a zone that keeps more of its
// requests when it becomes dearer.
func TestZoneIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Float64Range(0, 10), 1, 6).Draw(t, "costs")
		draw := rapid.Float64Range(0, 0.999999).Draw(t, "draw")
		options := []Option{{Cost: rapid.Float64Range(0, 10).Draw(t, "home"), Home: true}}
		for _, c := range costs {
			options = append(options, Option{Cost: c})
		}
		before := Zone(options, draw)
		if before < 0 || before >= len(options) {
			t.Fatalf("option %d of %d", before, len(options))
		}
		options[0].Cost++
		if after := Zone(options, draw); after == 0 && before != 0 {
			t.Fatalf("stays at cost %g, left at %g", options[0].Cost, options[0].Cost-1)
		}
	})
}
