package main

// This file defines the cases.

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["plain-broken-off"] = plainBrokenOff
	cases["stream-ended-early"] = streamEndedEarly
	cases["failure-cut"] = failureCut
	cases["stream-crash"] = streamCrash
	cases["plain-stream-crash"] = plainStreamCrash
}

const (
	plainService  = "orders"
	engineService = "draft"
	plainPath     = "/permits/new"
	streamPath    = "/briefs/new"
	entries       = 2
	workers       = 7
)

// config returns a configuration with one route. engine is true if its service has engines.
func config(version int, kind string, resumable bool) map[string]any {
	service, path, timeout := plainService, plainPath, 1500
	if kind == "streaming" {
		service, path, timeout = engineService, streamPath, 20000
	}
	route := map[string]any{
		"name": "r-1", "host": host, "prefix": path[:strings.LastIndex(path, "/")+1], "kind": kind, "timeout_ms": timeout, "target_latency_ms": 500,
		"priority": 1, "service": service, "max_attempts": 2, "auth_exempt": false, "sticky": kind == "streaming", "resumable": resumable, "gap_target_ms": 200,
	}
	s := map[string]any{"name": service, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}
	if kind == "streaming" {
		// A model of 8 layers; each engine has memory for all of them.
		s["engine"] = map[string]any{
			"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 91800, "link_mbps": 400000.0, "stride": 3,
			"models":  []any{map[string]any{"name": "m0", "pace": 1.0, "load_s": 4.0, "warm_s": 1.0}},
			"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
			"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 5, "delays": []any{}, "usual": map[string]int{"prompt": 774, "answer": 203},
			"layers": 8, "layer_mb": 1750.0, "activation_bytes": 45900, "pipe_mbps": 18000.0,
			"kinds": []any{map[string]any{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_factor": 3.2}},
		}
	}
	return map[string]any{
		"version": version, "routes": []any{route}, "services": []any{s},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// deploy starts the store, the workers and the entries, and waits until all are in use.
func (f *fleet) deploy(ctx context.Context, cfg map[string]any, worker func(i int) workerSettings) error {
	if err := f.startStore(ctx); err != nil {
		return err
	}
	if err := f.putConfig(cfg); err != nil {
		return err
	}
	for i := range workers {
		s := worker(i)
		s.ID, s.Address, s.Zone = fmt.Sprintf("i-%d", i), f.workerAddr(i), fmt.Sprintf("zone-%d", i%entries)
		if err := f.startWorker(s); err != nil {
			return err
		}
	}
	if err := f.startEntries(ctx, entries); err != nil {
		return err
	}
	// The users' traffic starts 10 s after the machines do.
	time.Sleep(time.Until(f.began.Add(10 * time.Second)))
	return ctx.Err()
}

func plainRequest(id string) request {
	return request{id: id, method: http.MethodPost, path: plainPath, body: "permit for " + id, deadline: 1500 * time.Millisecond}
}

// streamRequest returns a request for a stream. part is a shared part of its prompt.
func streamRequest(id, part string, events int) request {
	return request{
		id: id, method: http.MethodPost, path: streamPath, body: "prompt of " + id, deadline: 20 * time.Second,
		header: map[string]string{
			"Model": "m0", "Token-Count": fmt.Sprintf("800,%d", events*tokensPerEvent), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%s:300,%x:460", part, id),
		},
	}
}

// success reports whether the client got a success that looks complete.
func (r result) success() bool { return r.complete && r.status >= 200 && r.status < 300 }

// plainBrokenOff: a worker crashes in the middle of an answer without a length.
func plainBrokenOff(ctx context.Context, f *fleet) ([]string, error) {
	const bodyBytes = 4800
	err := f.deploy(ctx, config(1, "non_idempotent", false), func(int) workerSettings {
		return workerSettings{Service: plainService, Slots: 6, WorkMS: 15, PauseMS: 300, BodyBytes: bodyBytes, NoLength: true}
	})
	if err != nil {
		return nil, err
	}
	const victim = "i-0"
	if f.trouble {
		go func() {
			time.Sleep(1500 * time.Millisecond)
			// The worker has written the first half of an answer, and writes the rest PauseMS later.
			known := len(f.seen("worker "+victim, "wrote the first"))
			for len(f.seen("worker "+victim, "wrote the first")) == known && ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			f.log("disruption: worker %s crashes (SIGKILL)", victim)
			f.signal(victim, syscall.SIGKILL)
		}()
	}
	results := f.sendAll(60, 100*time.Millisecond, func(i int) request { return plainRequest(fmt.Sprintf("permit-%02d", i)) })
	var broken []string
	for _, r := range results {
		if want := plainBody(r.id, bodyBytes); r.success() && !bytes.Equal(r.body, want) {
			broken = append(broken, fmt.Sprintf("MIXED: the client got a success with a body that is not the worker's whole body: %s; the whole body has %d bytes", r, len(want)))
		}
	}
	return broken, nil
}

// sendAll sends n requests, one after each gap, to the entries in turn, and returns their
// results.
func (f *fleet) sendAll(n int, gap time.Duration, next func(i int) request) []result {
	results := make([]result, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { results[i] = f.send(f.entryAddr(i%entries, frontPort), next(i)) })
		time.Sleep(gap)
	}
	wg.Wait()
	return results
}

// restartCrashed starts workers that have crashed again after some seconds.
func (f *fleet) restartCrashed(ctx context.Context, s func(i int) workerSettings) {
	for i := range workers {
		go func() {
			for ctx.Err() == nil {
				id := fmt.Sprintf("i-%d", i)
				if !f.wait(id, 200*time.Millisecond) {
					continue
				}
				f.mu.Lock()
				ended := f.ended
				f.mu.Unlock()
				if ended {
					return
				}
				time.Sleep(4 * time.Second)
				w := s(i)
				w.ID, w.Address, w.Zone = id, f.workerAddr(i), fmt.Sprintf("zone-%d", i%entries)
				f.log("platform worker %s is back", id)
				if f.startWorker(w) != nil {
					return
				}
			}
		}()
	}
}

// checkStream returns what is wrong with a stream that looks complete.
func checkStream(r result, events int) string {
	if !r.success() {
		return ""
	}
	var want bytes.Buffer
	for n := 1; n <= events; n++ {
		want.WriteString(eventText(r.id, n, events))
	}
	if bytes.Equal(r.body, want.Bytes()) {
		return ""
	}
	return fmt.Sprintf("ORDER: the stream ends as complete with %d of %d events: %s", bytes.Count(r.body, []byte("\n\n")), events, r)
}

// streamEndedEarly: a part of a prompt crashes each engine that begins to write an answer on
// it. Streams come without a length.
func streamEndedEarly(ctx context.Context, f *fleet) ([]string, error) {
	const (
		events  = 40
		bad     = "bad0bad0"
		sound   = "91bd3f06"
		streams = 24
	)
	engine := func(int) workerSettings {
		return workerSettings{
			Service: engineService, Slots: 192, Layers: 8, Kind: "a100", LoadMS: 4000, WorkMS: 20, EventMS: 20, NoLength: true, CrashPart: bad, CrashEvent: 3,
		}
	}
	if err := f.deploy(ctx, config(1, "streaming", true), engine); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.restartCrashed(ctx, engine)
	results := f.sendAll(streams, 250*time.Millisecond, func(i int) request {
		part := sound
		if f.trouble && i >= 8 && i%4 == 0 {
			part = bad
			f.log("disruption: the prompt of stream-%02d has the part that crashes workers", i)
		}
		return streamRequest(fmt.Sprintf("stream-%02d", i), part, events)
	})
	var broken []string
	for _, r := range results {
		if b := checkStream(r, events); b != "" {
			broken = append(broken, b)
		}
	}
	return broken, nil
}

// failureCut: some engines answer one request in twenty with a failure whose body has no end.
func failureCut(ctx context.Context, f *fleet) ([]string, error) {
	const events = 5
	if err := f.deploy(ctx, config(1, "streaming", false), func(i int) workerSettings {
		s := workerSettings{Service: engineService, Slots: 192, Layers: 8, Kind: "a100", LoadMS: 4000, WorkMS: 20, EventMS: 20}
		if f.trouble && i%2 == 1 {
			s.EndlessEvery = 20
		}
		return s
	}); err != nil {
		return nil, err
	}
	if f.trouble {
		f.log("disruption: workers i-1, i-3 and i-5 answer one request in %d with bytes without end", 20)
	}
	results := f.sendAll(400, 40*time.Millisecond, func(i int) request {
		return streamRequest(fmt.Sprintf("stream-%03d", i), "91bd3f06", events)
	})
	var broken []string
	for _, r := range results {
		endless := len(f.seen("worker", "answers "+r.id+" with 500 and a body without end")) > 0
		if endless && r.complete && r.header.Get("Server-Stamp") != "" {
			broken = append(broken, fmt.Sprintf("MIXED: an answer of a worker that has no end looks complete: %s", r))
		}
	}
	return broken, nil
}

// streamCrash: engines crash while they write streams without a length, one at a time.
func streamCrash(ctx context.Context, f *fleet) ([]string, error) {
	const (
		events  = 100
		streams = 1500
		gap     = 17 * time.Millisecond
		crashes = 3
		// crashGap is longer than a worker is away, so that one of seven is away at a time.
		crashGap = 6500 * time.Millisecond
	)
	engine := func(int) workerSettings {
		return workerSettings{Service: engineService, Slots: 192, Layers: 8, Kind: "a100", LoadMS: 4000, WorkMS: 20, EventMS: 40, NoLength: true}
	}
	if err := f.deploy(ctx, config(1, "streaming", true), engine); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.restartCrashed(ctx, engine)
	go func() {
		for i := range crashes {
			time.Sleep(crashGap)
			if f.trouble && ctx.Err() == nil {
				id := fmt.Sprintf("i-%d", i%workers)
				f.log("disruption: worker %s crashes (SIGKILL)", id)
				f.signal(id, syscall.SIGKILL)
			}
		}
	}()
	results := f.sendAll(streams, gap, func(i int) request { return streamRequest(fmt.Sprintf("stream-%04d", i), "91bd3f06", events) })
	var broken []string
	for _, r := range results {
		if b := checkStream(r, events); b != "" {
			broken = append(broken, b)
		}
	}
	return broken, nil
}

// plainStreamCrash: a worker of a service without engines crashes while it writes event
// streams without a length.
func plainStreamCrash(ctx context.Context, f *fleet) ([]string, error) {
	const (
		events = 25
		victim = "i-0"
	)
	cfg := config(1, "streaming", true)
	delete(cfg["services"].([]any)[0].(map[string]any), "engine")
	err := f.deploy(ctx, cfg, func(int) workerSettings {
		return workerSettings{Service: engineService, Slots: 192, Streams: true, WorkMS: 20, EventMS: 40, NoLength: true}
	})
	if err != nil {
		return nil, err
	}
	if f.trouble {
		go func() {
			time.Sleep(4 * time.Second)
			f.log("disruption: worker %s crashes (SIGKILL)", victim)
			f.signal(victim, syscall.SIGKILL)
		}()
	}
	results := f.sendAll(240, 33*time.Millisecond, func(i int) request { return streamRequest(fmt.Sprintf("stream-%03d", i), "91bd3f06", events) })
	var broken []string
	for _, r := range results {
		if b := checkStream(r, events); b != "" {
			broken = append(broken, b)
		}
	}
	return broken, nil
}
