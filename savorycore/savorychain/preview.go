package savorychain

// This file defines previews of Choose and ChooseService.

import (
	"slices"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// Candidate is a server with its estimates for one request.
type Candidate struct {
	Server string
	Zone   string
	Layers savoryworld.LayerRange
	// PromptTime is the estimated time until the engine has run the prompt, and TokenTime
	// the time between two tokens at the engine. Both are 0 for a plain service.
	PromptTime time.Duration
	TokenTime  time.Duration
	// Own is the number of the entry's requests in flight at the server.
	Own int
	// Excluded is why the server is not chosen, or only if no other one works; empty if there
	// is no reason.
	Excluded Exclusion
}

// Exclusion is the reason why a server is not chosen.
type Exclusion string

// The reasons.
const (
	Leaving Exclusion = "leaving"
	// Tried: it failed this request before.
	Tried Exclusion = "tried"
	// Suspected: it failed lately.
	Suspected Exclusion = "avoided after a failure"
	// Limited: it takes no request of this entry now, by its limit or pause.
	Limited Exclusion = "limited or paused by its own word"
	// NotSampled: the random sample of this choice does not include it.
	NotSampled Exclusion = "not in the random sample"
	// NotReached: no engine that can be used holds the layers before.
	NotReached Exclusion = "no usable engine for the layers before"
)

// Preview returns what Choose would return, and the engines of the model that this entry uses,
// by layers. It changes nothing but the state of Rand.
func (t *Table) Preview(req Request, now time.Time) (Choice, []Candidate, error) {
	key := modelKey{req.Pipeline.Model, req.Pipeline.Version}
	var ids []string
	for _, g := range t.groups[key] {
		for _, s := range g.members {
			ids = append(ids, s.server.Name)
		}
	}
	p := *t
	p.Notices = *t.Notices.Copy(key.demandKey(), ids)
	considered, reached := make(map[*serverState]bool), make(map[savoryworld.LayerRange]bool)
	p.onConsidered = func(s *serverState) { considered[s], reached[s.server.Layers] = true, true }
	choice, err := p.Choose(req, now)
	var candidates []Candidate
	for _, g := range p.groups[key] {
		for _, s := range g.members {
			work := s.estimatedWork(now)
			c := Candidate{
				Server: s.server.Name, Zone: s.server.Zone, Layers: g.layers, Own: s.running,
				PromptTime: s.promptTime(work, p.tokensToRun(s, req), req.Pipeline.Layers), TokenTime: s.tokenTime(work, req.Pipeline.Layers),
			}
			c.Excluded = p.exclusion(s, req.Avoid, key.demandKey(), g.layers.From == 0, now)
			switch {
			case c.Excluded != "" || considered[s]:
			case reached[g.layers]:
				c.Excluded = NotSampled
			default:
				c.Excluded = NotReached
			}
			candidates = append(candidates, c)
		}
	}
	return choice, candidates, err
}

// PreviewService returns what ChooseService would return, and the servers of the service. It
// changes nothing but the state of Rand.
func (t *Table) PreviewService(service string, avoid []string, now time.Time) (ServiceChoice, []Candidate, error) {
	servers := t.snapshot.ServiceServers(service)
	ids := make([]string, len(servers))
	for i, server := range servers {
		ids[i] = server.Name
	}
	p := *t
	p.Notices = *t.Notices.Copy(service, ids)
	choice, err := p.ChooseService(service, avoid, now)
	var candidates []Candidate
	for _, server := range servers {
		if s := p.states[server.Name]; s != nil {
			candidates = append(candidates, Candidate{
				Server: server.Name, Zone: server.Zone, Own: s.running, Excluded: p.exclusion(s, avoid, service, true, now),
			})
		}
	}
	return choice, candidates, err
}

// exclusion returns why a server is not chosen or chosen last. first is set if the server would
// take the request from this entry, so that its limit counts.
func (t *Table) exclusion(s *serverState, avoid []string, demand string, first bool, now time.Time) Exclusion {
	switch {
	case s.isLeaving():
		return Leaving
	case slices.Contains(avoid, s.server.Name):
		return Tried
	case first && !t.takes(demand, s, now):
		return Limited
	case s.isSuspected(now):
		return Suspected
	}
	return ""
}
