package savorygate

// This file gives orders to engines. One entry at a time is the orderer, by a lease
// in the store. The plan is stored there too, so that a successor continues it.

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryplacement"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savorywire"
)

const (
	ordererKey = "savorycart/orderer"
	planPrefix = "savorycart/plan/"
	// outageDelay is how long the list must have been stale before the store counts
	// as unreachable for all entries: within it each entry reads the store itself.
	outageDelay = 400 * time.Millisecond
	// orderInterval is the interval of the orderer's rounds.
	orderInterval = 200 * time.Millisecond
	// orderTimeout bounds the call of one order, and other calls of the orderer.
	orderTimeout = 500 * time.Millisecond
	// loadCheckInterval is the interval of the requests for the report of an engine
	// that loads layers. Another engine is ordered if it no longer responds.
	loadCheckInterval = time.Second
	// confirmInterval is the interval of the requests for an engine's report until
	// its order is done, maxConfirmAttempts their number.
	confirmInterval    = 400 * time.Millisecond
	maxConfirmAttempts = 6
)

// orderer is the state of an entry as the orderer.
type orderer struct {
	leaseState savoryplacement.OrdererLease
	lease      savorystore.Lease
	// round counts the rounds in which engines are asked for their reports.
	round int
	// substitute is set while the entry gives orders without a lease.
	substitute bool
	// services hold the plans by service. They are kept when the entry acquires the
	// lease after it gave orders without one.
	services map[string]*serviceOrders
}

type serviceOrders struct {
	savoryplacement.Orderer
	// revision is the revision of the plan in the store, and era the era in which it
	// was read or written. planChanged is set if the plan in force differs from it.
	revision    int64
	era         int64
	planChanged bool
}

// runOrders competes for the orderer's lease and gives orders while this entry is
// the orderer.
func (g *Gate) runOrders() error {
	o := &orderer{}
	for g.alive() {
		g.sleep(orderInterval)
		if g.stopping.Load() {
			g.resign(o)
			return nil
		}
		cfg := g.config()
		if cfg == nil || !g.view.hasList() {
			continue
		}
		if !g.mayGiveOrders(o) {
			continue
		}
		for i := range cfg.Services {
			s := &cfg.Services[i]
			if s.Engine != nil && s.Engine.Layers > 0 {
				g.orderService(o, s)
			}
		}
	}
	return nil
}

// observe returns the state of the store and of the other entries as this entry
// observes it.
func (g *Gate) observe(now time.Time) savoryplacement.Observation {
	return savoryplacement.Observation{
		ListAge: g.listAge(), UnreachableAge: g.staleListAge() + outageDelay, LiveEntries: g.relay.liveCount(now),
		First: g.relay.isFirst(now), StoreFirst: g.relay.storeRank(now) == 0, OtherOrderer: g.relay.otherOrderer(now),
	}
}

// mayGiveOrders acquires or renews the lease when this is due, and reports whether
// this entry gives orders.
func (g *Gate) mayGiveOrders(o *orderer) bool {
	now := g.now()
	if g.leaseOutdated(o.lease) {
		g.stopOrdering(o, errStoreRestored)
	}
	observed := g.observe(now)
	action := o.leaseState.Next(observed, now)
	switch action {
	case savoryplacement.ActionRenew:
		return g.renewOrdererLease(o, now)
	case savoryplacement.ActionAcquire:
		if err := g.acquireOrdererLease(o, now); err != nil {
			g.Log.WithError(err).Info("orderer's lease not acquired")
			// The store may have become unreachable again; the next round decides.
			return o.substitute
		}
		return true
	case savoryplacement.ActionSubstitute:
		if !o.substitute {
			o.substitute = true
			g.startOrdering(o)
			g.Log.WithFields(log.Fields{"listAgeMs": observed.ListAge.Milliseconds(), "live": observed.LiveEntries}).Warn("giving orders without a lease: the store is unreachable for all entries and there is no other orderer")
		}
		return true
	}
	if action == savoryplacement.ActionNone && o.substitute {
		g.stopOrdering(o, fmt.Errorf("list age %s, first live entry %t, live peer is the orderer %t", observed.ListAge, observed.First, observed.OtherOrderer))
	}
	return action == savoryplacement.ActionOrder
}

