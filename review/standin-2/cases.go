package main

// This file defines the cases.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func requestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// config returns a configuration with the routes and services of a small deployment.
func config() map[string]any {
	route := func(name, prefix, kind, service string, timeoutMS, attempts, objectiveMS int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeoutMS, "max_attempts": attempts,
			"target_latency_ms": objectiveMS, "priority": 1, "auth_exempt": false, "sticky": kind == "streaming", "resumable": kind == "streaming", "gap_target_ms": 200,
		}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("r-permit", "/permit/", "non_idempotent", "orders", 800, 1, 100),
			route("r-yard", "/yard/", "non_idempotent", "yard", 800, 1, 100),
			route("r-stock", "/stock/", "idempotent", "orders", 800, 2, 100),
			route("r-draft", "/draft/", "streaming", "draft-llm", 20000, 2, 500),
		},
		"services": []any{
			map[string]any{"name": "orders", "health_path": "/health", "max_conns": 48},
			map[string]any{"name": "yard", "health_path": "/health", "max_conns": 48},
			map[string]any{"name": "draft-llm", "health_path": "/health", "max_conns": 898, "engine": map[string]any{
				"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 1000, "link_mbps": 400000.0, "stride": 3, "models": []any{map[string]any{"name": "m", "pace": 1.0, "load_s": 0.5, "warm_s": 0.1}},
				"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.01, "read_per_s": 105000, "chunk": 512, "report_lag_ms": 100, "loads_at_once": 8,
				"layers": engineLayers, "layer_mb": 100.0, "activation_bytes": 1000, "pipe_mbps": 18000.0, "usual": map[string]int{"prompt": 800, "answer": 170},
				"kinds": []any{map[string]any{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_factor": 3.2}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}}},
	}
}

// engineLayers is the number of layers of the model. Each engine holds all of them.
const engineLayers = 1

func zone(i int) string { return []string{"pnw-a", "pnw-b", "pnw-c"}[i%3] }

// startOrders starts the three servers of orders, with 6 slots each.
func (d *deployment) startOrders(change func(i int, c *workerConfig)) error {
	for i := range 3 {
		c := workerConfig{ID: fmt.Sprintf("i-orders-%d", i+1), Service: "orders", Zone: zone(i), Slots: 6, Queue: 24, Work: 15 * time.Millisecond}
		if change != nil {
			change(i, &c)
		}
		if err := d.startWorker(c); err != nil {
			return err
		}
	}
	return nil
}

// startYard starts the three servers of yard.
func (d *deployment) startYard() error {
	for i := range 3 {
		err := d.startWorker(workerConfig{ID: fmt.Sprintf("i-yard-%d", i+1), Service: "yard", Zone: zone(i), Slots: 6, Queue: 24, Work: 15 * time.Millisecond})
		if err != nil {
			return err
		}
	}
	return nil
}

// startEngines starts n engines.
func (d *deployment) startEngines(n int, change func(i int, c *workerConfig)) error {
	for i := range n {
		c := workerConfig{
			ID: fmt.Sprintf("i-draft-%d", i+1), Service: "draft-llm", Zone: zone(i), Slots: 192, Queue: 96, Kind: "a100", Work: 50 * time.Millisecond,
			Load: 500 * time.Millisecond, Layers: engineLayers, Events: 40, EventTime: 10 * time.Millisecond,
		}
		if change != nil {
			change(i, &c)
		}
		if err := d.startWorker(c); err != nil {
			return err
		}
	}
	return nil
}

// plain returns a request to orders: two of three are permits, which must not be repeated.
func plain(n int) request {
	r := request{method: http.MethodPost, path: "/permit/2f", host: host, id: requestID(), key: apiKey, deadline: 1500 * time.Millisecond}
	if n%3 == 0 {
		r.method, r.path = http.MethodGet, "/stock/2f"
	}
	return r
}

func draft(prompt string) request {
	return request{method: http.MethodPost, path: "/draft/2f", host: host, id: requestID(), key: apiKey, deadline: 20 * time.Second, prompt: prompt}
}

// start starts the servers and n entries, and waits until requests of both kinds are served.
func (d *deployment) start(entries int, probes ...request) error {
	if err := d.configure(config()); err != nil {
		return err
	}
	if err := d.startEntries(entries); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	for _, e := range d.entries {
		for _, p := range probes {
			c := &client{to: e.front}
			defer c.close()
			served := false
			for end := time.Now().Add(startTimeout); !served && time.Now().Before(end); {
				p.id = requestID()
				res := c.send(p)
				d.noteResult(res)
				if served = res.status == http.StatusOK && res.complete; !served {
					time.Sleep(200 * time.Millisecond)
				}
			}
			if !served {
				return fmt.Errorf("%s does not serve %s", e.name, p.path)
			}
		}
	}
	d.begun = time.Now()
	d.note("traffic starts")
	return nil
}

// wholeAnswer returns why a success is not the whole answer of a server, or "".
func wholeAnswer(r result) string {
	stamp := r.header.Get("Server-Stamp")
	switch {
	case r.status/100 != 2 || !r.complete:
		return ""
	case !strings.HasPrefix(stamp, "stamp.") || !strings.HasSuffix(stamp, "."+r.id):
		return fmt.Sprintf("MIXED: %s %s %s got %d, ended as complete, with Server-Stamp %q and the body %.40q", r.method, r.path, r.id, r.status, stamp, r.body)
	case r.body != bodyOf(r.id):
		return fmt.Sprintf("MIXED: %s %s %s got %d, ended as complete, with %d of the %d bytes of its server's answer", r.method, r.path, r.id, r.status, len(r.body), len(bodyOf(r.id)))
	}
	return ""
}

// collector collects what broke a rule.
type collector struct {
	mu     sync.Mutex
	broken []string
}

func (c *collector) add(text string) {
	if text == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// entryWithoutID: another writer keeps an entry in the list without an ID and three fields. It names the
// service orders and an address that a server of yard has now.
func entryWithoutID(d *deployment) ([]string, error) {
	err := d.startOrders(nil)
	if err == nil {
		err = d.startYard()
	}
	yard := plain(1)
	yard.path = "/yard/2f"
	if err == nil {
		err = d.start(3, plain(0), yard)
	}
	if err != nil {
		return nil, err
	}
	until := d.begun.Add(20 * time.Second)
	if d.trouble {
		d.mu.Lock()
		address := d.workers["i-yard-2"].config.Address
		d.mu.Unlock()
		go func() {
			time.Sleep(5 * time.Second)
			d.note("disruption begins: another writer writes the key servers/ with the service orders and the address %s", address)
			for time.Now().Before(until) {
				d.store.put("servers/", fmt.Appendf(nil, `{"service":"orders","address":%q,"zone":"pnw-b","slots":6,"state":"ready"}`, address))
				time.Sleep(heartbeat)
			}
		}()
	}
	var yardRequests sync.WaitGroup
	yardRequests.Go(func() {
		d.load(6, until, func(int) request {
			r := yard
			r.id = requestID()
			return r
		}, func(result) {})
	})
	d.load(36, until, plain, func(result) {})
	yardRequests.Wait()
	lines, err := d.serverLines()
	if err != nil {
		return nil, err
	}
	var broken []string
	for _, l := range lines {
		if l.event == "runs" && strings.HasPrefix(l.server, "i-yard") != strings.Contains(l.text, "/yard/") {
			broken = append(broken, fmt.Sprintf("ROUTE: %s (%s) is run by %s of another service", l.id, l.text, l.server))
		}
	}
	return broken, nil
}

// noStamp: for five seconds one server of orders spoils one of 50 of its answers.
func noStamp(d *deployment) ([]string, error) {
	err := d.startOrders(func(_ int, c *workerConfig) { c.NoStampEach = 50 })
	if err == nil {
		err = d.start(2, plain(0))
	}
	if err != nil {
		return nil, err
	}
	if d.trouble {
		time.AfterFunc(5*time.Second, func() { d.setFlag("faults", "i-orders-2") })
		time.AfterFunc(10*time.Second, func() { d.clearFlag("faults") })
	}
	var found collector
	d.load(36, d.begun.Add(15*time.Second), plain, func(r result) { found.add(wholeAnswer(r)) })
	return found.broken, nil
}

// deadlyPart is a shared part of prompts.
const deadlyPart = "91bd3f06"

// allowedSends is the number of requests with a part that crashes servers which may reach them
// later than contact after the fifth crash.
const allowedSends = 3

// soundPart: a part on which answers were given begins to crash the servers.
func soundPart(d *deployment) ([]string, error) {
	err := d.startEngines(8, func(_ int, c *workerConfig) { c.DeadlyPart, c.Restart = deadlyPart, 3*time.Second })
	prompt := func(n int) string { return fmt.Sprintf("5c1e07a2:40,%08x:30,%016x:700", 0xa0+n%20, rand.Uint64()) }
	if err == nil {
		err = d.start(3, draft(prompt(0)))
	}
	if err != nil {
		return nil, err
	}
	until := d.begun.Add(45 * time.Second)
	if d.trouble {
		time.AfterFunc(15*time.Second, func() { d.setFlag("deadly") })
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		d.load(12, until, func(n int) request { return draft(prompt(n)) }, func(result) {})
	})
	wg.Go(func() {
		d.load(2, until, func(int) request { return draft(fmt.Sprintf("5c1e07a2:40,%s:30,%016x:700", deadlyPart, rand.Uint64())) }, func(result) {})
	})
	wg.Wait()
	return d.deadlySends()
}

// deadlySends returns what broke the bound on requests with a part that crashes servers.
func (d *deployment) deadlySends() ([]string, error) {
	lines, err := d.serverLines()
	if err != nil {
		return nil, err
	}
	var crashes []time.Time
	var late []string
	for _, l := range lines {
		switch {
		case l.event == "crashes":
			crashes = append(crashes, l.at)
		case l.event == "reached" && strings.Contains(l.text, deadlyPart) && len(crashes) >= 5 && l.at.Sub(crashes[4]) > contact:
			late = append(late, fmt.Sprintf("BUDGET: request %s with the part reaches server %s %.1f s after the fifth crash", l.id, l.server, l.at.Sub(crashes[4]).Seconds()))
		}
	}
	d.note("%d crashes, %d requests with the part later than %s after the fifth", len(crashes), len(late), contact)
	if len(late) <= allowedSends {
		return nil, nil
	}
	return late, nil
}

// partAfter returns the case in which the part that crashes servers comes after a number of turns of
// a conversation.
func partAfter(n int) caseFunc {
	return func(d *deployment) ([]string, error) { return d.partAfter(n) }
}

func (d *deployment) partAfter(n int) ([]string, error) {
	err := d.startEngines(8, func(_ int, c *workerConfig) { c.DeadlyPart, c.Restart = deadlyPart, 3*time.Second })
	turns := ""
	for i := range n {
		turns += fmt.Sprintf("%08x:30,", 0xc0+i)
	}
	prompt := func() string { return fmt.Sprintf("5c1e07a2:40,%s%016x:700", turns, rand.Uint64()) }
	if err == nil {
		err = d.start(3, draft(prompt()))
	}
	if err != nil {
		return nil, err
	}
	until := d.begun.Add(40 * time.Second)
	if d.trouble {
		d.setFlag("deadly")
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		d.load(12, until, func(int) request { return draft(prompt()) }, func(result) {})
	})
	wg.Go(func() {
		time.Sleep(5 * time.Second)
		d.load(2, until, func(int) request {
			return draft(fmt.Sprintf("5c1e07a2:40,%s%s:30,%016x:700", turns, deadlyPart, rand.Uint64()))
		}, func(result) {})
	})
	wg.Wait()
	return d.deadlySends()
}
