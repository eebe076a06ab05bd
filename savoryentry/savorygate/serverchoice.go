package savorygate

// This file chooses the servers of requests that a single server handles.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savoryroster"
)

// serverChoice is a server chosen for a request without a chain.
type serverChoice struct {
	server   savoryroster.Server
	runnerUp string
	// inFlight is the number of this entry's requests at the server before this
	// one.
	inFlight int
	// slots is the number of requests that the server runs at once.
	slots      int
	triedCount int
	// steered is set if the server was chosen because another one is beyond its pace.
	steered bool
	// delay is the time after which the server takes the request.
	delay time.Duration
}

// chooseServer chooses the server of a service with the fewest requests of this
// entry in flight per slot, and counts the new request at it, until
// endServerRequest, and in its limit. It excludes the servers that this request already
// tried or that take none for maxDelay by their own word. It chooses servers that take the
// request later only if no other one works, and servers that are avoided after a failure
// only if there is none of these either. The error is errNoServer if no server is available,
// and errNotTaken if none takes the request.
func (v *view) chooseServer(service string, tried map[string]bool, maxDelay time.Duration, now time.Time) (serverChoice, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, err := v.pickServer(service, tried, &v.notices, maxDelay, now)
	if err != nil {
		return c, err
	}
	if v.inFlight == nil {
		v.inFlight = make(map[string]int)
	}
	v.inFlight[c.server.ID]++
	v.notices.Reserve(c.server.ID)
	v.startPacedServer(service, c, now)
	return c, nil
}

// pickServer is chooseServer without counting the request. The caller holds the lock.
func (v *view) pickServer(service string, tried map[string]bool, notices *savorynotice.Board, maxDelay time.Duration, now time.Time) (serverChoice, error) {
	servers := slices.DeleteFunc(v.roster.Available(service), func(s savoryroster.Server) bool { return tried[s.ID] })
	if len(servers) == 0 {
		return serverChoice{}, fmt.Errorf("service %q: %w", service, errNoServer)
	}
	delays := make(map[string]time.Duration)
	servers = slices.DeleteFunc(servers, func(s savoryroster.Server) bool {
		delay, ok := notices.Delay(service, s.ID, now)
		delays[s.ID] = delay
		return !ok || delay > maxDelay
	})
	if len(servers) == 0 {
		return serverChoice{}, fmt.Errorf("service %q: %w", service, errNotTaken)
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	loadRank := func(s savoryroster.Server) float64 {
		r := float64(v.inFlight[s.ID]) / float64(max(1, s.Slots))
		if s.Zone != v.zone {
			// Between equally loaded servers the one in this zone wins.
			r += 0.01
		}
		if d := delays[s.ID]; d > 0 {
			r += delayPenalty + d.Seconds()
		}
		if v.health.Avoided(s.ID, now) {
			r += avoidedPenalty
		}
		return r
	}
	slices.SortStableFunc(servers, func(a, b savoryroster.Server) int { return cmp.Compare(loadRank(a), loadRank(b)) })
	steered := v.steerByPace(service, servers, loadRank, now)
	c := serverChoice{steered: steered, server: servers[0], inFlight: v.inFlight[servers[0].ID], slots: servers[0].Slots, triedCount: len(tried), delay: delays[servers[0].ID]}
	if len(servers) > 1 {
		c.runnerUp = servers[1].ID
	}
	return c, nil
}

// hasOtherServer reports whether a service has an available server besides id that
// is neither in tried nor avoided after a failure.
func (v *view) hasOtherServer(service, id string, tried map[string]bool, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.roster.Available(service), func(s savoryroster.Server) bool {
		delay, ok := v.notices.Delay(service, s.ID, now)
		return s.ID != id && !tried[s.ID] && !v.health.Avoided(s.ID, now) && ok && delay == 0
	})
}

// delayPenalty is added to the load per slot of a server that takes the request later, and
// avoidedPenalty to that of one that is avoided; real loads are far below both.
const (
	delayPenalty   = 100
	avoidedPenalty = 1000
)

func (v *view) endServerRequest(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endPaced(id)
	v.inFlight[id]--
	if v.inFlight[id] <= 0 {
		delete(v.inFlight, id)
	}
}