// renewOrdererLease renews the lease and reports whether this entry may give orders.
func (g *Gate) renewOrdererLease(o *orderer, now time.Time) bool {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	lease, err := g.Store.KeepAlive(ctx, o.lease.ID)
	g.recordStoreResult("keepalive", err)
	if err == nil && lease.Era != o.lease.Era {
		err = errStoreRestored
		g.stopOrdering(o, err)
		return false
	}
	if err == nil {
		o.lease = lease
		o.leaseState.Granted(lease.TTL, now)
		return true
	}
	if savorystore.IsLeaseExpired(err) {
		g.stopOrdering(o, err)
		return false
	}
	wasOutage := o.leaseState.Outage()
	observed := g.observe(now)
	action := o.leaseState.RenewalUnanswered(observed, now)
	if action == savoryplacement.ActionResign {
		g.stopOrdering(o, err)
	}
	if o.leaseState.Outage() && !wasOutage {
		g.Log.WithField("listAgeMs", observed.ListAge.Milliseconds()).Warn("orderer continues while the store is unreachable for all entries")
	}
	return action == savoryplacement.ActionOrder
}

// startOrdering prepares the state of the orderer and reports this entry as the
// orderer to peers.
func (g *Gate) startOrdering(o *orderer) {
	if o.services == nil {
		o.services = make(map[string]*serviceOrders)
	}
	g.ordering.Store(true)
}

func (g *Gate) acquireOrdererLease(o *orderer, now time.Time) error {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	current, err := g.Store.Get(ctx, ordererKey)
	g.recordStoreResult("get", err)
	if err != nil {
		return err
	}
	if current.Exists() {
		return fmt.Errorf("key %s is held by %s", ordererKey, current.Body)
	}
	lease, err := g.Store.Grant(ctx, max(savoryplacement.LeaseTTL, g.Settings().MinLeaseTTL))
	g.recordStoreResult("grant", err)
	if err != nil {
		return err
	}
	result, err := g.Store.Swap(ctx, savorystore.Swap{Key: ordererKey, Body: []byte(g.Settings().Peers.String()), Lease: lease.ID})
	g.recordStoreResult("swap", err)
	if err != nil {
		return err
	}
	switch {
	case !result.Applied:
		return fmt.Errorf("%s was acquired by %s", ordererKey, result.Current.Body)
	case result.Era != lease.Era || g.leaseOutdated(lease):
		return errStoreRestored
	}
	o.lease, o.substitute = lease, false
	o.leaseState.Granted(lease.TTL, now)
	g.startOrdering(o)
	g.Log.WithFields(log.Fields{"lease": lease.ID, "revision": result.Revision}).Info("orderer lease acquired")
	return nil
}

func (g *Gate) stopOrdering(o *orderer, err error) {
	g.Log.WithError(err).Info("orderer stopped giving orders")
	*o = orderer{}
	g.ordering.Store(false)
}

// resign revokes the lease, so that a successor can start at once.
func (g *Gate) resign(o *orderer) {
	if !o.leaseState.Held() {
		if o.substitute {
			g.stopOrdering(o, errStopped)
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if g.leaseOutdated(o.lease) {
		g.stopOrdering(o, errStoreRestored)
		return
	}
	err := g.Store.Revoke(ctx, o.lease.ID) //nolint:contextcheck // the gate's own context may have ended
	g.recordStoreResult("revoke", err)
	g.stopOrdering(o, err)
}

// orderService updates the plan of a service and gives its orders.
func (g *Gate) orderService(o *orderer, s *savoryrouting.Service) {
	o.round++
	so := o.services[s.Name]
	if so == nil {
		var err error
		if so, err = g.loadPlan(s.Name); err != nil && !o.substitute {
			return
		}
		so.ListedAt = g.view.firstListTime()
		o.services[s.Name] = so
	}
	now := g.now()
	servers, failing := g.view.servers(s.Name, now)
	if anyHoldsLayers(servers) {
		g.surveyEngines(servers, failing, o.round)
	}
	engines := so.usableEngines(servers, failing, now)
	if so.Replan(s.Engine, engines, now) {
		g.Log.WithFields(log.Fields{"service": s.Name, "engines": len(engines), "unit": so.Plan().Unit, "placed": len(so.Plan().Layers), "failing": len(failing)}).Info("plan changed")
		so.planChanged = true
	}
	if so.planChanged && g.storeWorks() {
		if err := g.storePlan(s.Name, so); err != nil {
			g.Log.WithError(err).Warn("plan not stored")
		}
	}
	lease, substitute := o.leaseState, o.substitute
	mayOrder := func() bool { return lease.Valid(g.now()) || substitute && g.now().Sub(now) < orderTimeout }
	for _, order := range so.Orders(s.Engine, servers, failing, now) {
		go g.giveOrder(s, order, anyHoldsLayers(servers), mayOrder)
	}
}

// usableEngines returns the engines to plan for, and removes from failing those that
// were ordered recently: what looks like their failure may be the order.
func (so *serviceOrders) usableEngines(servers []savoryroster.Server, failing map[string]bool, now time.Time) []savoryplacement.Engine {
	var engines []savoryplacement.Engine
	for _, server := range servers {
		if so.RecentlyOrdered(server, now) {
			delete(failing, server.ID)
		}
		if !failing[server.ID] {
			engines = append(engines, savoryplacement.Engine{
				ID: server.ID, Zone: server.Zone, Accelerator: server.Accelerator, Holds: server.Holds,
			})
		}
	}
	return engines
}

func anyHoldsLayers(servers []savoryroster.Server) bool {
	for _, s := range servers {
		if !s.Holds.Empty() {
			return true
		}
	}
	return false
}

// loadPlan reads the plan of a service from the store. Without a readable plan, and
// with an error, the returned orders start from the layers that the engines hold.
func (g *Gate) loadPlan(service string) (*serviceOrders, error) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	v, err := g.Store.Get(ctx, planPrefix+service)
	g.recordStoreResult("get", err)
	so := &serviceOrders{revision: v.Revision, era: v.Era}
	if err != nil || !v.Exists() {
		so.Resume(savoryplacement.Plan{})
		return so, err
	}
	var plan savoryplacement.Plan
	if err := savorywire.Decode(v.Body, &plan); err != nil {
		g.Log.WithError(err).WithField("key", v.Key).Error("plan cannot be read; a new plan starts from the layers that the engines hold")
		so.Resume(savoryplacement.Plan{})
		return so, nil
	}
	if plan.Era < v.Era {
		// The plan was written before the store was restored from a copy, and a
		// later one may be lost. Engines keep the layers that they hold.
		so.ResumeHeld(plan)
		return so, nil
	}
	so.Resume(plan)
	return so, nil
}

// storePlan writes the plan to the store. It fails if another orderer has written
// one since.
func (g *Gate) storePlan(service string, so *serviceOrders) error {
	era := g.storeEra.Load()
	plan := so.Plan()
	plan.Era = era
	body, err := savorywire.Encode(plan)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	if so.era != era {
		// The revision belongs to an earlier era.
		current, err := g.Store.Get(ctx, planPrefix+service)
		g.recordStoreResult("get", err)
		if err != nil {
			return err
		}
		so.revision, so.era = current.Revision, current.Era
	}
	result, err := g.Store.Swap(ctx, savorystore.Swap{Key: planPrefix + service, ExpectedRevision: so.revision, Body: body})
	g.recordStoreResult("swap", err)
	if err != nil {
		return err
	}
	if !result.Applied {
		so.revision = result.Current.Revision
		return fmt.Errorf("another orderer wrote the plan at revision %d", result.Current.Revision)
	}
	so.revision, so.planChanged = result.Revision, false
	return nil
}

// giveOrder gives one order to an engine. If the service is serving requests, it then
// polls the engine's report until the order is done or maxConfirmAttempts are over.
// mayOrder reports whether the lease still allows the order: the process may have been
// paused since the order was decided.
func (g *Gate) giveOrder(s *savoryrouting.Service, order savoryplacement.Order, serving bool, mayOrder func() bool) {
	report, err := g.engineReport(order.Server)
	if err != nil {
		g.Log.WithError(err).WithField("server", order.Server.ID).Info("order not given: no report from the engine")
		return
	}
	if report.Holds == order.Layers || report.Busy {
		g.view.recordReport(order.Server.ID, report, g.config())
		return
	}
	if !mayOrder() {
		g.Log.WithField("server", order.Server.ID).Info("order not given: the lease has run out since the decision")
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	result, err := g.Engines.Place(ctx, order.Server.Address, order.Server.ID, order.Layers, report.OrderCount, order.Urgent)
	cancel()
	logEntry := g.Log.WithFields(log.Fields{
		"server": order.Server.ID, "layers": order.Layers.String(), "held": report.Holds.String(), "expected": report.OrderCount, "urgent": order.Urgent, "result": string(result),
	})
	if err != nil {
		logEntry = logEntry.WithError(err)
		result = "NoAnswer"
	}
	logEntry.Info("order given")
	if result == OrderBegun {
		// Until the order is done, the engine serves only the layers that it keeps.
		report.OrderCount++
		report.Holds, report.Busy = report.Holds.Intersect(order.Layers), true
		g.view.recordReport(order.Server.ID, report, g.config())
		g.wakeSync()
	}
	g.metrics.orders.WithLabelValues("Place", string(result)).Inc()
	if serving {
		g.awaitLoad(s, order)
	}
}

// awaitLoad polls the report of an engine that was ordered to load layers, until the
// order is done, maxConfirmAttempts are over, or the engine does not respond.
func (g *Gate) awaitLoad(s *savoryrouting.Service, order savoryplacement.Order) {
	loadedAt := g.now().Add(time.Duration(float64(s.Engine.LoadTime) * float64(order.Layers.Count()) / float64(s.Engine.Layers)))
	for wait := loadedAt.Sub(g.now()); wait > loadCheckInterval; wait = loadedAt.Sub(g.now()) {
		g.sleep(loadCheckInterval)
		if _, err := g.engineReport(order.Server); err != nil && g.alive() {
			until := g.view.recordFailure(order.Server.ID, true, g.now())
			g.Log.WithError(err).WithFields(log.Fields{"server": order.Server.ID, "avoidedMs": until.Sub(g.now()).Milliseconds()}).Info("engine does not respond while it loads layers")
			return
		}
	}
	g.sleep(loadedAt.Sub(g.now()))
	for range maxConfirmAttempts {
		if !g.alive() {
			return
		}
		report, err := g.engineReport(order.Server)
		if err == nil && report.Holds == order.Layers && !report.Busy {
			g.view.recordReport(order.Server.ID, report, g.config())
			g.Log.WithFields(log.Fields{"server": order.Server.ID, "layers": report.Holds.String(), "orders": report.OrderCount}).Info("order done")
			g.wakeSync()
			return
		}
		g.sleep(confirmInterval)
	}
}

// engineReport requests an engine's report. A report of another incarnation of the
// server is an error.
func (g *Gate) engineReport(server savoryroster.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	sentAt := g.now()
	report, err := g.Engines.Report(ctx, server.Address)
	if err != nil {
		return Report{}, err
	}
	if report.StartedAt.Equal(server.Born) {
		g.observeReport(server.ID, sentAt, report)
	}
	if !report.StartedAt.Equal(server.Born) {
		return Report{}, fmt.Errorf("server %s: reported start time %s, listed start time %s", server.ID, report.StartedAt, server.Born)
	}
	return report, nil
}
