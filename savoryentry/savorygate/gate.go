package savorygate

// This file defines Gate, its start and its stop.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savoryintake"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savoryfront"
)

const (
	// maxHeaderBytes bounds a caller's header before a configuration is loaded.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time to receive a header.
	headerTimeout = 10 * time.Second
	// dialTimeout bounds the time to connect to a backend server.
	dialTimeout = 300 * time.Millisecond
	// requestsPerSample is the number of requests of which one is logged in full.
	requestsPerSample = 16
	// sweepInterval is the interval of the checks for idle connections.
	sweepInterval = time.Second
	// registrationTTL is the lease time of an entry's registration in the store.
	registrationTTL = 12 * time.Second
	entryPrefix     = "savorycart/entries/"
)

// Gate is one entry. Its exported fields are set before Run.
type Gate struct {
	Dialect Dialect
	Store   Store
	Engines Engines
	Log     *log.Logger
	// Dial opens connections to backend servers and peers; nil uses the usual dialers.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// LogDropped returns the number of dropped log lines.
	LogDropped func() int64
	// SinceBoot returns the time since the VM started, including that for which it was
	// suspended; nil uses the kernel's clock.
	SinceBoot func() time.Duration

	settings   atomic.Pointer[Settings]
	tomb       tomb.Tomb
	ctx        context.Context
	startedAt  time.Time
	table      atomic.Pointer[savoryrouting.Table]
	configMu   sync.Mutex
	view       view
	relay      relay
	peerClient *savorypeer.Client
	// configClient fetches configurations on connections of its own, so that exchanges
	// do not wait behind them.
	configClient *savorypeer.Client
	fetch        configFetch
	news         configNews
	packed       packedConfigs
	// partsServed holds an element for each part that is being sent.
	partsServed  chan struct{}
	serverClient *savoryconn.Client
	reports      reportCache
	streams      activeStreams
	metrics      *metrics
	quarantine   quarantine
	inFlight     atomic.Int64
	// intake bounds what is held for callers, intakeLimits are its limits in force.
	intake       savoryfront.Front
	intakeLimits savoryintake.Limits
	// refusalsLoggedAt is when the refused callers were last logged.
	refusalsLoggedAt time.Time
	exchanges        exchangeCounts
	durations        durations
	// calls is the context of all requests of callers; cutCalls ends it.
	calls    context.Context
	cutCalls context.CancelCauseFunc
	stopOnce sync.Once
	stopping atomic.Bool
	// frontClosed is set once the listener for callers is closed in a planned stop.
	frontClosed atomic.Bool
	// stopEndsAt is when a planned stop cuts the requests that are left.
	stopEndsAt       savoryworld.AtomicTime
	ordering         atomic.Bool
	storeContactAt   savoryworld.AtomicTime
	storeUnreachable atomic.Bool
	// storeEra is the newest era of the store that this entry knows.
	storeEra         atomic.Int64
	badRegistrations map[string]string
	badNotices       badNotices
	// configPosition is the store's position of the last configuration that was
	// read, configRefused whether it could not be used.
	configPosition savoryworld.Position
	configRefused  bool
	// configTimeout is how long the next reading of the configuration goes on without
	// a byte; it grows while readings time out.
	configTimeout time.Duration

	budgetMu sync.Mutex
	budgets  map[string]*savorylimit.WindowBudget

	idleMu sync.Mutex
	// connCount is the number of connections of callers.
	connCount int
	// idle holds the connections of callers that wait for a request.
	idle map[net.Conn]idleConn
}

// Configure sets the settings; it may be called again while the gate runs.
func (g *Gate) Configure(s *Settings) { g.settings.Store(s) }

// Settings returns the settings in force.
func (g *Gate) Settings() *Settings { return g.settings.Load() }

func (g *Gate) now() time.Time { return time.Now() }

func (g *Gate) alive() bool { return g.tomb.Alive() }

// sleep waits for d or until the gate ends, whichever is first.
func (g *Gate) sleep(d time.Duration) {
	select {
	case <-g.tomb.Dying():
	case <-time.After(d):
	}
}

// sample reports whether a request is logged in full; all entries select the same
// requests.
func (g *Gate) sample(id string) bool { return xxhash.Sum64String(id)%requestsPerSample == 0 }

