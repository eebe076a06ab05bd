package savorygate

// This file keeps an entry whose configuration may be out of date from stating that a route or
// a key does not exist: callers do not ask again after that.

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorynews"
	"savorycart.example/savorycore/savoryverdict"
)

// configNews is what this entry knows about newer configurations. Its times are those of bootNow.
type configNews struct {
	mu      sync.Mutex
	tracker savorynews.Tracker
}

// hearConfig records that a version exists.
func (g *Gate) hearConfig(version int64, source string) {
	g.news.mu.Lock()
	first := g.news.tracker.Hear(version, g.bootNow())
	g.news.mu.Unlock()
	if first {
		g.Log.WithFields(log.Fields{"version": version, "inForce": g.configVersion(), "source": source}).Info("newer configuration exists")
	}
}

// confirmConfig records a reading of the store, at a time of bootNow, that found no version newer
// than the one in force.
func (g *Gate) confirmConfig(reading uint64, at time.Time) {
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	g.news.tracker.Confirm(reading, at)
}

// confirmOwnReading is confirmConfig for a reading by this entry.
func (g *Gate) confirmOwnReading(at time.Time) {
	id := rand.Uint64N(1<<63) + 1
	g.confirmConfig(id, at)
	g.Log.WithFields(log.Fields{
		"reading": readingName(id), "revision": g.configPosition.Revision, "inForce": g.configVersion(), "tookMs": g.bootNow().Sub(at).Milliseconds(),
	}).Debug("configuration read")
}

// readingName returns the ID of a reading as it is logged.
func readingName(id uint64) string { return strconv.FormatUint(id, 36) }

// configReading returns the last reading that confirmed the configuration, and its age at a time
// of bootNow.
func (g *Gate) configReading(bootNow time.Time) (reading uint64, age time.Duration) {
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	return g.news.tracker.LastReading(bootNow)
}

// configDoubt reports whether the configuration in force may be out of date.
func (g *Gate) configDoubt() savorynews.Doubt {
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	return g.news.tracker.Doubt(g.bootNow(), g.Settings().ConfigTime)
}

// fetchStuck reports whether a newer version has been known for a while and no part of it
// arrives from peers.
func (g *Gate) fetchStuck(now time.Time) bool {
	g.news.mu.Lock()
	behindFor := g.news.tracker.BehindFor(g.bootNow())
	g.news.mu.Unlock()
	return behindFor > storeTimeout && now.Sub(g.fetch.progressAt.Load()) > storeTimeout
}

// selectRoute selects the route and the customer of the request. If the configuration lacks one
// of them and a newer one is known to exist, it waits for the newest.
func (c *call) selectRoute() *savoryverdict.Error {
	err := c.match()
	if err == nil {
		return nil
	}
	var doubt savorynews.Doubt
	c.g.awaitState(c.r.Context(), c.caller.Deadline, func() bool {
		err, doubt = c.matchAgain(err)
		return err == nil || doubt != savorynews.Behind
	})
	return refuseInDoubt(err, doubt)
}

// matchAgain repeats match, which returned err, if another table is in force by now. It returns the
// doubt about a version that is not newer than the table which was matched.
func (c *call) matchAgain(err *savoryverdict.Error) (*savoryverdict.Error, savorynews.Doubt) {
	// setConfig stores the table before it tells the tracker, so the order matters.
	doubt := c.g.configDoubt()
	if t := c.g.table.Load(); t != c.table {
		c.table = t
		err = c.match()
	}
	return err, doubt
}

// refuseInDoubt returns the error of match, or the refusal instead if the configuration may be out
// of date.
func refuseInDoubt(err *savoryverdict.Error, doubt savorynews.Doubt) *savoryverdict.Error {
	if err == nil || doubt == savorynews.None {
		return err
	}
	refusal := savoryverdict.Unavailable("Configuration"+string(doubt), busyRetryDelay, "the configuration may be out of date")
	refusal.Err = err
	return refusal
}
