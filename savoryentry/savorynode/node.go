// Package savorynode is the process of one entry: three listeners (callers,
// peers and operators) around the decision tables of the core packages.
//
// A Node is built by setting its exported fields and runs until its context
// ends or it has drained. What lasts stands in the platform's store; a Node
// keeps nothing on disk.
package savorynode

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"google.golang.org/grpc/credentials"
	"gopkg.in/tomb.v2"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savorytls"
	"savorycart.example/savorycore/savoryvmlist"
)

const (
	// peerTimeout bounds a call to another entry.
	peerTimeout = time.Second
	// engineTimeout bounds a call to an engine that is not a run.
	engineTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection to a backend server.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnections is the number of kept connections to one backend server.
	maxIdleConnections = 256
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 15 * time.Second
	// keepAliveInterval is the interval of TCP keepalive probes on each hop.
	keepAliveInterval = 5 * time.Second
	// memoryReleaseInterval is the least time between two times that unused memory is
	// given back, freeDelay the delay after a change.
	memoryReleaseInterval = time.Minute
	memoryReleaseDelay    = 10 * time.Second
	// settlementTimeout bounds the wait for claims to be settled at a planned stop.
	settlementTimeout = 10 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller stays open.
	callerIdleTimeout = 2 * time.Minute
)

// Node is one entry. Its exported fields are set before Run.
type Node struct {
	Settings *Settings
	Log      log.Interface
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Rand gives the random numbers of the decisions; nil means a random seed.
	Rand *rand.Rand
	// Listeners, where set, are used in place of the addresses of the settings.
	Listeners Listeners

	tomb             tomb.Tomb
	drainOnce        sync.Once
	drainNow         chan struct{}
	stopNow          chan struct{}
	stopOnce         sync.Once
	initOnce         sync.Once
	draining         atomic.Bool
	memoryReleasedAt time.Time

	metrics          *metrics
	tables           *tables
	keeper           *configKeeper
	gossip           *gossiper
	claims           *claimRunner
	settler          *settler
	writer           *groupWriter
	orderer          *orderer
	requestsInFlight *inFlightCounter
	pool             *workerPool
	callers          *callers
	admin            *admin
	peers            *savorypeer.Server
	loaders          tlsLoaders
}

// Listeners are open listeners.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

type tlsLoaders struct {
	callers *savorytls.Loader
	peers   *savorytls.Loader
	admin   *savorytls.Loader
}

// Run serves until ctx ends or Drain has finished. A planned stop returns nil.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	if err := n.build(); err != nil {
		return err
	}
	if err := n.listen(); err != nil {
		return err
	}
	n.Log.WithFields(log.Fields{
		"callers": n.Listeners.Callers.Addr(), "peers": n.Listeners.Peers.Addr(), "admin": n.Listeners.Admin.Addr(),
		"zone": n.Settings.Zone, "region": n.Settings.Region,
	}).Info("entry started")
	callersServer := n.callersServer()
	adminServer := &http.Server{Handler: n.admin.handler(), ReadHeaderTimeout: n.Settings.Callers.HeaderTimeout.AsDuration()}
	n.tomb.Go(func() error { return serveHTTP(callersServer, n.Listeners.Callers) })
	n.tomb.Go(func() error { return serveHTTP(adminServer, n.Listeners.Admin) })
	n.tomb.Go(func() error { return n.peers.Serve(n.Listeners.Peers) })
	n.startLoops()
	n.tomb.Go(func() error {
		err := n.waitAndDrain(ctx, callersServer)
		n.tomb.Kill(err)
		_ = callersServer.Close()
		_ = adminServer.Close()
		n.peers.Stop()
		n.gossip.peers.Close()
		return err
	})
	err := n.tomb.Wait()
	n.Log.Info("entry stopped")
	return err
}