// Run serves until Stop has ended all requests, a listener fails, or ctx ends. The
// end of ctx aborts all requests.
func (g *Gate) Run(ctx context.Context) error {
	s := g.Settings()
	g.ctx = g.tomb.Context(ctx) //nolint:contextcheck // the tomb ends it
	g.prepare(s)
	g.calls, g.cutCalls = context.WithCancelCause(context.WithoutCancel(ctx))
	defer g.cutCalls(nil)
	g.Log.WithFields(log.Fields{"name": s.Name, "zone": s.Zone, "front": s.Front.String(), "peers": s.Peers.String()}).Info("entry starts")
	if err := g.listen(s); err != nil {
		g.tomb.Kill(err)
		return err
	}
	for _, run := range []func() error{g.followConfig, g.followList, g.runSync, g.runOrders, g.register, g.sweep} {
		g.tomb.Go(run)
	}
	g.tomb.Go(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.tomb.Dying():
			return nil
		}
	})
	err := g.tomb.Wait()
	g.peerClient.Close()
	g.configClient.Close()
	g.Log.WithField("reason", fmt.Sprint(err)).Info("entry ends")
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// prepare makes the state that needs the settings.
func (g *Gate) prepare(s *Settings) {
	g.startedAt = g.now()
	g.metrics = newMetrics(g.LogDropped)
	g.prepareIntake()
	g.view.zone = s.Zone
	g.view.notices.Entry = s.Peers.String()
	g.view.chainTables = nil
	g.view.setPace(s.Pace, nil)
	g.quarantine.tracker.Entry = s.Name
	g.relay = relay{
		self:  savorypeer.Entry{Address: s.Peers, Zone: s.Zone, Strength: s.Strength},
		peers: make(map[netip.AddrPort]*relayPeer), wake: make(chan struct{}, 1),
		draining: g.stopping.Load, storeWorks: g.storeWorks,
	}
	for _, seed := range s.Seeds {
		g.relay.addEntries([]savorypeer.Entry{{Address: seed}}, g.now())
	}
	g.peerClient = &savorypeer.Client{Timeout: syncTimeout, Dial: g.Dial}
	g.partsServed = make(chan struct{}, maxPartsServed)
	g.configClient = &savorypeer.Client{Timeout: partTimeout, Dial: g.Dial}
	g.serverClient = &savoryconn.Client{DialTimeout: dialTimeout, OnDial: g.metrics.dials.Inc, Dial: g.Dial}
	g.budgets = make(map[string]*savorylimit.WindowBudget)
	g.idle = make(map[net.Conn]idleConn)
}

// listen opens the listeners and serves on them.
func (g *Gate) listen(s *Settings) error {
	front, err := savoryfront.Listen(s.Front.String(), 0)
	if err != nil {
		return fmt.Errorf("open the listener for callers: %w", err)
	}
	ready, err := net.Listen("tcp", s.Ready.String())
	if err != nil {
		return fmt.Errorf("open the listener for readiness checks: %w", err)
	}
	peers, err := net.Listen("tcp", s.Peers.String())
	if err != nil {
		return fmt.Errorf("open the listener for peers: %w", err)
	}
	bounds := g.intake.Bounds()
	callers := g.intake.Callers(front)
	server := &http.Server{
		ConnContext: savoryfront.ConnContext, Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: g.connState,
		DisableGeneralOptionsHandler: true, BaseContext: func(net.Listener) context.Context { return g.calls },
	}
	router := bunrouter.New()
	router.GET(g.Dialect.ReadyPath, bunrouter.HTTPHandlerFunc(g.handleReady))
	readyServer := toolServer(router)
	peerServer := &savorypeer.Server{Sync: g.handleSync, ConfigPart: g.handleConfigPart}
	peerServer.Prepare()
	g.tomb.Go(func() error { return g.serve(server, callers) })
	g.tomb.Go(func() error { return g.serve(readyServer, g.intake.Others(ready, bounds.ToolConnections)) })
	g.tomb.Go(func() error {
		if err := peerServer.Serve(g.intake.Others(peers, bounds.PeerConnections)); err != nil && g.alive() {
			return err
		}
		return nil
	})
	if s.Metrics != 0 {
		if err := g.listenMetrics(s); err != nil {
			return err
		}
	}
	g.tomb.Go(func() error {
		<-g.tomb.Dying()
		peerServer.Stop()
		return errors.Join(server.Close(), readyServer.Close())
	})
	g.tomb.Go(func() error { return g.awaitStop(callers) })
	return nil
}

