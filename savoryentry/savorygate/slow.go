package savorygate

// This file finds engines that are slower than usual. The orderer asks all engines
// for their reports in turn, and the entries pass on what it finds.

import (
	"errors"
	"syscall"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
)

const (
	// surveyRounds is the number of the orderer's rounds in which each engine is
	// asked once. With orderInterval it makes a survey of two seconds, in which a
	// slow engine makes a few late events.
	surveyRounds = 10
	// maxSurveyCalls bounds the reports that are requested in one round. In a
	// service with more engines a survey takes longer.
	maxSurveyCalls = 40
	// minSlowdown is the slowdown from which on an engine counts as slow. Smaller
	// ones are within the spread of the estimates.
	minSlowdown = 1.25
	// slowdownTTL is how long a slowdown counts without a new report. It spans three
	// surveys, so that lost reports do not end it.
	slowdownTTL = 3 * surveyRounds * orderInterval
)

// slowdown is how much slower than usual an engine was at a time.
type slowdown struct {
	factor float64
	at     time.Time
}

// surveyEngines asks the next engines for their reports, except those that are failing.
// round counts the rounds of the orderer.
func (g *Gate) surveyEngines(servers []savoryroster.Server, failing map[string]bool, round int) {
	calls := min(maxSurveyCalls, (len(servers)+surveyRounds-1)/surveyRounds)
	for i := range calls {
		if server := servers[(round*calls+i)%len(servers)]; !failing[server.ID] {
			go g.surveyEngine(server)
		}
	}
}

func (g *Gate) surveyEngine(server savoryroster.Server) {
	report, err := g.engineReport(server)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		if g.alive() {
			until := g.view.recordFailure(server.ID, true, g.now())
			g.Log.WithError(err).WithFields(log.Fields{"server": server.ID, "avoidedMs": until.Sub(g.now()).Milliseconds()}).Info("engine refuses connections")
		}
	case err != nil:
		// The streams of the engine show whether it has failed; a lost report does not.
		g.Log.WithError(err).WithField("server", server.ID).Debug("no report from the engine")
	case g.view.recordSlowdown(server.ID, report.SlowdownFactor, g.now(), g.config()):
		g.Log.WithFields(log.Fields{"server": server.ID, "slowdown": report.SlowdownFactor}).Info("speed of the engine changed")
	}
}

// recordSlowdown records how much slower than usual an engine is, and reports whether
// that is a change.
func (v *view) recordSlowdown(id string, factor float64, at time.Time, cfg *savoryrouting.Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, ok := v.slowdowns[id]
	if factor < minSlowdown {
		factor = 1
		if !ok {
			return false
		}
	}
	if at.Before(known.at) {
		return false
	}
	if v.slowdowns == nil {
		v.slowdowns = make(map[string]slowdown)
	}
	v.slowdowns[id] = slowdown{factor: factor, at: at}
	if known.factor == factor {
		return false
	}
	v.rebuild(cfg)
	return true
}

// expireSlowdowns removes the slowdowns that are no longer reported.
func (v *view) expireSlowdowns(now time.Time, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	expired := false
	for id, s := range v.slowdowns {
		if now.Sub(s.at) > slowdownTTL {
			delete(v.slowdowns, id)
			expired = expired || s.factor > 1
		}
	}
	if expired {
		v.rebuild(cfg)
	}
}

// recentSlowdowns returns the slowdowns to pass on to peers.
func (v *view) recentSlowdowns(now time.Time) []savorypeer.ServerSlowdown {
	v.mu.Lock()
	defer v.mu.Unlock()
	var recent []savorypeer.ServerSlowdown
	for id, s := range v.slowdowns {
		if age := now.Sub(s.at); age <= slowdownTTL {
			recent = append(recent, savorypeer.ServerSlowdown{Server: id, Factor: s.factor, Age: max(0, age)})
		}
	}
	return recent
}

// applySlowdowns applies the slowdowns that a peer passed on. Those that are hardly
// newer than the known ones have only come back with the delay of a call.
func (v *view) applySlowdowns(received []savorypeer.ServerSlowdown, now time.Time, cfg *savoryrouting.Config) {
	const tolerance = orderInterval
	for _, s := range received {
		at := now.Add(-s.Age)
		v.mu.Lock()
		known := v.slowdowns[s.Server]
		v.mu.Unlock()
		if s.Age <= slowdownTTL && at.Sub(known.at) > tolerance {
			v.recordSlowdown(s.Server, s.Factor, at, cfg)
		}
	}
}
