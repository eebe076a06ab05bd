package savorygate

// This file keeps the configuration and the list of servers up to date from the
// store. A few entries read it and hand on what is new; the others read it
// themselves only while they hear nothing.

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savorystore"
)

const (
	// tick is the interval at which the entry looks what is to be read.
	tick = 100 * time.Millisecond
	// listPart is the interval of the readings of the list as a part of the
	// time in which a leaving server must be known.
	listPart = 0.3
	// stalePart is the age of the list, as a part of the same time, from which
	// on an entry that is no reader reads it itself.
	stalePart = 0.55
	// storeTimeout bounds a call of the store.
	storeTimeout = time.Second
	// storePause is the pause after a failed call.
	storePause = 300 * time.Millisecond
	// watchTime is how long one watch waits; the store bounds it to 30 s.
	watchTime = 20 * time.Second
	// configPause is the least time between two readings of the configuration
	// by an entry that hears nothing.
	configPause = 500 * time.Millisecond
	// storeFresh is the age of the last answer up to which the store counts as
	// working.
	storeFresh = 2 * time.Second
)

// put puts a configuration in force unless it is older than the one in force.
func (g *Gate) put(cfg *savoryrouting.Config, source string) bool {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if old := g.table.Load(); old != nil && old.Config.Version >= cfg.Version {
		return false
	}
	g.table.Store(savoryrouting.NewTable(cfg))
	g.view.configured(cfg)
	g.setBudgets()
	g.metrics.version.Set(float64(cfg.Version))
	g.Log.WithFields(log.Fields{
		"version": cfg.Version, "routes": len(cfg.Routes), "services": len(cfg.Services), "customers": len(cfg.Customers), "source": source,
	}).Info("configuration in force")
	return true
}

func (g *Gate) config() *savoryrouting.Config {
	if t := g.table.Load(); t != nil {
		return t.Config
	}
	return nil
}

// followConfig watches the configuration while this entry is a reader, and
// reads it while the entry hears nothing.
func (g *Gate) followConfig() error {
	after := int64(0)
	for g.alive() {
		if !g.readsConfig() {
			after = 0
			g.sleep(tick)
			continue
		}
		var err error
		if after == 0 {
			after, err = g.readConfig()
		} else {
			after, err = g.watchConfig(after)
		}
		if err != nil {
			g.sleep(storePause)
		}
	}
	return nil
}

// readsConfig reports whether this entry reads the configuration now.
func (g *Gate) readsConfig() bool {
	return g.table.Load() == nil || g.relay.rank(g.now()) < configReaders || g.listAge() > g.staleAge()
}

// readConfig reads the configuration and returns the revision to watch from.
func (g *Gate) readConfig() (int64, error) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	v, err := g.Store.Get(ctx, g.Store.ConfigKey)
	g.storeAnswered("get", err)
	if err != nil {
		return 0, err
	}
	if !v.Found() {
		g.sleep(storePause)
		return 0, nil
	}
	g.takeConfig(v)
	return v.Revision, nil
}

// watchConfig waits for a newer configuration.
func (g *Gate) watchConfig(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(g.ctx, watchTime+storeTimeout)
	defer cancel()
	// A reader that lost its rank ends its watch; a waiting one costs nothing.
	values, next, err := g.Store.Watch(ctx, g.Store.ConfigKey, after, watchTime)
	if errors.Is(err, ErrHistoryGone) {
		g.Log.WithField("after", after).Info("history of the store is gone; the configuration is read anew")
		return 0, nil
	}
	g.storeAnswered("watch", err)
	if err != nil {
		return 0, err
	}
	for _, v := range values {
		if v.Key == g.Store.ConfigKey && v.Body != nil {
			g.takeConfig(v)
		}
	}
	return max(after, next), nil
}

