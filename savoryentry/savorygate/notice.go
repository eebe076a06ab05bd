package savorygate

// This file records what backend servers state about themselves in their responses.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryverdict"
)

// badNotices are the last errors in notices that were logged, by server.
type badNotices struct {
	mu     sync.Mutex
	logged map[string]string
}

// maxBadNotices bounds badNotices.
const maxBadNotices = 256

// first reports whether an error of a server differs from the one that was logged last.
func (b *badNotices) first(server string, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.logged[server] == err.Error() {
		return false
	}
	if b.logged == nil || len(b.logged) > maxBadNotices {
		b.logged = make(map[string]string)
	}
	b.logged[server] = err.Error()
	return true
}

// observeResponse records the notice of a server in a response to a request that was sent at sentAt.
// A response of another server, which has the address now, states nothing about it.
func (g *Gate) observeResponse(server string, sentAt time.Time, info ResponseInfo) {
	if info.Instance != "" && info.Instance != server {
		return
	}
	g.observeNotice(server, sentAt, info.Notice, info.NoticeErr)
}

// observeReport records the notice in an engine's report.
func (g *Gate) observeReport(server string, sentAt time.Time, r Report) {
	r.Notice.InReport = true
	g.observeNotice(server, sentAt, r.Notice, r.NoticeErr)
}

func (g *Gate) observeNotice(server string, sentAt time.Time, n savorynotice.Notice, err error) {
	if err != nil {
		g.metrics.notices.WithLabelValues("invalid").Inc()
		if g.badNotices.first(server, err) {
			g.Log.WithError(err).WithField("server", server).Warn("response of the server states a limit or pause that is not valid")
		}
	}
	changes, left := g.view.observe(server, sentAt, g.now(), n, g.config())
	if g.recordNotices(changes, "response") {
		g.wakeSync()
	}
	if left {
		go g.moveStreamsOff(server)
	}
}

// recordNotices logs and counts changes, and reports whether there are any.
func (g *Gate) recordNotices(changes []savorynotice.Change, source string) bool {
	for _, c := range changes {
		g.metrics.notices.WithLabelValues(c.Kind).Inc()
		g.Log.WithFields(log.Fields{
			"server": c.Server, "change": c.Kind, "limit": c.Limit, "pauseMs": c.Pause.Milliseconds(), "source": source,
		}).Info("server notice changed")
	}
	return len(changes) > 0
}

// observe records a notice and returns the changes, and whether the server is leaving by its
// own word only.
func (v *view) observe(server string, sentAt, now time.Time, n savorynotice.Notice, cfg *savoryrouting.Config) (changes []savorynotice.Change, left bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed, ok := v.roster.Server(server)
	changes = v.notices.Observe(server, listed.Born, sentAt, now, n)
	if n.Leaving && ok && !listed.Leaving {
		// The roster keeps it for the incarnation, and passes it on to peers.
		v.roster.MarkLeaving(server)
		v.listChanged = true
		v.rebuild(cfg)
		v.updatePace(cfg)
		left = true
	}
	return changes, left
}

// mergeNotices records the limits that a peer knows and returns the changes.
func (v *view) mergeNotices(states []savorynotice.State, now time.Time) []savorynotice.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := make([]savorynotice.State, 0, len(states))
	for _, s := range states {
		// The list may have removed the server, or replaced it by a later incarnation.
		if listed, ok := v.roster.Server(s.Server); ok && !s.Born.Before(listed.Born) {
			known = append(known, s)
		}
	}
	return v.notices.Merge(known, now)
}

// noticesForPeers returns the limits to pass on and the demand of this entry's callers.
func (v *view) noticesForPeers(now time.Time) ([]savorynotice.State, []savorynotice.Demand) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.notices.States(now), v.notices.Demands(now)
}

// setPeerDemands replaces the demands that the peers announced, by service.
func (v *view) setPeerDemands(rates map[string]float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notices.SetPeerDemands(rates)
}

// recordDemand records a caller's request for a service.
func (v *view) recordDemand(service string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notices.RecordRequest(service, now)
}

// unsent gives back the place in a server's limit of a request that was not sent.
func (v *view) unsent(server string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notices.Cancel(server)
}

// takesRequests reports whether a server that a request has waited for is still listed, not
// leaving and not paused.
func (v *view) takesRequests(server string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.roster.Server(server)
	return ok && !s.Leaving && v.notices.Paused(server, now) == 0
}

