// Package savorynode implements the entry process: three listeners (callers,
// peers and operators) and the background loops that connect them to the
// decision tables of the core packages.
//
// A Node is configured through its exported fields. It runs until its context
// ends or a drain is finished. Durable state is in the platform's store; a
// Node writes nothing to disk.
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
	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savorytls"
	"savorycart.example/savorycore/savoryvmlist"
	"savorycart.example/savoryentry/savoryfront"
)

const (
	// peerTimeout bounds a call to another entry.
	peerTimeout = time.Second
	// engineTimeout bounds a call to an engine, except Run.
	engineTimeout = 2 * time.Second
	// dialTimeout bounds the dialing of a backend server.
	dialTimeout = 500 * time.Millisecond
	// maxResponseHeaderBytes bounds the header of a response of a backend server.
	maxResponseHeaderBytes = 64 << 10
	// maxIdleConnections bounds the idle connections to one backend server.
	maxIdleConnections = 256
	// idleTimeout is how long an idle connection to a backend server stays
	// open.
	idleTimeout = 15 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes, on
	// connections of callers and of backend servers.
	keepAliveInterval = 5 * time.Second
	// memoryReleaseInterval is the minimum time between two releases of
	// unused memory to the operating system. A release happens
	// memoryReleaseDelay after a configuration change.
	memoryReleaseInterval = time.Minute
	memoryReleaseDelay    = 10 * time.Second
	// settlementTimeout bounds the wait for pending claim settlements at the
	// end of a drain.
	settlementTimeout = 10 * time.Second
	// callerIdleTimeout is how long a caller's idle connection stays open.
	callerIdleTimeout = 2 * time.Minute
)

// Node is one entry. The exported fields must be set before Run.
type Node struct {
	Settings *Settings
	Log      log.Interface
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Rand is the source of randomness for decisions; nil means a random
	// seed.
	Rand *rand.Rand
	// Listeners holds open listeners. A nil listener is opened at the address
	// in Settings.
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
	intake           savoryfront.Front
	callers          *callers
	admin            *admin
	peers            *savorypeer.Server
	loaders          tlsLoaders
}

// Listeners holds the open listeners of an entry.
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

// Run serves until ctx ends or a drain is finished. It returns nil in both
// cases, and an error if the entry cannot start or a listener fails.
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
	adminServer := n.adminServer()
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

// Drain begins a planned stop: the entry reports that it is not ready,
// refuses new requests after the load balancer's notice time, and stops when
// no request is in flight. Further calls have no effect.
func (n *Node) Drain() {
	n.init()
	n.drainOnce.Do(func() {
		n.draining.Store(true)
		close(n.drainNow)
	})
}

// Stop ends a drain at once, and begins one if necessary. Requests in flight
// are cut off; their number is logged.
func (n *Node) Stop() {
	n.init()
	n.Drain()
	n.stopOnce.Do(func() { close(n.stopNow) })
}

// Revision returns the revision of the configuration in force, or 0 if none
// is in force yet.
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

// waitAndDrain waits for Drain or for the end of ctx, and runs the drain.
func (n *Node) waitAndDrain(ctx context.Context, server *http.Server) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.tomb.Dying():
		return nil
	case <-n.drainNow:
	}
	n.Log.WithField("notice", n.Settings.Stop.NoticeTime.AsDuration()).Info("drain began: the entry is not ready")
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
	// All responses are written. Shutdown lets the connections finish sending them.
	shutdown, cancel := context.WithTimeout(ctx, n.Settings.Callers.WriteTimeout.AsDuration())
	defer cancel()
	_ = server.Shutdown(shutdown)
	return nil
}

// waitForSettlements waits up to settlementTimeout for the pending
// settlements of claims.
func (n *Node) waitForSettlements(ctx context.Context) {
	deadline := n.Now().Add(settlementTimeout)
	for n.settler.pending() > 0 && n.Now().Before(deadline) {
		if !sleepContext(ctx, settleInterval) {
			break
		}
	}
	if left := n.settler.pending(); left > 0 {
		n.Log.WithField("left", left).Warn("stopped with unsettled claims")
	}
}

// waitOrStop waits until d has passed, done is closed, ctx ends or Stop is
// called.
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

// ready returns nil if the entry is ready for requests, or the reason why it
// is not.
func (n *Node) ready() error {
	switch {
	case n.draining.Load():
		return errors.New("draining")
	case n.keeper.snapshot() == nil:
		return errors.New("no configuration is in force yet")
	case n.gossip.isolated(n.Now()):
		return fmt.Errorf("no contact with the store or a peer for %s", isolationTimeout)
	default:
		return nil
	}
}

// build creates the components of the entry.
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
	n.intake.OnRefuse = func(c savoryfront.Cause) { n.metrics.refusals.WithLabelValues(string(c)).Inc() }
	n.intake.Configure(s.bounds())
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

