package savorygate

// This file bounds the requests at servers that start or recover, by the pace of their answers.

import (
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorypace"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
)

const (
	// beyondPacePenalty is added to the load per slot of a server that is beyond its allowance:
	// it is chosen if this entry alone fills the slots of the others.
	beyondPacePenalty = 1
	// probePreference is subtracted from the load per slot of a server whose first answer is
	// needed. It outweighs the preference for the own zone.
	probePreference = 0.02
	// paceReportPrefix begins the Server of a Load that carries a savorypace.Report.
	paceReportPrefix = "pace of "
	// minPaceReports and maxPaceReportFraction bound the reports in a message, the latter as a
	// fraction of the loads in it. Messages may grow by at most a tenth.
	minPaceReports        = 4
	maxPaceReportFraction = 0.1
)

// pacing is the pace of the servers, guarded by the lock of the view. Its table is nil if
// pacing is off.
type pacing struct {
	table *savorypace.Table
	// steered counts the requests that went elsewhere because a server was beyond its
	// allowance, by kind of server.
	steered map[string]int
}

// setPace switches pacing on or off.
func (v *view) setPace(on bool, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !on:
		v.pace.table = nil
	case v.pace.table == nil:
		v.pace = pacing{table: &savorypace.Table{Entry: v.notices.Entry, ExchangeTime: loadTTL}, steered: make(map[string]int)}
		v.updatePace(cfg)
	}
}

// updatePace updates the listed servers. The caller holds the lock.
func (v *view) updatePace(cfg *savoryrouting.Config) {
	if v.pace.table == nil || cfg == nil {
		return
	}
	var servers []savorypace.Server
	for _, s := range v.roster.All() {
		if s.Leaving {
			continue
		}
		slots := s.Slots
		if service := cfg.Service(s.Service); slots == 0 && service != nil && service.Engine != nil {
			slots = service.Engine.Slots
		}
		servers = append(servers, savorypace.Server{ID: s.ID, Service: s.Service, Slots: slots, Born: s.Born, Holds: s.Holds})
	}
	v.pace.table.SetServers(servers)
}

// updatePaceOf updates the layers of an engine after its own report. The caller holds the lock.
func (v *view) updatePaceOf(id string) {
	if s, ok := v.roster.Server(id); ok && v.pace.table != nil {
		v.pace.table.SetLayers(id, s.Holds)
	}
}

// steerByPace moves the server that is chosen to the front of servers, which are sorted by
// rank. It reports whether another one would be chosen if it were not beyond its allowance. The
// caller holds the lock.
func (v *view) steerByPace(service string, servers []savoryroster.Server, rank func(savoryroster.Server) float64, now time.Time) bool {
	t := v.pace.table
	if t == nil || !t.Active(service) {
		return false
	}
	best, lowest, steered := 0, 0.0, false
	for i, s := range servers {
		r := rank(s)
		if i > 0 && r-probePreference >= lowest {
			break
		}
		switch {
		case t.Beyond(s.ID, now):
			r += beyondPacePenalty
			steered = steered || i == 0
		case t.Probe(s.ID, now):
			r -= probePreference
		}
		if i == 0 || r < lowest {
			best, lowest = i, r
		}
	}
	if best > 0 {
		chosen := servers[best]
		copy(servers[1:], servers[:best])
		servers[0] = chosen
	}
	return steered && best > 0
}

// startPacedServer counts a request at the server that was chosen until endPaced. The caller
// holds the lock.
func (v *view) startPacedServer(service string, c serverChoice, now time.Time) {
	t := v.pace.table
	if t == nil {
		return
	}
	if t.Active(service) {
		if c.steered {
			v.pace.steered["plain"]++
		}
		t.Chosen(service, now)
	}
	t.Started(c.server.ID, now)
}

// limitByPace makes engines beyond their allowance cost more in the choice of a chain. The
// caller holds the lock.
func (v *view) limitByPace(service string, r *savorypath.Request, now time.Time) {
	if t := v.pace.table; t != nil && t.Active(service) {
		r.BeyondPace = func(id string) bool { return t.Beyond(id, now) }
	}
}

// startPaced counts a request at the engines of its chain until endPaced. The caller holds the
// lock.
func (v *view) startPaced(service string, chain savorypath.Chain, r *savorypath.Request, now time.Time) {
	t := v.pace.table
	if t == nil {
		return
	}
	if r.CurrentChain == nil && t.Active(service) {
		if t.Passed(service, now, chain.Uses) {
			v.pace.steered["engine"]++
		}
		t.Chosen(service, now)
	}
	for _, h := range chain {
		t.Started(h.Server, now)
	}
}

// endPaced removes a request that was counted at servers. The caller holds the lock.
func (v *view) endPaced(servers ...string) {
	if v.pace.table == nil {
		return
	}
	for _, id := range servers {
		v.pace.table.Ended(id)
	}
}

