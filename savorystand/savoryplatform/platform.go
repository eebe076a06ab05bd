// Package savoryplatform simulates the platform: the key-value store with
// compare-and-swap, leases and watches (the JSON mapping of the etcd v3 API) and
// the delayed list of VMs (the HTTP service discovery format of Prometheus).
//
// All data is in memory. Faults can be injected: outages, slow calls, responses
// that are dropped after their write was applied, and watches that deliver no events.
// Calls are counted, and calls above a configured rate are refused.
package savoryplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// maxRequestBytes bounds one request, like etcd's default limit of 1.5 MiB.
	maxRequestBytes = 3 << 19
	// watchPollInterval is the time between two checks for expired leases by an idle
	// watch.
	watchPollInterval = 50 * time.Millisecond
)

// Platform is a simulated platform. Its exported fields are set before its first
// use.
type Platform struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; 0 means no
	// limit. Calls above the limit are refused with status 429.
	WritesPerSecond int
	ReadsPerSecond  int
	// ListLag is the delay until a change appears in the list of VMs.
	ListLag time.Duration

	mu          sync.Mutex
	changed     *sync.Cond
	keys        *keyspace
	faults      Faults
	calls       Calls
	writes      *rate.Limiter
	reads       *rate.Limiter
	listChanges []listChange
}

// Faults are the faults that a Platform simulates; the zero value has none.
type Faults struct {
	// Unavailable refuses all calls with status 503 and ends all watches.
	Unavailable bool
	// Unresponsive accepts store calls but never responds to them.
	Unresponsive bool
	// StalledWatches keeps watches open but sends no events.
	StalledWatches bool
	// Delay is added to each store call.
	Delay time.Duration
	// DropResponses is the number of following writes that are applied but whose
	// connections are closed without a response.
	DropResponses int
}

// Calls counts the calls so far and the watches that are open now.
type Calls struct {
	Reads   int64
	Writes  int64
	Refused int64
	Watches int64
}

// listChange is a change of the list of VMs with the time from which the list shows
// it.
type listChange struct {
	vm      savoryworld.VM
	shownAt time.Time
	removed bool
}

// SetFaults replaces the simulated faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.faults = f
	p.changed.Broadcast()
}

// Calls returns the current counts of calls.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handler returns a handler that serves the key-value store and the list of VMs.
func (p *Platform) Handler() http.Handler {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", read(p, func(k *keyspace, req savorystore.RangeRequest) any {
		return k.read(req)
	}))
	mux.HandleFunc("POST /v3/kv/txn", serve(p, savorystore.TxnRequest.Writes, func(k *keyspace, req savorystore.TxnRequest, _ time.Time) any {
		return k.commit(req)
	}))
	mux.HandleFunc("POST /v3/lease/grant", write(p, func(k *keyspace, req savorystore.LeaseRequest, now time.Time) any {
		return savorystore.LeaseResponse{ID: k.grant(time.Duration(req.TTL)*time.Second, now), TTL: req.TTL}
	}))
	mux.HandleFunc("POST /v3/lease/keepalive", write(p, func(k *keyspace, req savorystore.LeaseRequest, now time.Time) any {
		ttl := k.renew(req.ID, now)
		return savorystore.KeepAliveResponse{Result: savorystore.LeaseResponse{ID: req.ID, TTL: int64(ttl / time.Second)}}
	}))
	mux.HandleFunc("POST /v3/lease/revoke", write(p, func(k *keyspace, req savorystore.LeaseRequest, _ time.Time) any {
		k.revoke(req.ID)
		return savorystore.LeaseResponse{}
	}))
	mux.HandleFunc("POST /v3/watch", p.serveWatch)
	mux.HandleFunc("GET /vms", p.serveVMs)
	return mux
}

