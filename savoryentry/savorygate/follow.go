package savorygate

// This file keeps the configuration and the list of servers up to date from the
// store. One entry reads the store and passes changes on to the others, which read
// it themselves only while they receive no updates.

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savorystore"
)

const (
	// pollInterval is the interval at which the entry checks whether a reading is
	// due.
	pollInterval = 100 * time.Millisecond
	// listIntervalFraction is the interval between readings of the list, as a
	// fraction of Settings.DrainTime: a leaving server must be known within it.
	listIntervalFraction = 0.3
	// staleListFraction is the age of the list, as a fraction of DrainTime,
	// above which an entry that is not the reader reads it itself.
	staleListFraction = 0.55
	// storeTimeout bounds a store call that transfers few bytes.
	storeTimeout = time.Second
	// storeRetryDelay is the delay after a failed call; it doubles up to
	// maxStoreRetryDelay.
	storeRetryDelay    = 300 * time.Millisecond
	maxStoreRetryDelay = 1200 * time.Millisecond
	// discoveryWindow is the time in which entries that start together find each
	// other. initialReadWindow is the time in which the first of them reads the
	// store for all.
	discoveryWindow   = 400 * time.Millisecond
	initialReadWindow = 1500 * time.Millisecond
	// storeResultTTL is the age of the last successful call up to which the store
	// counts as reachable. It is long because entries that are not the reader call
	// the store seldom.
	storeResultTTL = 20 * time.Second
)

// setConfig puts a configuration in force unless one of the same or a higher
// version is in force. It reports whether it did.
func (g *Gate) setConfig(cfg *savoryrouting.Config, source string) bool {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	startedAt := g.now()
	if old := g.table.Load(); old != nil && old.Config.Version >= cfg.Version {
		return false
	}
	g.table.Store(savoryrouting.NewTable(cfg))
	g.view.setConfig(cfg)
	g.setBudgets()
	g.metrics.version.Set(float64(cfg.Version))
	g.news.mu.Lock()
	heardFor := g.news.tracker.SetInForce(cfg.Version, g.bootNow())
	g.news.mu.Unlock()
	g.Log.WithFields(log.Fields{
		"version": cfg.Version, "routes": len(cfg.Routes), "services": len(cfg.Services), "customers": len(cfg.Customers), "source": source,
		"heardMs": heardFor.Milliseconds(), "applyMs": g.now().Sub(startedAt).Milliseconds(),
	}).Info("configuration in force")
	return true
}

func (g *Gate) config() *savoryrouting.Config {
	if t := g.table.Load(); t != nil {
		return t.Config
	}
	return nil
}

// followConfig reads the configuration while this entry is the reader or receives no
// updates. It polls, because a watch may deliver no events while the configuration
// changes.
func (g *Gate) followConfig() error {
	return g.pollStore(g.readConfig, g.fetchStuck)
}

// followList reads the list of servers under the same conditions.
func (g *Gate) followList() error {
	var snapshots listSnapshots
	never := func(time.Time) bool { return false }
	return g.pollStore(func() (*transfer, error) { return nil, g.readList(&snapshots) }, never)
}

// pollStore calls read at the interval of the readings while this entry is the
// reader, its list is stale, it has no configuration or urgent returns true. Failed
// readings back off, since every entry reads while the store is unreachable; the first
// entry repeats them until one succeeds, since it is not the reader until then, and the
// others may leave the store to it. An entry that passes nothing on spaces readings for
// which read returns a transfer.
func (g *Gate) pollStore(read func() (*transfer, error), urgent func(time.Time) bool) error {
	var readAt time.Time
	var last *transfer
	var failed error
	delay := storeRetryDelay
	for g.alive() {
		now := g.now()
		interval := time.Duration(listIntervalFraction * float64(g.Settings().DrainTime))
		reader := g.relay.storeRank(now) < maxStoreReaders
		repeats := failed != nil && g.relay.isFirst(now)
		if repeats {
			interval = 0 // it has waited for delay
		}
		if last != nil && (!reader || g.relay.liveCount(now) == 1) {
			interval = readingInterval(interval, last.received, last.took(), g.Settings().ConfigTime)
		}
		needed := reader || repeats || g.lacksUpdates() || urgent(now)
		if now.Sub(readAt) < interval || !needed || g.deferToFirstReader(now) {
			g.sleep(pollInterval / 2)
			continue
		}
		readAt = now
		t, err := read()
		failed = err
		if err != nil {
			g.sleep(delay)
			delay = min(2*delay, maxStoreRetryDelay)
			continue
		}
		last, delay = t, storeRetryDelay
	}
	return nil
}

// lacksUpdates reports whether the list is stale or there is no configuration.
func (g *Gate) lacksUpdates() bool {
	return g.listAge() > g.staleListAge() || g.table.Load() == nil
}

// deferToFirstReader reports whether the whole system has just started and another
// entry reads the store first, which then passes its readings on to this one.
func (g *Gate) deferToFirstReader(now time.Time) bool {
	return g.Settings().FirstStart && now.Sub(g.startedAt) < initialReadWindow &&
		(now.Sub(g.startedAt) < discoveryWindow || g.relay.position(now, func(*relayPeer) bool { return true }) > 0)
}

