package savorygate

// This file records what backend servers state about themselves in their responses.

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorynotice"
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

// observeReport records the notice in an engine's report. Only responses to requests end a
// limit.
func (g *Gate) observeReport(server string, sentAt time.Time, r Report) {
	r.Notice.LimitUnknown = r.Notice.LimitUnknown || r.Notice.Limit == 0
	g.observeNotice(server, sentAt, r.Notice, r.NoticeErr)
}

func (g *Gate) observeNotice(server string, sentAt time.Time, n savorynotice.Notice, err error) {
	if err != nil {
		g.metrics.notices.WithLabelValues("invalid").Inc()
		if g.badNotices.first(server, err) {
			g.Log.WithError(err).WithField("server", server).Warn("response of the server states a limit or pause that is not valid")
		}
	}
	changes, left := g.view.observe(server, sentAt, g.now(), n)
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

// observe records a notice and returns the changes, and whether the server is leaving only
// now.
func (v *view) observe(server string, sentAt, now time.Time, n savorynotice.Notice) (changes []savorynotice.Change, left bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed, _ := v.roster.Server(server)
	return v.notices.Observe(server, listed.Born, sentAt, now, n), false
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
