package savorypath

// This file keeps the engines that are given no new work, for the requests that they
// still run.

import "time"

// formerEngineTTL is how long a former engine is kept. Engines that drain end
// sooner.
const formerEngineTTL = 30 * time.Second

// formerEngine is an engine that is given no new work. since is the time of the
// first choice of a chain without it.
type formerEngine struct {
	Engine
	since time.Time
}

// keepFormer keeps the engines that the next ones lack.
func (t *Table) keepFormer(next []Engine) {
	if t.former == nil {
		t.former = make(map[string]formerEngine)
	}
	for _, old := range t.engines {
		t.former[old.ID] = formerEngine{Engine: old}
	}
	for i := range next {
		delete(t.former, next[i].ID)
	}
}

// currentEngines returns the former engines that run the request, with the layers
// that they run for it, and removes those that are too old.
func (t *Table) currentEngines(r Request, now time.Time) []*Engine {
	var current []*Engine
	for id, f := range t.former {
		switch {
		case f.since.IsZero():
			f.since = now
			t.former[id] = f
		case now.Sub(f.since) > formerEngineTTL:
			delete(t.former, id)
			continue
		}
		if layers := r.CurrentChain.LayersOf(id); !layers.Empty() {
			f.Holds = layers
			current = append(current, &f.Engine)
		}
	}
	return current
}