// Drain begins the planned stop: the entry turns unready, refuses new work
// after the balancer's notice time, and leaves once no request is in flight.
func (n *Node) Drain() {
	n.init()
	n.drainOnce.Do(func() {
		n.draining.Store(true)
		close(n.drainNow)
	})
}

// Stop ends a drain at once; requests in flight are cut off and logged.
func (n *Node) Stop() {
	n.init()
	n.Drain()
	n.stopOnce.Do(func() { close(n.stopNow) })
}

// Revision returns the revision of the configuration in force, or 0.
func (n *Node) Revision() uint64 {
	n.init()
	return n.keeper.revision()
}

func (n *Node) init() {
	n.initOnce.Do(func() {
		n.drainNow = make(chan struct{})
		n.stopNow = make(chan struct{})
		n.keeper = new(configKeeper)
	})
}

// waitAndDrain waits for a drain, or for ctx, and carries the drain out.
func (n *Node) waitAndDrain(ctx context.Context, server *http.Server) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.tomb.Dying():
		return nil
	case <-n.drainNow:
	}
	n.Log.WithField("notice", n.Settings.Stop.NoticeTime.AsDuration()).Info("draining; the entry is not ready")
	n.waitOrStop(ctx, n.Settings.Stop.NoticeTime.AsDuration(), nil)
	empty := n.requestsInFlight.close()
	server.SetKeepAlivesEnabled(false)
	n.Log.WithField("inFlight", n.requestsInFlight.count()).Info("new requests are refused")
	n.waitOrStop(ctx, n.Settings.Stop.Limit.AsDuration(), empty)
	if cut := n.requestsInFlight.count(); cut > 0 {
		n.Log.WithField("cut", cut).Error("stopped with requests in flight")
		return nil
	}
	n.waitForSettlements(ctx)
	// The answers are written; Shutdown lets the connections take them.
	shutdown, cancel := context.WithTimeout(ctx, n.Settings.Callers.WriteTimeout.AsDuration())
	defer cancel()
	_ = server.Shutdown(shutdown)
	return nil
}

// waitForSettlements gives claims that wait for the store a last chance.
func (n *Node) waitForSettlements(ctx context.Context) {
	deadline := n.Now().Add(settlementTimeout)
	for n.settler.pending() > 0 && n.Now().Before(deadline) {
		if !sleepContext(ctx, settleInterval) {
			break
		}
	}
	if left := n.settler.pending(); left > 0 {
		n.Log.WithField("left", left).Warn("stopped with claims that are not settled")
	}
}

// waitOrStop waits for d, for done, for ctx or for Stop.
func (n *Node) waitOrStop(ctx context.Context, d time.Duration, done <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	case <-ctx.Done():
	case <-n.stopNow:
	}
}

// ready returns why the entry should get no requests, or nil.
func (n *Node) ready() error {
	switch {
	case n.draining.Load():
		return errors.New("draining")
	case n.keeper.snapshot() == nil:
		return errors.New("no configuration is in force yet")
	case n.gossip.isolated(n.Now()):
		return fmt.Errorf("no contact to the store or to a peer for %s", isolationTimeout)
	default:
		return nil
	}
}

