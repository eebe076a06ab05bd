package savorynode

// This file records what backend servers state about themselves in their responses.

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savoryverdict"
)

// serviceNotices are the header fields of plain services.
var serviceNotices = savorynotice.Fields{Limit: ownHeaderPrefix + "Limit", Leaving: ownHeaderPrefix + "Leaving"}

// observeNotice records the notice of a plain service's server in its response to a request
// that was sent at sentAt.
func (s *serviceRunner) observeNotice(server string, sentAt time.Time, resp *http.Response) {
	n, err := serviceNotices.Read(resp.StatusCode, resp.Header)
	if err != nil {
		s.callers.log.WithError(err).WithField("server", server).Debug("response of the server states a limit or pause that is not valid")
	}
	if n.Leaving {
		// A mark holds for all entries, and ends by time or by an operator's word: the server
		// starts again under its name.
		s.markLeaving(server)
		n.Leaving = false
	}
	now := s.callers.now()
	var changes []savorynotice.Change
	s.callers.tables.chains.with(func(t *savorychain.Table) { changes = t.Observe(server, sentAt, now, n) })
	logNotices(s.callers.log, changes)
}

// recordPause records that an engine refused a run and wants none for a time.
func recordPause(c *callers, server string, seconds float64) {
	pause, err := savorynotice.PauseOf(seconds)
	if err != nil {
		c.log.WithError(err).WithField("server", server).Debug("PauseSeconds of the engine's error is not valid")
		return
	}
	now := c.now()
	var changes []savorynotice.Change
	c.tables.chains.with(func(t *savorychain.Table) {
		changes = t.Observe(server, now, now, savorynotice.Notice{Pause: pause, LimitUnknown: true})
	})
	logNotices(c.log, changes)
}

func logNotices(logger log.Interface, changes []savorynotice.Change) {
	for _, c := range changes {
		logger.WithFields(log.Fields{"server": c.Server, "change": c.Kind, "limit": c.Limit, "pauseMs": c.Pause.Milliseconds()}).Info("server notice changed")
	}
}

// limitedError returns the refusal of a request that no server takes now.
func limitedError(e *savorychain.LimitedError) error {
	refusal := savoryverdict.Unavailable("Limited", max(minOverloadRetryAfter, e.RetryAfter), "the servers of %s take no more requests now", e.Name)
	refusal.Err = e
	return refusal
}