func (p *Platform) init() {
	if p.keys != nil {
		return
	}
	p.keys = newKeyspace()
	p.changed = sync.NewCond(&p.mu)
	p.writes = limiter(p.WritesPerSecond)
	p.reads = limiter(p.ReadsPerSecond)
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

func (p *Platform) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// read returns a handler for calls that change nothing.
func read[Req any](p *Platform, run func(*keyspace, Req) any) http.HandlerFunc {
	never := func(Req) bool { return false }
	return serve(p, never, func(k *keyspace, req Req, _ time.Time) any { return run(k, req) })
}

// write returns a handler for calls that may change keys or leases.
func write[Req any](p *Platform, run func(*keyspace, Req, time.Time) any) http.HandlerFunc {
	return serve(p, func(Req) bool { return true }, run)
}

func serve[Req any](p *Platform, isWrite func(Req) bool, run func(*keyspace, Req, time.Time) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		dec := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
		if err := dec.Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writes := isWrite(req)
		if !p.admit(w, r, writes) {
			return
		}
		response, dropped := p.apply(writes, func(k *keyspace, now time.Time) any { return run(k, req, now) })
		if dropped {
			closeConnection(w)
			return
		}
		writeJSON(w, response)
	}
}

// admit applies the faults and the rate limit that act before a call runs. It
// reports whether the call runs; if not, it has written the response.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, writes bool) bool {
	p.mu.Lock()
	faults := p.faults
	allowed := p.count(writes)
	p.mu.Unlock()
	if faults.Unresponsive {
		<-r.Context().Done()
		return false
	}
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
			return false
		}
	}
	if faults.Unavailable {
		http.Error(w, "service unavailable: injected fault", http.StatusServiceUnavailable)
		return false
	}
	if !allowed {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return false
	}
	return true
}

// count counts a call and reports whether the rate limit allows it.
func (p *Platform) count(writes bool) bool {
	limiter := p.reads
	if writes {
		limiter = p.writes
		p.calls.Writes++
	} else {
		p.calls.Reads++
	}
	if !limiter.AllowN(p.now(), 1) {
		p.calls.Refused++
		return false
	}
	return true
}

// apply runs a call and reports whether its response is dropped.
func (p *Platform) apply(writes bool, run func(*keyspace, time.Time) any) (any, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.keys.expire(now)
	response := run(p.keys, now)
	if !writes {
		return response, false
	}
	p.changed.Broadcast()
	if p.faults.DropResponses > 0 {
		p.faults.DropResponses--
		return nil, true
	}
	return response, false
}

// serveWatch streams events until the caller disconnects or the store becomes
// unavailable.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req savorystore.WatchRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit(w, r, false) {
		return
	}
	stop := p.wakeWatches(r)
	defer stop()
	p.mu.Lock()
	p.calls.Watches++
	next := req.Create.StartRevision
	if next == 0 {
		next = p.keys.revision + 1
	}
	p.mu.Unlock()
	defer p.endWatch()
	writeJSON(w, savorystore.WatchResponse{Result: savorystore.WatchResult{Created: true}})
	flush(w)
	for {
		events, revision, ok := p.nextEvents(r, next, req.Create)
		if !ok {
			return
		}
		next = revision + 1
		writeJSON(w, savorystore.WatchResponse{Result: savorystore.WatchResult{
			Header: savorystore.Header{Revision: revision}, Events: events,
		}})
		flush(w)
	}
}

// nextEvents waits for events from revision next on. It returns false when the
// watch has ended.
func (p *Platform) nextEvents(r *http.Request, next int64, create savorystore.WatchCreate) ([]savorystore.WatchEvent, int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r.Context().Err() == nil && !p.faults.Unavailable {
		p.keys.expire(p.now())
		events := p.keys.since(next, create)
		if len(events) > 0 && !p.faults.StalledWatches && !p.faults.Unresponsive {
			return events, p.keys.revision, true
		}
		p.changed.Wait()
	}
	return nil, 0, false
}

// wakeWatches wakes waiting watches periodically, so that leases expire, and when
// the caller disconnects. The returned function stops the waking.
func (p *Platform) wakeWatches(r *http.Request) func() {
	ticker := time.NewTicker(watchPollInterval)
	done := make(chan struct{})
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				p.changed.Broadcast()
			case <-r.Context().Done():
				p.changed.Broadcast()
				return
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

func (p *Platform) endWatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Watches--
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(fmt.Sprintf("close a connection: %v", err))
	}
	_ = conn.Close()
}
