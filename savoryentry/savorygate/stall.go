package savorygate

// This file finds out why a stream makes no event, and moves it to another
// chain.

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorypath"
)

const (
	// firstLook is the time without an event after which the first engine is
	// asked whom the stream waits for; it leaves time to go on within the
	// caller's patience.
	firstLook = 300 * time.Millisecond
	// nextLook is the time between further looks.
	nextLook = 250 * time.Millisecond
	// looks is the number of looks after which a chain is given up even if no
	// engine is named.
	looks = 5
	// lookTimeout bounds a report or a move of a stream.
	lookTimeout = 250 * time.Millisecond
)

// stallWatch watches one attempt of a stream.
type stallWatch struct {
	a   *attempt
	ctx context.Context

	mu     sync.Mutex
	path   savorypath.Path
	timer  *time.Timer
	lastAt time.Time
	looked int
	ended  bool
}

func newStallWatch(a *attempt, ctx context.Context) *stallWatch {
	w := &stallWatch{a: a, ctx: ctx, path: a.path, lastAt: a.g.now()}
	w.timer = time.AfterFunc(firstLook, w.look)
	return w
}

// event notes that the stream goes on.
func (w *stallWatch) event(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAt = now
	w.looked = 0
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

func (w *stallWatch) currentPath() savorypath.Path {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.path
}

// look runs when the stream may have stalled.
func (w *stallWatch) look() {
	g := w.a.g
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	if quiet := g.now().Sub(w.lastAt); quiet < firstLook {
		w.timer.Reset(firstLook - quiet)
		w.mu.Unlock()
		return
	}
	w.looked++
	n, path := w.looked, w.path
	w.mu.Unlock()
	moved := w.inspect(path, n)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if moved {
		w.lastAt, w.looked = g.now(), 0
	}
	w.timer.Reset(nextLook)
}

// inspect asks the first engine whom the stream waits for, and moves or ends
// the attempt. It reports whether the stream was moved.
func (w *stallWatch) inspect(path savorypath.Path, n int) bool {
	g, a := w.a.g, w.a
	first := path[0]
	report, err := g.report(w.ctx, first.Address)
	if w.ctx.Err() != nil {
		return false
	}
	if err != nil {
		until := g.view.failed(first.Server, true, g.now())
		a.log.WithError(err).WithFields(log.Fields{"server": first.Server, "avoidedMs": until.Sub(g.now()).Milliseconds()}).Info("first engine is silent")
		a.cancel(errStalled)
		return false
	}
	address, ok := report.Stalled[a.caller.ID]
	if !ok {
		if n >= looks {
			a.log.WithField("path", path.String()).Info("stream stalled without a known cause")
			a.cancel(errStalled)
		}
		return false
	}
	culprit := byAddress(path, address)
	if culprit == "" {
		return false
	}
	until := g.view.failed(culprit, true, g.now())
	a.log.WithFields(log.Fields{
		"server": culprit, "namedBy": first.Server, "avoidedMs": until.Sub(g.now()).Milliseconds(),
	}).Info("engine stalls the stream")
	if culprit == first.Server || !w.move(path, culprit) {
		a.cancel(errStalled)
		return false
	}
	return true
}

// move lets the stream go on over other engines; those that stay keep its
// memory.
func (w *stallWatch) move(path savorypath.Path, culprit string) bool {
	g, a := w.a.g, w.a
	first := path[0].Server
	choice, err := g.view.choosePath(a.service.Name, savorypath.Request{
		Tokens: a.tokens, First: first, Across: true, Avoid: func(id string) bool { return id == culprit },
	}, g.now())
	if err != nil {
		a.log.WithError(err).WithField("server", culprit).Info("no chain to move to")
		return false
	}
	release := func() { g.view.endPath(a.service.Name, choice.Path, a.tokens) }
	if choice.Path[0] != path[0] {
		release()
		return false
	}
	ctx, cancel := context.WithTimeout(w.ctx, lookTimeout)
	defer cancel()
	result, err := g.Engines.Repath(ctx, path[0].Address, first, a.caller.ID, choice.Path)
	g.metrics.orders.WithLabelValues("Repath", string(result)).Inc()
	a.log.WithFields(log.Fields{"from": path.String(), "to": choice.Path.String(), "result": string(result)}).Info("stream moved")
	if err != nil || result == OrderRefused {
		release()
		return false
	}
	w.mu.Lock()
	w.path = choice.Path
	w.mu.Unlock()
	g.view.endPath(a.service.Name, path, a.tokens)
	return true
}

// reports shares the reports of engines among the streams that ask at once.
type reports struct {
	mu    sync.Mutex
	calls map[netip.AddrPort]*reportCall
}

type reportCall struct {
	done   chan struct{}
	at     time.Time
	report Report
	err    error
}

// reportShared is how long a report is shared.
const reportShared = 100 * time.Millisecond

// report returns what an engine says of itself, at most reportShared old.
func (g *Gate) report(ctx context.Context, address netip.AddrPort) (Report, error) {
	g.reports.mu.Lock()
	if g.reports.calls == nil {
		g.reports.calls = make(map[netip.AddrPort]*reportCall)
	}
	rc := g.reports.calls[address]
	if rc == nil || g.now().Sub(rc.at) > reportShared {
		rc = &reportCall{done: make(chan struct{}), at: g.now()}
		g.reports.calls[address] = rc
		go func() {
			defer close(rc.done)
			ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
			defer cancel()
			rc.report, rc.err = g.Engines.Report(ctx, address)
		}()
	}
	g.reports.mu.Unlock()
	select {
	case <-rc.done:
		return rc.report, rc.err
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
}