// readConfig reads the configuration.
func (g *Gate) readConfig() (*transfer, error) {
	silence := max(storeTimeout, g.configTimeout)
	readAt := g.bootNow()
	t, ctx, stop := g.startTransfer(silence, maxConfigBytes)
	defer stop()
	v, err := g.Store.Get(ctx, g.Store.ConfigKey)
	g.recordStoreResult("get", err)
	g.configTimeout = storeTimeout
	if errors.Is(err, context.DeadlineExceeded) {
		// The store may be slow to respond.
		g.configTimeout = min(2*silence, g.Settings().ConfigTime)
	}
	if err != nil && g.ctx.Err() == nil {
		g.Log.WithError(err).WithFields(log.Fields{
			"received": t.received, "tookMs": g.now().Sub(t.startedAt).Milliseconds(), "silenceMs": silence.Milliseconds(),
		}).Warn("configuration not read")
	}
	if err != nil || !v.Exists() || g.outdated(v.Era) {
		return t, err
	}
	if v.Position() != g.configPosition {
		g.configPosition = v.Position()
		g.configRefused = !g.applyConfig(v)
	}
	if !g.configRefused {
		g.confirmOwnReading(readAt)
	}
	return t, nil
}

// applyConfig puts a configuration that was read in force, and reports whether it is one.
func (g *Gate) applyConfig(v savorystore.Value) bool {
	cfg, err := g.Store.ReadConfig(v.Body)
	if err != nil {
		g.Log.WithError(err).WithField("revision", v.Revision).Error("configuration refused")
		return false
	}
	if g.setConfig(cfg, "store") {
		// The entries that do not read the store receive it at once.
		g.wakeSync()
	}
	return true
}

func (g *Gate) staleListAge() time.Duration {
	return time.Duration(staleListFraction * float64(g.Settings().DrainTime))
}

func (g *Gate) listAge() time.Duration {
	if !g.view.hasList() {
		return time.Hour
	}
	_, known := g.view.listForPeers(g.bootNow())
	return known.ListAge
}

// listSnapshots are the snapshots that are written beside readings of the list.
type listSnapshots struct{ list, quarantine snapshotState }

// readList reads the list of servers.
func (g *Gate) readList(snapshots *listSnapshots) error {
	_, ctx, stop := g.startTransfer(storeTimeout, maxListBytes)
	defer stop()
	readAt := g.bootNow()
	values, position, err := g.Store.List(ctx, g.Store.ServerPrefix, false)
	g.recordStoreResult("list", err)
	if err != nil {
		return err
	}
	if g.outdated(position.Era) {
		return errStoreRestored
	}
	l := &savoryroster.Listing{Era: position.Era, Revision: position.Revision}
	for _, v := range values {
		id := strings.TrimPrefix(v.Key, g.Store.ServerPrefix)
		s, err := g.Store.ReadServer(id, v.Body)
		if err != nil {
			g.logBadRegistration(v, err)
			continue
		}
		l.Servers = append(l.Servers, s)
	}
	g.loadListSnapshot(ctx)
	g.loadQuarantine(ctx)
	if g.applyList(l, reading{id: rand.Uint64(), at: readAt}, "store") {
		g.wakeSync()
	}
	if g.relay.storeRank(g.now()) < maxStoreReaders {
		g.storeListSnapshot(&snapshots.list)
		g.storeQuarantine(&snapshots.quarantine)
	}
	return nil
}

// logBadRegistration logs an unreadable registration of a server, once for each key and
// error.
func (g *Gate) logBadRegistration(v savorystore.Value, err error) {
	if g.badRegistrations[v.Key] == err.Error() {
		return
	}
	if g.badRegistrations == nil || len(g.badRegistrations) > maxBadRegistrations {
		g.badRegistrations = make(map[string]string)
	}
	g.badRegistrations[v.Key] = err.Error()
	g.Log.WithError(err).WithField("key", v.Key).Warn("entry of the server list cannot be read")
}

// maxBadRegistrations bounds Gate.badRegistrations.
const maxBadRegistrations = 256

// applyList applies a reading of the list, and reports whether it changed the state
// of any server.
func (g *Gate) applyList(l *savoryroster.Listing, r reading, source string) bool {
	changes := g.view.applyList(l, r, g.now(), g.config())
	age := g.bootNow().Sub(r.at)
	for _, c := range changes {
		g.Log.WithFields(log.Fields{
			"server": c.Server.ID, "change": c.Kind, "service": c.Server.Service, "zone": c.Server.Zone, "layers": c.Server.Holds.String(),
			"beat": c.Server.Beat, "revision": l.Revision, "ageMs": age.Milliseconds(), "source": source,
		}).Info("server changed")
		if c.Kind == "leaving" || c.Kind == "gone" {
			go g.moveStreamsOff(c.Server.ID)
		}
	}
	g.metrics.listAge.Set(age.Seconds())
	return len(changes) > 0
}

// recordStoreResult records the result of a store call.
func (g *Gate) recordStoreResult(op string, err error) {
	g.metrics.storeCalls.WithLabelValues(op, resultOf(err)).Inc()
	if err == nil {
		g.storeContactAt.Store(g.now())
		if g.storeUnreachable.CompareAndSwap(true, false) {
			g.Log.WithField("operation", op).Info("store reachable again")
		}
		return
	}
	if g.ctx.Err() != nil {
		return
	}
	g.view.readFailed()
	if g.storeUnreachable.CompareAndSwap(false, true) {
		g.Log.WithError(err).WithField("operation", op).Warn("store unreachable")
	}
}

// storeWorks reports whether the last store call succeeded, not longer than
// storeResultTTL ago.
func (g *Gate) storeWorks() bool {
	return !g.storeUnreachable.Load() && g.now().Sub(g.storeContactAt.Load()) < storeResultTTL
}