// applySnapshot sets the snapshot in all tables. At most once per
// memoryReleaseInterval it also schedules a release of the memory of the
// previous snapshot, because entry VMs are small.
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
		Notices: savorynotice.Board{Entry: self.Name()},
	}
	return t
}

func (n *Node) buildGossiper(store *savorystore.Store, config *configStore) *gossiper {
	client := &savorypeer.Client{Timeout: peerTimeout}
	if n.loaders.peers != nil {
		client.Credentials = credentials.NewTLS(n.loaders.peers.ClientConfig())
	}
	n.tables.quarantine.with(func(t *savoryquarantine.Tracker) { t.Entry = n.self().Name() })
	return &gossiper{
		self: n.self(), log: n.Log, now: n.Now, tables: n.tables, keeper: n.keeper, config: config, store: store,
		entryVMs:  n.listClient(savoryvmlist.Filter{Role: savoryvmlist.RoleEntry}),
		workerVMs: n.listClient(savoryvmlist.Filter{Role: savoryvmlist.RoleWorker, Zone: n.Settings.Zone}),
		peers:     client, metrics: n.metrics, configHome: n.Settings.Platform.ConfigHome, draining: &n.draining, pool: n.pool,
		untilStop: func() context.Context { return n.tomb.Context(context.Background()) },
	}
}

func (n *Node) listClient(filter savoryvmlist.Filter) *savoryvmlist.Client {
	return &savoryvmlist.Client{
		Address: n.Settings.Platform.VMList, Timeout: n.Settings.Platform.StoreTimeout.AsDuration(), Filter: filter,
		OnInvalid: func(err error) { n.Log.WithError(err).Warn("elements of the VM list left out") },
	}
}

func (n *Node) buildRunners() {
	n.callers = &callers{
		settings: n.Settings, log: n.Log, now: n.Now, keeper: n.keeper, tables: n.tables,
		metrics: n.metrics, requestsInFlight: n.requestsInFlight, isolated: n.gossip.isolated, intake: &n.intake,
	}
	n.callers.pipelines = &pipelineRunner{
		callers: n.callers, gossip: n.gossip, pool: n.pool,
		engines: &savoryengine.Client{Transport: transport(true), CallTimeout: engineTimeout},
		probes:  &savoryengine.Client{Transport: transport(false), CallTimeout: engineTimeout},
	}
	n.callers.services = &serviceRunner{
		callers: n.callers, claims: n.claims, region: n.Settings.Region, entry: n.self().Name(),
		pooled: transport(true), fresh: transport(false), markLeaving: n.gossip.markLeaving,
	}
}

// startLoops starts the background goroutines.
func (n *Node) startLoops() {
	n.pool.run(&n.tomb)
	n.writer.run(&n.tomb)
	n.tomb.Go(func() error { return n.claims.leaseLoop(&n.tomb) })
	n.tomb.Go(func() error { return n.settler.run(&n.tomb) })
	n.gossip.run(&n.tomb)
	n.tomb.Go(n.watchIntake)
	if n.Settings.Orders.Enabled {
		n.tomb.Go(func() error { return n.orderer.run(&n.tomb) })
	}
}

// transport returns a transport to backend servers. It reuses connections if
// keep is true, and otherwise opens a connection for each request.
func transport(keep bool) savoryconn.StrictTransport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return savoryconn.NewStrictTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keep,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		// The default is 10 MB, and many responses may be read at once on a small VM.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}

// listen opens the listeners that the caller of Run did not provide.
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
	if n.Listeners.Callers == nil {
		if n.Listeners.Callers, err = savoryfront.Listen(n.Settings.Callers.Address.String(), keepAliveInterval); err != nil {
			return fmt.Errorf("listen on %s: %w", n.Settings.Callers.Address, err)
		}
	}
	if n.Listeners.Peers, err = open(n.Listeners.Peers, n.Settings.Peers.Address); err != nil {
		return err
	}
	if n.Listeners.Admin, err = open(n.Listeners.Admin, n.Settings.Admin.Address); err != nil {
		return err
	}
	callers, bounds := n.intake.Callers(n.Listeners.Callers), n.intake.Bounds()
	callers.OnChange = func(change int) { n.metrics.connections.Add(float64(change)) }
	n.Listeners.Callers = withTLS(callers, n.loaders.callers)
	n.Listeners.Peers = n.intake.Others(n.Listeners.Peers, bounds.PeerConnections)
	n.Listeners.Admin = withTLS(n.intake.Others(n.Listeners.Admin, bounds.ToolConnections), n.loaders.admin)
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
		l := &savorytls.Loader{Files: files, OnReloadError: func(err error) { n.Log.WithError(err).Error("cannot load the changed certificate") }}
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
		ConnState:         savoryfront.ConnState,
		ConnContext:       savoryfront.ConnContext,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerConnection: receiveBufferBytes, MaxReceiveBufferPerStream: receiveBufferBytes,
		},
	}
}

func serveHTTP(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listener %s: %w", l.Addr(), err)
	}
	return nil
}
