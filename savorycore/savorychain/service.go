package savorychain

// This file defines the choice of a server for a plain service.

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// ErrNoServer means that no usable server runs the service.
var ErrNoServer = errors.New("no backend server is available")

// ServiceChoice is the server chosen for a request to a plain service.
type ServiceChoice struct {
	Server *savoryworld.BackendServer
	// RunnerUp is the second best server; it may be nil.
	RunnerUp *savoryworld.BackendServer
}

// ChooseService returns the server of a plain service that has the fewest
// requests of this entry in flight. Among equal servers it prefers the server
// with the least link delay from the entry's zone. The error is ErrNoServer if
// there is no usable server, and a *LimitedError if none takes the request now. Servers in avoid are never chosen, and suspected
// servers only if there is no other server.
func (t *Table) ChooseService(service string, avoid []string, now time.Time) (ServiceChoice, error) {
	var states []*serverState
	for _, server := range t.snapshot.ServiceServers(service) {
		s := t.states[server.Name]
		if s != nil && !s.isLeaving() && !slices.Contains(avoid, server.Name) {
			states = append(states, s)
		}
	}
	if len(states) == 0 {
		return ServiceChoice{}, fmt.Errorf("service %s: %w", service, ErrNoServer)
	}
	taking := slices.DeleteFunc(slices.Clone(states), func(s *serverState) bool { return !t.takes(service, s, now) })
	if len(taking) == 0 {
		return ServiceChoice{}, t.limited(service, service, states, now, ErrNoServer)
	}
	states = taking
	t.Rand.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
	slices.SortStableFunc(states, func(a, b *serverState) int { return t.compareService(a, b, now) })
	choice := ServiceChoice{Server: states[0].server}
	if len(states) > 1 {
		choice.RunnerUp = states[1].server
	}
	return choice, nil
}

// compareService orders servers that are not suspected before suspected ones,
// then by the number of requests in flight, then by link delay.
func (t *Table) compareService(a, b *serverState, now time.Time) int {
	if sa, sb := a.isSuspected(now), b.isSuspected(now); sa != sb {
		if sa {
			return 1
		}
		return -1
	}
	if a.running != b.running {
		return a.running - b.running
	}
	delay := func(s *serverState) time.Duration { return t.snapshot.Link(t.Zone, s.server.Zone).Delay.AsDuration() }
	return int(delay(a) - delay(b))
}

// RecordServiceSent records that a request to a plain service was sent. A call
// of RecordServiceFinished must follow.
func (t *Table) RecordServiceSent(server string) {
	if s := t.states[server]; s != nil {
		s.running++
		t.Notices.Reserve(server)
	}
}

// RecordServiceFinished records the end of a request to a plain service.
func (t *Table) RecordServiceFinished(server string) {
	if s := t.states[server]; s != nil {
		s.running = max(0, s.running-1)
	}
}
