package savorygate

// This file defines the planned stop of an entry. Connections end with their last response,
// and requests that may outlast the grace time are refused as not run, so that their callers
// go to another entry.

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryverdict"
)

const (
	// balancerNoticeDelay is how long the load balancer takes to detect that an
	// entry is not ready: it checks once a second and needs two failed checks.
	balancerNoticeDelay = 2300 * time.Millisecond
	// closeMargin is the end of the grace time that is reserved for closing. Requests that
	// are left are cut before it, and cutMargin is left to their last responses.
	closeMargin = 500 * time.Millisecond
	cutMargin   = 200 * time.Millisecond
	// unusedConnTime is how long a connection without a request is kept after the listener
	// has closed: a caller that has just opened it sends a request at once, and must hear
	// that it has not run.
	unusedConnTime = time.Second
	// stopPollInterval is the time between two checks whether all connections have ended.
	stopPollInterval = 20 * time.Millisecond
	// stopRetryDelay is the retry delay that a caller is given by an entry that stops: the
	// others serve it at once.
	stopRetryDelay = 50 * time.Millisecond
)

// errStopped ends a gate after a planned stop, and the requests that outlast it.
var errStopped = errors.New("the gate has stopped as planned")

// Stop begins a planned stop: the gate is reported as not ready, then each
// connection ends with its last response.
func (g *Gate) Stop() {
	g.stopOnce.Do(func() {
		g.stopEndsAt.Store(g.now().Add(g.Settings().Grace - closeMargin))
		g.stopping.Store(true)
		g.Log.Info("stop begins")
		g.wakeSync()
	})
}

// awaitStop waits for Stop, then ends the gate when all connections of callers have ended or
// the grace time is nearly over.
func (g *Gate) awaitStop(front net.Listener) error {
	for !g.stopping.Load() {
		g.sleep(pollInterval)
		if !g.alive() {
			return nil
		}
	}
	stopStartedAt := g.now()
	g.sleep(balancerNoticeDelay)
	g.frontClosed.Store(true)
	if err := front.Close(); err != nil {
		g.Log.WithError(err).Warn("listener for callers not closed")
	}
	g.awaitConns(g.stopEndsAt.Load().Add(-cutMargin))
	cut := g.inFlight.Load()
	g.cutCalls(errStopped)
	g.awaitConns(g.stopEndsAt.Load())
	g.Log.WithFields(log.Fields{"tookMs": g.now().Sub(stopStartedAt).Milliseconds(), "cut": cut, "connections": g.openConns()}).Info("requests ended")
	return errStopped
}

// awaitConns waits until all connections of callers have ended, or until a time. It closes
// those that wait for a request.
func (g *Gate) awaitConns(until time.Time) {
	for g.alive() && g.openConns() > 0 && g.now().Before(until) {
		g.closeIdle(g.now(), 0, unusedConnTime)
		g.sleep(stopPollInterval)
	}
}

// openConns returns the number of connections of callers.
func (g *Gate) openConns() int {
	g.idleMu.Lock()
	defer g.idleMu.Unlock()
	return g.connCount
}

// refuseIfStopping refuses a request that a planned stop may cut: one that usually takes
// longer than is left, and any one once callers reach other entries.
func (c *call) refuseIfStopping() *savoryverdict.Error {
	if c.g.frontClosed.Load() {
		return savoryverdict.Unavailable("Stopping", stopRetryDelay, "this entry is stopping")
	}
	if !c.g.stopping.Load() {
		return nil
	}
	needed, ok := c.g.durations.needed(c.service.Name, c.route.Repeatable())
	if !ok {
		needed = c.route.Objective
	}
	left := c.g.stopEndsAt.Load().Add(-cutMargin).Sub(c.g.now())
	if left >= needed {
		return nil
	}
	return savoryverdict.Unavailable("Stopping", stopRetryDelay, "this entry stops in %s, a request of service %s takes %s",
		left.Round(time.Millisecond), c.service.Name, needed.Round(time.Millisecond))
}

// durationWeight is the divisor by which a new duration enters the moving averages.
const durationWeight = 8

// durations holds how long answered requests take, by service. The zero value is ready for
// use.
type durations struct {
	mu     sync.Mutex
	recent map[string]recentDuration
}

// recentDuration is the moving average of durations, and the longest of them, which approaches
// shorter ones as slowly.
type recentDuration struct{ mean, longest time.Duration }

// record adds the duration of an answered request.
func (d *durations) record(service string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.recent == nil {
		d.recent = make(map[string]recentDuration)
	}
	r, ok := d.recent[service]
	if !ok {
		r.mean = took
	}
	r.mean += (took - r.mean) / durationWeight
	r.longest = max(took, r.longest+(took-r.longest)/durationWeight)
	d.recent[service] = r
}

// needed returns the time that must be left for a request: the mean if it may be repeated,
// otherwise the longest, since the outcome would be unknown if it were cut. The result is false if no
// request of the service was answered yet.
func (d *durations) needed(service string, repeatable bool) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.recent[service]
	if repeatable {
		return r.mean, ok
	}
	return r.longest, ok
}