// build makes the parts of the entry.
func (n *Node) build() error {
	if n.Now == nil {
		n.Now = time.Now
	}
	if n.Rand == nil {
		n.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if err := n.loadTLS(); err != nil {
		return err
	}
	s := n.Settings
	n.metrics = newMetrics()
	n.requestsInFlight = newInFlightCounter()
	n.pool = newWorkerPool()
	store := &savorystore.Store{Address: s.Platform.Store, Timeout: s.Platform.StoreTimeout.AsDuration(), OnCall: n.metrics.recordStoreCall}
	n.tables = n.buildTables()
	n.keeper.log, n.keeper.now, n.keeper.metrics = n.Log, n.Now, n.metrics
	n.keeper.onApply = n.applySnapshot
	config := &configStore{store: store, now: n.Now}
	n.gossip = n.buildGossiper(store, config)
	n.writer = newGroupWriter(store)
	n.settler = &settler{store: store, writer: n.writer, log: n.Log, now: n.Now}
	n.claims = &claimRunner{store: store, writer: n.writer, log: n.Log, now: n.Now, metrics: n.metrics, settler: n.settler}
	n.buildRunners()
	n.admin = &admin{
		settings: s, log: n.Log, now: n.Now, keeper: n.keeper, config: config, store: store, tables: n.tables,
		gossip: n.gossip, metrics: n.metrics, requestsInFlight: n.requestsInFlight, claims: n.claims, ready: n.ready, drain: n.Drain,
	}
	n.orderer = &orderer{
		settings: s.Orders, region: s.Region, name: s.Peers.Address.String(), store: store,
		engines: &savoryengine.Client{Transport: transport(false), CallTimeout: engineTimeout},
		keeper:  n.keeper, log: n.Log, now: n.Now, metrics: n.metrics, onLeaving: n.gossip.markLeaving,
	}
	n.peers = &savorypeer.Server{Exchange: n.gossip.handleExchange, Offer: n.gossip.handleOffer, Fetch: n.gossip.handleFetch}
	if n.loaders.peers != nil {
		n.peers.Credentials = credentials.NewTLS(n.loaders.peers.ServerConfig(true))
	}
	n.peers.Prepare()
	return nil
}

// applySnapshot puts a snapshot in force in the tables. What the last one left
// behind is given back to the system from time to time, since entry VMs are
// small.
func (n *Node) applySnapshot(snapshot *savoryconfig.Snapshot) {
	now := n.Now()
	n.tables.setSnapshot(snapshot, now)
	if now.Sub(n.memoryReleasedAt) < memoryReleaseInterval {
		return
	}
	n.memoryReleasedAt = now
	time.AfterFunc(memoryReleaseDelay, debug.FreeOSMemory)
}

func (n *Node) self() savorymember.Peer {
	return savorymember.Peer{Address: n.Settings.Peers.Address, Zone: n.Settings.Zone, Region: n.Settings.Region}
}

func (n *Node) buildTables() *tables {
	t := new(tables)
	self := n.self()
	t.members.value.table = savorymember.Table{Self: self, Rand: rand.New(rand.NewPCG(n.Rand.Uint64(), n.Rand.Uint64()))}
	t.limits.value.limiter = savorylimit.Limiter{Entry: self.Name()}
	t.chains.value = savorychain.Table{
		Entry: self.Name(), Zone: self.Zone, Rand: n.Rand,
		SampleSize: savorychain.DefaultSampleSize, SubsetSize: savorychain.DefaultSubsetSize,
	}
	return t
}

func (n *Node) buildGossiper(store *savorystore.Store, config *configStore) *gossiper {
	client := &savorypeer.Client{Timeout: peerTimeout}
	if n.loaders.peers != nil {
		client.Credentials = credentials.NewTLS(n.loaders.peers.ClientConfig())
	}
	return &gossiper{
		self: n.self(), log: n.Log, now: n.Now, tables: n.tables, keeper: n.keeper, config: config, store: store,
		entryVMs:  n.listClient(savoryvmlist.Filter{Role: savoryvmlist.RoleEntry}),
		workerVMs: n.listClient(savoryvmlist.Filter{Role: savoryvmlist.RoleWorker, Zone: n.Settings.Zone}),
		peers:     client, metrics: n.metrics, configHome: n.Settings.Platform.ConfigHome, draining: &n.draining, pool: n.pool,
	}
}

func (n *Node) listClient(filter savoryvmlist.Filter) *savoryvmlist.Client {
	return &savoryvmlist.Client{
		Address: n.Settings.Platform.VMList, Timeout: n.Settings.Platform.StoreTimeout.AsDuration(), Filter: filter,
	}
}

func (n *Node) buildRunners() {
	n.callers = &callers{
		settings: n.Settings, log: n.Log, now: n.Now, keeper: n.keeper, tables: n.tables,
		metrics: n.metrics, requestsInFlight: n.requestsInFlight,
	}
	n.callers.pipelines = &pipelineRunner{
		callers: n.callers, gossip: n.gossip, pool: n.pool,
		engines: &savoryengine.Client{Transport: transport(true), CallTimeout: engineTimeout},
		probes:  &savoryengine.Client{Transport: transport(false), CallTimeout: engineTimeout},
	}
	n.callers.services = &serviceRunner{
		callers: n.callers, claims: n.claims, region: n.Settings.Region, entry: n.self().Name(),
		pooled: transport(true), fresh: transport(false),
	}
}

// startLoops starts the loops.
func (n *Node) startLoops() {
	n.pool.run(&n.tomb)
	n.writer.run(&n.tomb)
	n.tomb.Go(func() error { return n.claims.leaseLoop(&n.tomb) })
	n.tomb.Go(func() error { return n.settler.run(&n.tomb) })
	n.gossip.run(&n.tomb)
	if n.Settings.Orders.Enabled {
		n.tomb.Go(func() error { return n.orderer.run(&n.tomb) })
	}
}

// transport returns a transport to backend servers that keeps connections, or
// opens one for each request.
func transport(keep bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keep,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// listen opens the listeners that are not given.
func (n *Node) listen() error {
	open := func(l net.Listener, address netip.AddrPort) (net.Listener, error) {
		if l != nil {
			return l, nil
		}
		config := net.ListenConfig{KeepAlive: keepAliveInterval}
		opened, err := config.Listen(context.Background(), "tcp", address.String())
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		return opened, nil
	}
	var err error
	if n.Listeners.Callers, err = open(n.Listeners.Callers, n.Settings.Callers.Address); err != nil {
		return err
	}
	if n.Listeners.Peers, err = open(n.Listeners.Peers, n.Settings.Peers.Address); err != nil {
		return err
	}
	if n.Listeners.Admin, err = open(n.Listeners.Admin, n.Settings.Admin.Address); err != nil {
		return err
	}
	n.Listeners.Callers = newBoundedListener(n.Listeners.Callers, n.Settings.Callers.MaxConnections, n.metrics.connections)
	n.Listeners.Callers = withTLS(n.Listeners.Callers, n.loaders.callers)
	n.Listeners.Admin = withTLS(n.Listeners.Admin, n.loaders.admin)
	return nil
}

func withTLS(l net.Listener, loader *savorytls.Loader) net.Listener {
	if loader == nil {
		return l
	}
	return tls.NewListener(l, loader.ServerConfig(false))
}

func (n *Node) loadTLS() error {
	load := func(files savorytls.Files) (*savorytls.Loader, error) {
		if files.Certificate == "" {
			return nil, nil
		}
		l := &savorytls.Loader{Files: files, OnReloadError: func(err error) { n.Log.WithError(err).Error("changed certificate not loaded") }}
		return l, l.Load()
	}
	var err error
	if n.loaders.callers, err = load(n.Settings.Callers.TLS); err != nil {
		return fmt.Errorf("Callers.TLS: %w", err)
	}
	if n.loaders.peers, err = load(n.Settings.Peers.TLS); err != nil {
		return fmt.Errorf("Peers.TLS: %w", err)
	}
	if n.loaders.admin, err = load(n.Settings.Admin.TLS); err != nil {
		return fmt.Errorf("Admin.TLS: %w", err)
	}
	return nil
}

func (n *Node) callersServer() *http.Server {
	return &http.Server{
		Handler:           n.callers.handler(),
		ReadHeaderTimeout: n.Settings.Callers.HeaderTimeout.AsDuration(),
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    n.Settings.Callers.MaxHeaderBytes,
	}
}

func serveHTTP(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listener %s: %w", l.Addr(), err)
	}
	return nil
}