func (g *Gate) listenMetrics(s *Settings) error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(s.Ready.Addr(), s.Metrics).String())
	if err != nil {
		return fmt.Errorf("open the listener for metrics: %w", err)
	}
	router := bunrouter.New()
	router.GET("/notices", bunrouter.HTTPHandlerFunc(g.handleNotices))
	router.POST(savoryadmin.WherePath, bunrouter.HTTPHandlerFunc(g.handleWhere))
	router.GET("/quarantine", bunrouter.HTTPHandlerFunc(g.handleQuarantine))
	router.POST("/quarantine/try", bunrouter.HTTPHandlerFunc(g.handleTrial))
	router.GET("/metrics", bunrouter.HTTPHandler(promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{})))
	server := toolServer(router)
	g.tomb.Go(func() error {
		return g.serve(server, g.intake.Others(l, g.intake.Bounds().ToolConnections))
	})
	g.tomb.Go(func() error {
		<-g.tomb.Dying()
		return server.Close()
	})
	return nil
}

func (g *Gate) serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if g.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listener %s: %w", l.Addr(), err)
	}
	return nil
}

// handleReady handles the load balancer's readiness check.
func (g *Gate) handleReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.table.Load() == nil || !g.view.hasList() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// connState tracks the connections of callers.
func (g *Gate) connState(c net.Conn, state http.ConnState) {
	savoryfront.ConnState(c, state)
	g.idleMu.Lock()
	defer g.idleMu.Unlock()
	switch state {
	case http.StateNew:
		g.connCount++
	case http.StateClosed:
		g.connCount--
	}
	if state == http.StateIdle || state == http.StateNew {
		g.idle[c] = idleConn{since: g.now(), unused: state == http.StateNew}
		return
	}
	if idle, ok := g.idle[c]; ok && state == http.StateActive && idle.closing {
		_ = c.SetReadDeadline(time.Time{})
	}
	delete(g.idle, c)
}

// idleConn is a connection of a caller that waits for a request.
type idleConn struct {
	since time.Time
	// unused is set if it had no request yet, closing once it is being closed.
	unused  bool
	closing bool
}

// sweep closes idle connections whose time is over. It also updates the retry
// budgets and the metrics of the servers.
func (g *Gate) sweep() error {
	for g.alive() {
		setAt, bootSetAt, called, answered := g.now(), g.bootNow(), g.exchanges.called.Load(), g.exchanges.answered.Load()
		g.sleep(sweepInterval)
		now, took := g.now(), g.bootNow().Sub(bootSetAt)
		if g.alive() {
			g.recordTimerDelay(took-sweepInterval, took-now.Sub(setAt), called, answered)
		}
		g.serverClient.CloseExpired(now)
		g.view.expireSlowdowns(now, g.config())
		g.view.expireNotices(now)
		g.setBudgets()
		g.updatePace()
		g.updateIntake(now)
		_, age := g.configReading(g.bootNow())
		g.metrics.configAge.Set(age.Seconds())
		for state, n := range g.view.countsByState(now) {
			g.metrics.servers.WithLabelValues(state).Set(float64(n))
		}
		cfg := g.config()
		if cfg == nil || cfg.Limits.IdleTimeout <= 0 {
			continue
		}
		timeout := cfg.Limits.IdleTimeout + sweepInterval
		g.closeIdle(now, timeout, timeout)
	}
	return nil
}

// closeIdle closes the connections that were idle for longer than timeout, or unusedTimeout
// if they had no request yet. It ends their wait for a request instead of closing them,
// because a request may just have been read; connState then lets the connection go on.
func (g *Gate) closeIdle(now time.Time, timeout, unusedTimeout time.Duration) {
	g.idleMu.Lock()
	defer g.idleMu.Unlock()
	for c, idle := range g.idle {
		limit := timeout
		if idle.unused {
			limit = unusedTimeout
		}
		if idle.closing || now.Sub(idle.since) >= limit {
			idle.closing = true
			g.idle[c] = idle
			_ = c.SetReadDeadline(g.now()) // If this fails, the connection is closed.
		}
	}
}

// setBudgets divides the retry budgets among the live entries.
func (g *Gate) setBudgets() {
	s := g.Settings()
	live := g.relay.liveCount(g.now())
	g.view.setEntries(live, g.relay.liveNames(g.now()))
	slack := savorylimit.SlackShare(budgetFraction*s.RetrySlack, live, g.now().Sub(g.startedAt), s.RetryWindow)
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	if cfg := g.config(); cfg != nil {
		for _, service := range cfg.Services {
			if g.budgets[service.Name] == nil {
				g.budgets[service.Name] = new(savorylimit.WindowBudget)
			}
		}
	}
	for _, b := range g.budgets {
		b.Ratio, b.Slack, b.Window = budgetFraction*s.RetryRatio, slack, s.RetryWindow
	}
}

