package savorygate

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryworld"
)

// Pattern: the store is away while engines are taken out of service. They refuse all
// requests, and no list states that they leave. An engine that refuses although it has
// memory and slots is avoided like a failed one, a full one is only passed over.
func TestRefusalCause(t *testing.T) {
	is := is.New(t)
	layers := savoryworld.LayerRange{From: 10, To: 20}
	healthy := Report{Holds: savoryworld.LayerRange{From: 0, To: 20}, Memory: 1000, UsedMemory: 300, Requests: 3}
	const slots = 10
	for name, test := range map[string]struct {
		change func(*Report)
		slots  int
		failed bool
	}{
		"leaving":                   {func(*Report) {}, 0, true},
		"leaving first engine":      {func(*Report) {}, slots, true},
		"memory full":               {func(r *Report) { r.UsedMemory = 900 }, 0, false},
		"slots full":                {func(r *Report) { r.Requests = 9 }, slots, false},
		"slots do not matter later": {func(r *Report) { r.Requests = 9 }, 0, true},
		"gave up the layers":        {func(r *Report) { r.Holds.To = 15 }, 0, false},
		"loads layers":              {func(r *Report) { r.Busy = true }, 0, false},
		"states no memory":          {func(r *Report) { r.Memory = 0 }, 0, false},
	} {
		report := healthy
		test.change(&report)
		t.Log(name)
		is.Equal(errors.Is(refusalCause(report, nil, layers, test.slots), errRefusesWithMemory), test.failed)
	}
	lost := errors.New("no report")
	is.Equal(refusalCause(Report{}, lost, layers, 0), lost)
}