func (g *Gate) takeConfig(v savorystore.Value) {
	cfg, err := g.Store.ReadConfig(v.Body)
	if err != nil {
		g.Log.WithError(err).WithField("revision", v.Revision).Error("configuration refused")
		return
	}
	if g.put(cfg, "store") {
		// The entries that do not read the store hear of it at once.
		g.wakeRelay()
	}
}

// followList reads the list of servers while this entry is the reader or its
// list has grown old.
func (g *Gate) followList() error {
	var readAt time.Time
	for g.alive() {
		now := g.now()
		every := time.Duration(listPart * float64(g.Settings().DrainTime))
		reader := g.relay.rank(now) < listReaders
		due := now.Sub(readAt) >= every && (reader || g.listAge() > g.staleAge())
		if !due {
			g.sleep(tick / 2)
			continue
		}
		readAt = now
		if err := g.readList(); err != nil {
			g.sleep(storePause)
		}
	}
	return nil
}

func (g *Gate) staleAge() time.Duration {
	return time.Duration(stalePart * float64(g.Settings().DrainTime))
}

func (g *Gate) listAge() time.Duration {
	if !g.view.listed() {
		return time.Hour
	}
	_, age := g.view.listing(g.now())
	return age
}

// readList reads the list of servers.
func (g *Gate) readList() error {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	readAt := g.now()
	values, revision, err := g.Store.List(ctx, g.Store.ServerPrefix, false)
	g.storeAnswered("list", err)
	if err != nil {
		return err
	}
	l := &savoryroster.Listing{Revision: revision}
	for _, v := range values {
		id := strings.TrimPrefix(v.Key, g.Store.ServerPrefix)
		s, err := g.Store.ReadServer(id, v.Body)
		if err != nil {
			g.badEntry(v, err)
			continue
		}
		l.Servers = append(l.Servers, s)
	}
	g.takeList(l, readAt, "store")
	g.wakeRelay()
	return nil
}

// badEntry logs an entry that cannot be read, once for each content.
func (g *Gate) badEntry(v savorystore.Value, err error) {
	if g.badEntries[v.Key] == err.Error() {
		return
	}
	if g.badEntries == nil || len(g.badEntries) > maxBadEntries {
		g.badEntries = make(map[string]string)
	}
	g.badEntries[v.Key] = err.Error()
	g.Log.WithError(err).WithField("key", v.Key).Warn("entry of the list cannot be read")
}

// maxBadEntries bounds the unreadable entries that are remembered.
const maxBadEntries = 256

// takeList takes a list that was read at readAt.
func (g *Gate) takeList(l *savoryroster.Listing, readAt time.Time, source string) {
	now := g.now()
	for _, c := range g.view.list(l, readAt, now, g.config()) {
		g.Log.WithFields(log.Fields{
			"server": c.Server.ID, "change": c.What, "service": c.Server.Service, "zone": c.Server.Zone, "layers": c.Server.Holds.String(),
			"beat": c.Server.Beat, "revision": l.Revision, "ageMs": now.Sub(readAt).Milliseconds(), "source": source,
		}).Info("server changed")
	}
	g.metrics.listAge.Set(now.Sub(readAt).Seconds())
}

// storeAnswered notes the result of a store call.
func (g *Gate) storeAnswered(op string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	g.metrics.storeCalls.WithLabelValues(op, result).Inc()
	if err == nil {
		g.storeAt.Store(g.now().UnixNano())
		if g.storeLost.CompareAndSwap(true, false) {
			g.Log.WithField("operation", op).Info("store regained")
		}
		return
	}
	if g.ctx.Err() != nil {
		return
	}
	g.view.storeBroken()
	if g.storeLost.CompareAndSwap(false, true) {
		g.Log.WithError(err).WithField("operation", op).Warn("store lost")
	}
}

// storeWorks reports whether the store answered lately.
func (g *Gate) storeWorks() bool {
	return !g.storeLost.Load() && g.now().Sub(time.Unix(0, g.storeAt.Load())) < storeFresh*10
}