// budgetFraction is the fraction of the operators' retry budget that the entries use
// together. The rest is a margin, since entries may count the live entries
// differently.
const budgetFraction = 0.8

// recordSend credits the retry budget of a service for the first send of a request.
func (g *Gate) recordSend(service string, sends int) {
	if sends != 1 {
		return
	}
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	if b := g.budgets[service]; b != nil {
		b.RecordRequest(g.now())
	}
}

// allowRetry takes a retry from the budget of a service and reports whether there
// was one left.
func (g *Gate) allowRetry(service string) bool {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	b := g.budgets[service]
	return b != nil && b.AllowRetry(g.now())
}

// maxRegisteredEntries is the number of entries that register their address in the
// store.
const maxRegisteredEntries = 4

// register keeps the address of this entry registered in the store if it ranks below
// maxRegisteredEntries or has no peers. Entries without peers find the registered
// ones there.
func (g *Gate) register() error {
	var lease savorystore.Lease
	g.sleep(initialReadWindow)
	for g.alive() {
		if !g.relay.anyLive(g.now(), func(*relayPeer) bool { return true }) {
			g.addRegisteredPeers()
		} else if g.relay.storeRank(g.now()) >= maxRegisteredEntries {
			// Enough other entries are registered.
			g.sleep(registrationTTL / 6)
			continue
		}
		if g.leaseOutdated(lease) {
			lease = savorystore.Lease{}
		}
		var err error
		if lease.ID == 0 {
			lease, err = g.createRegistration()
		} else {
			err = g.renewRegistration(&lease)
		}
		if err != nil {
			g.Log.WithError(err).Debug("address of this entry not registered")
			g.sleep(registrationTTL / 6)
			continue
		}
		g.sleep(registrationTTL / 3)
	}
	return nil
}

func (g *Gate) renewRegistration(lease *savorystore.Lease) error {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	renewed, err := g.Store.KeepAlive(ctx, lease.ID)
	if savorystore.IsLeaseExpired(err) || err == nil && renewed.Era != lease.Era {
		*lease = savorystore.Lease{}
	} else {
		g.recordStoreResult("keepalive", err)
	}
	return err
}

func (g *Gate) createRegistration() (savorystore.Lease, error) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	lease, err := g.Store.Grant(ctx, registrationTTL)
	g.recordStoreResult("grant", err)
	if err != nil {
		return savorystore.Lease{}, err
	}
	s := g.Settings()
	key := entryPrefix + s.Peers.String()
	for range 2 {
		old, err := g.Store.Get(ctx, key)
		g.recordStoreResult("get", err)
		if err != nil {
			return savorystore.Lease{}, err
		}
		result, err := g.Store.Swap(ctx, savorystore.Swap{Key: key, ExpectedRevision: old.Revision, Body: []byte(formatEntry(g.relay.self)), Lease: lease.ID})
		g.recordStoreResult("swap", err)
		if err != nil {
			return savorystore.Lease{}, err
		}
		if result.Applied {
			return lease, nil
		}
	}
	return savorystore.Lease{}, fmt.Errorf("%s: key was changed by another writer during registration", key)
}

// addRegisteredPeers reads the registered entries and adds them as peers.
func (g *Gate) addRegisteredPeers() {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	values, _, err := g.Store.List(ctx, entryPrefix, true)
	g.recordStoreResult("list", err)
	if err != nil {
		return
	}
	var found []savorypeer.Entry
	for _, v := range values {
		entry, err := parseEntry(v.Key[len(entryPrefix):], string(v.Body))
		if err != nil {
			g.Log.WithError(err).WithField("key", v.Key).Warn("registered peer cannot be read")
			continue
		}
		found = append(found, entry)
	}
	g.relay.addEntries(found, g.now())
}

// Loads returns this entry's requests in flight at engines.
func (g *Gate) Loads() []savorypath.Load { return g.view.ownLoads(g.now()) }

// Quarantined returns the parts of prompts that are quarantined.
func (g *Gate) Quarantined() []savoryquarantine.Blame {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	return g.quarantine.tracker.Blames(g.now())
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }
