package savorynode

// This file defines orderer, which holds the orderer's lease and sends orders
// to engines.

import (
	"context"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryorder"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// ordererPrefix is the prefix of the store key of a region's orderer.
	ordererPrefix = "savorycart/orderer/"
	// orderInterval is the time between two rounds of orders.
	orderInterval = time.Second
	// maxStatusPerRound bounds the engines whose status is read in one round.
	maxStatusPerRound = 8
	// leaseMarginDivisor sets the margin of the lease: the holder stops
	// sending orders 1/leaseMarginDivisor of the lease time before the lease
	// expires.
	leaseMarginDivisor = 3
)

// orderer competes for the region's lease. While it holds the lease, it sends
// the orders of savoryorder.Planner.
type orderer struct {
	settings OrderSettings
	region   string
	name     string
	store    *savorystore.Store
	engines  *savoryengine.Client
	keeper   *configKeeper
	log      log.Interface
	now      func() time.Time
	metrics  *metrics
	// onLeaving is called with the name of each engine that reports that it
	// is leaving.
	onLeaving func(server string)

	ordererLease savoryorder.Lease
	planner      savoryorder.Planner
	leaseID      int64
}

// run competes for the lease and sends orders until t dies.
func (o *orderer) run(t *tomb.Tomb) error {
	o.ordererLease.Margin = o.settings.LeaseTime.AsDuration() / leaseMarginDivisor
	o.planner.MaxLoading = o.settings.MaxLoading
	for {
		ctx := t.Context(context.Background())
		if o.holdLease(ctx) {
			o.round(ctx)
		}
		if !sleepTomb(t, orderInterval) {
			o.releaseLease()
			return nil
		}
	}
}

// holdLease acquires or renews the lease and reports whether orders may be
// sent.
func (o *orderer) holdLease(ctx context.Context) bool {
	requestedAt := o.now()
	if _, held := o.ordererLease.Fence(requestedAt); held {
		o.renewLease(ctx, requestedAt)
	} else {
		o.acquireLease(ctx, requestedAt)
	}
	_, held := o.ordererLease.Fence(o.now())
	return held
}

func (o *orderer) renewLease(ctx context.Context, requestedAt time.Time) {
	lease, err := o.store.KeepAlive(ctx, o.leaseID)
	switch {
	case savorystore.IsLeaseExpired(err):
		o.log.Warn("orderer's lease expired")
		o.ordererLease.Lost()
	case err == nil:
		o.ordererLease.Renewed(requestedAt, lease.TTL)
	}
}

// acquireLease acquires the lease if the region has no orderer. The key is
// attached to the lease, so it is deleted when the lease expires.
func (o *orderer) acquireLease(ctx context.Context, requestedAt time.Time) {
	key := ordererPrefix + o.region
	current, err := o.store.Get(ctx, key)
	if err != nil || current.Exists() {
		return
	}
	lease, err := o.store.Grant(ctx, o.settings.LeaseTime.AsDuration())
	if err != nil {
		return
	}
	result, err := o.store.Swap(ctx, savorystore.Swap{Key: key, Body: []byte(o.name), Lease: lease.ID})
	if err != nil || !result.Applied {
		// If the write was applied but its response was lost, revoking the
		// lease deletes the key.
		_ = o.store.Revoke(ctx, lease.ID)
		return
	}
	o.leaseID = lease.ID
	o.ordererLease.Acquired(result.Revision, requestedAt, lease.TTL)
	o.log.WithField("fence", result.Revision).Info("orderer's lease acquired")
}

func (o *orderer) releaseLease() {
	if _, held := o.ordererLease.Fence(o.now()); held {
		_ = o.store.Revoke(context.Background(), o.leaseID)
	}
	o.ordererLease.Lost()
}

// round reads the status of engines and sends the orders that are due.
func (o *orderer) round(ctx context.Context) {
	snapshot := o.keeper.snapshot()
	if snapshot == nil {
		return
	}
	servers := o.ownServers(snapshot)
	o.observe(ctx, o.planner.SelectForStatus(servers, maxStatusPerRound))
	for _, order := range o.planner.Plan(servers, o.now()) {
		o.send(ctx, order)
	}
}

// ownServers returns the backend servers of this region. Each region has its
// own orderer.
func (o *orderer) ownServers(snapshot *savoryconfig.Snapshot) []savoryworld.BackendServer {
	var own []savoryworld.BackendServer
	for _, server := range snapshot.Document.BackendServers {
		if snapshot.Region(server.Zone) == o.region {
			own = append(own, server)
		}
	}
	return own
}

// observe reads the status of engines concurrently.
func (o *orderer) observe(ctx context.Context, servers []*savoryworld.BackendServer) {
	type statusResponse struct {
		server string
		status savoryengine.Status
		err    error
	}
	responses := make(chan statusResponse)
	for _, server := range servers {
		go func() {
			status, err := o.engines.Status(ctx, server.Address)
			responses <- statusResponse{server: server.Name, status: status, err: err}
		}()
	}
	for range servers {
		a := <-responses
		if a.err != nil {
			continue
		}
		o.planner.Observe(a.server, a.status, o.now())
		if a.status.Leaving {
			o.onLeaving(a.server)
		}
	}
}

// send sends one order, if the lease is still held.
func (o *orderer) send(ctx context.Context, order savoryorder.Order) {
	fence, held := o.ordererLease.Fence(o.now())
	if !held {
		o.metrics.orders.WithLabelValues("not held").Inc()
		return
	}
	err := o.engines.Order(ctx, order.Server.Address, savoryengine.Order{Fence: fence, Wanted: order.Wanted})
	result := "sent"
	if err != nil {
		result = "refused"
	}
	o.metrics.orders.WithLabelValues(result).Inc()
	o.log.WithFields(log.Fields{
		"server": order.Server.Name, "model": order.Wanted.Model, "version": order.Wanted.Version, "adapter": order.Wanted.Adapter,
		"layers": order.Wanted.Layers.String(), "held": order.Holds.Layers.String(), "try": order.Try, "fence": fence,
		"ignoresFence": order.Server.IgnoresFence, "result": result, "reason": "differs from the configuration",
	}).Info("sent an order to the engine")
}