// endPacedChain removes a request that startPaced counted. The caller holds the lock.
func (v *view) endPacedChain(chain savorypath.Chain) {
	for _, h := range chain {
		v.endPaced(h.Server)
	}
}

// recordPaceFailure records that a server failed. The caller holds the lock.
func (v *view) recordPaceFailure(id string, now time.Time) {
	if v.pace.table != nil {
		v.pace.table.Failed(id, now)
	}
}

// recordPaceRejection records that a server refused a request without running it.
func (v *view) recordPaceRejection(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pace.table != nil {
		v.pace.table.Rejected(id)
	}
}

// recordPace records the answer of servers, or its first event.
func (v *view) recordPace(a savorypace.Answer, servers []string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pace.table != nil {
		v.pace.table.Answered(a, servers, now)
	}
}

// recordPace records the answer of a server to a request that was sent at sentAt. An answer
// that finds fault with the request says nothing about the pace.
func (c *call) recordPace(server string, status int, sentAt time.Time) {
	if status >= http.StatusBadRequest {
		return
	}
	now := c.g.now()
	c.g.view.recordPace(savorypace.Answer{Service: c.service.Name, Kind: c.route.Name, Size: int(c.body.Len()), Took: now.Sub(sentAt)}, []string{server}, now)
}

// recordPace records the first event of the attempt. Continued streams are compared among
// themselves, since their engines read all tokens so far.
func (a *attempt) recordPace(continued bool, now time.Time) {
	kind := a.route.Name
	if continued {
		kind += " continued"
	}
	var servers []string
	for _, h := range a.watch.currentChain() {
		servers = append(servers, h.Server)
	}
	a.g.view.recordPace(savorypace.Answer{Service: a.service.Name, Kind: kind, Size: a.tokens, Took: now.Sub(a.attemptSentAt)}, servers, now)
}

// loadsForPeers returns this entry's requests in flight at engines and the pace that it reports.
func (v *view) loadsForPeers(now time.Time) []savorypath.Load {
	loads := v.ownLoads(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	return append(loads, v.paceReports(len(loads), now)...)
}

// paceReports returns the reports for peers, as loads of servers that do not exist. The caller
// holds the lock.
func (v *view) paceReports(loads int, now time.Time) []savorypath.Load {
	if v.pace.table == nil {
		return nil
	}
	var reports []savorypath.Load
	limit := max(minPaceReports, int(maxPaceReportFraction*float64(loads)))
	for _, r := range v.pace.table.Reports(limit, now) {
		reports = append(reports, savorypath.Load{Server: paceReportPrefix + r.Server, Requests: r.Requests, First: r.Unproven, Memory: float64(r.Allowance)})
	}
	return reports
}

// setPaceReports replaces the reports of the peers, by those in their loads, and the share of
// the demand. The caller holds the lock.
func (v *view) setPaceReports(byPeer map[string][]savorypath.Load, now time.Time) {
	if v.pace.table == nil {
		return
	}
	var reports []savorypace.Report
	for _, loads := range byPeer {
		for _, l := range loads {
			if id, ok := strings.CutPrefix(l.Server, paceReportPrefix); ok {
				reports = append(reports, savorypace.Report{Server: id, Requests: l.Requests, Unproven: l.First, Allowance: int(l.Memory)})
			}
		}
	}
	v.pace.table.SetPeerReports(reports, now)
	v.pace.table.SetDemandShares(func(service string) float64 { return v.notices.DemandShare(service, now) })
}

// setPaceEntries sets the names of the other live entries. The caller holds the lock.
func (v *view) setPaceEntries(others []string) {
	if v.pace.table != nil {
		v.pace.table.SetEntries(others)
	}
}

// takePace returns the changes, how many more there were, the number of servers by state and of
// the requests that were steered since the last call.
func (v *view) takePace() (changes []savorypace.Change, dropped int, servers, steered map[string]int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pace.table == nil {
		return nil, 0, nil, nil
	}
	changes, dropped = v.pace.table.TakeChanges()
	proven, raised, start := v.pace.table.Counts()
	steered, v.pace.steered = v.pace.steered, make(map[string]int)
	return changes, dropped, map[string]int{"proven": proven, "raised": raised, "start": start}, steered
}

// updatePace applies the setting, logs what changed and updates the metrics.
func (g *Gate) updatePace() {
	g.view.setPace(g.Settings().Pace, g.config())
	changes, dropped, servers, steered := g.view.takePace()
	for _, c := range changes {
		g.Log.WithFields(log.Fields{"server": c.Server, "service": c.Service, "change": c.Kind, "cause": c.Cause}).Info("pace of the server changed")
	}
	if dropped > 0 {
		g.Log.WithField("changes", dropped).Info("pace of more servers changed")
	}
	for state, n := range servers {
		g.metrics.pacedServers.WithLabelValues(state).Set(float64(n))
	}
	for kind, n := range steered {
		g.metrics.steeredRequests.WithLabelValues(kind).Add(float64(n))
	}
}