// returnDelay returns when a caller may come back that is refused because no server of the
// service takes requests now.
func (v *view) returnDelay(service string, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.notices.ReturnDelay(service, v.firstServers(service, now), now)
}

// firstServers returns the IDs of the servers of a service that work and to which requests are
// sent first. The caller holds the lock.
func (v *view) firstServers(service string, now time.Time) []string {
	var ids []string
	for _, s := range v.roster.Available(service) {
		if !v.health.Failing(s.ID, now) && s.Holds.From == 0 {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// returnDelays returns when a refused caller of a service may come back.
type returnDelays func(service string, now time.Time) time.Duration

// errNotTaken is returned if servers of a service are available and none takes a request in
// time, by what the servers state about themselves.
var errNotTaken = errors.New("the servers take no more requests now")

const (
	// maxDelayFraction bounds the wait for a server that takes a request later, as a
	// fraction of the time that is left to the deadline. The wait is also bounded by the
	// latency objective: a request that waits longer is late in any case, and those behind
	// it as well.
	maxDelayFraction = 0.25
)

// maxDelay returns how long the request waits for a server that takes it later. Of less
// urgent requests fewer wait, so that the more urgent ones are served first.
func (c *call) maxDelay() time.Duration {
	d := time.Duration(maxDelayFraction * float64(c.deadline.Sub(c.g.now())))
	if c.route.Objective > 0 {
		d = min(d, c.route.Objective)
	}
	return max(0, d>>min(maxPriorityRank, c.priorityRank()))
}

// maxPriorityRank bounds the halvings of the wait of less urgent requests.
const maxPriorityRank = 3

// priorityRank returns by how much the request is less urgent than the most urgent route of
// its service, 0 if it is not.
func (c *call) priorityRank() int {
	own := savoryrouting.Priority(c.route, c.customer)
	if first, _ := c.table.MostUrgent(c.service.Name); first != nil {
		return max(0, own-first.Priority)
	}
	return 0
}

// awaitTurn waits until the server takes the request. It reports whether the request may be
// sent; if not, another server must be chosen, unless the caller has left.
func (c *call) awaitTurn(server string, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	c.g.metrics.noticeWait.Observe(delay.Seconds())
	c.logDecision(log.Fields{"server": server, "delayMs": delay.Milliseconds()}, "request waits for the limit or pause of the server")
	if !c.wait(delay) || !c.g.view.takesRequests(server, c.g.now()) {
		return false
	}
	// A part of the prompt may have been quarantined meanwhile.
	return c.trial || !c.g.quarantined(c.prompt)
}

// notTaken returns the refusal of a request for which no server takes it in time.
func (c *call) notTaken(err error, returnDelay returnDelays) *savoryverdict.Error {
	now := c.g.now()
	e := savoryverdict.Unavailable("Limited", max(busyRetryDelay, returnDelay(c.service.Name, now)), "the servers of service %s take no more requests now", c.service.Name)
	e.Err = fmt.Errorf("%w (%s)", err, c.g.view.noticeSummary(c.service.Name, now))
	return e
}

func (v *view) expireNotices(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notices.Expire(now)
}

// noticeStatuses returns the servers that are limited, paused or leaving by their own word.
// The caller holds the lock.
func (v *view) noticeStatuses(now time.Time) []savorynotice.Status {
	return v.notices.Statuses(func(id string) string {
		s, _ := v.roster.Server(id)
		return s.Service
	}, now)
}

// noticeSummary describes for the log what the servers of a service state.
func (v *view) noticeSummary(service string, now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	limited, paused, rate, share := 0, 0, 0.0, 0.0
	for _, s := range v.noticeStatuses(now) {
		if listed, ok := v.roster.Server(s.Server); !ok || listed.Service != service {
			continue
		}
		if s.Limit > 0 {
			limited++
			rate, share = rate+s.Limit, share+s.Share
		}
		if s.PausedFor > 0 {
			paused++
		}
	}
	return fmt.Sprintf("of %d servers %d are limited to %.4g requests per second, of which this entry has %.4g, and %d paused", len(v.roster.Available(service)), limited, rate, share, paused)
}

// handleNotices writes the servers that are limited, paused or leaving by their own word.
func (g *Gate) handleNotices(w http.ResponseWriter, _ *http.Request) {
	g.view.mu.Lock()
	all := g.view.noticeStatuses(g.now())
	g.view.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(all); err != nil {
		g.Log.WithError(err).Debug("notices not written")
	}
}
