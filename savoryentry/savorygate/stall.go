package savorygate

// This file finds out why a stream makes no event, and moves it to another
// chain.

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorypath"
)

const (
	// lookPasses is the number of estimated passes without an event after which
	// the first engine is asked whom the stream waits for, within lookLeast and
	// lookMost: a pause beyond the objective makes the stream late.
	lookPasses = 5
	lookLeast  = 120 * time.Millisecond
	lookMost   = 300 * time.Millisecond
	// firstEventLooks stretches that time before the first event, which waits
	// for the prompt to be read.
	firstEventLooks = 2
	// nextLook is the time between further looks.
	nextLook = 120 * time.Millisecond
	// unknownStall is the time without an event after which a chain is given up even
	// if no engine is named; callers leave after about two seconds.
	unknownStall = 1300 * time.Millisecond
	// moveTries bounds the paths that are tried for one move: each finds one unfit
	// engine at least, and few are lost at once.
	moveTries = 4
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
	after  time.Duration
	lastAt time.Time
	events bool
	ended  bool
	// moving is set while the stream is moved: an engine that leaves and one that
	// stalls may ask for it at once.
	moving bool
}

func newStallWatch(ctx context.Context, a *attempt) *stallWatch {
	w := &stallWatch{a: a, ctx: ctx, path: a.path, lastAt: a.g.now()}
	w.after = min(lookMost, max(lookLeast, lookPasses*a.choice.PassTime))
	w.timer = time.AfterFunc(firstEventLooks*w.after, w.look)
	a.g.streams.add(w)
	return w
}

// event notes that the stream goes on.
func (w *stallWatch) event(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAt, w.events = now, true
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	w.ended = true
	w.timer.Stop()
	w.mu.Unlock()
	w.a.g.streams.remove(w)
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
	after := w.after
	if !w.events {
		after *= firstEventLooks
	}
	quiet := g.now().Sub(w.lastAt)
	if quiet < after {
		w.timer.Reset(after - quiet)
		w.mu.Unlock()
		return
	}
	path := w.path
	w.mu.Unlock()
	moved := w.inspect(path, quiet)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if moved {
		w.lastAt = g.now()
	}
	w.timer.Reset(nextLook)
}

// inspect asks the first engine whom the stream waits for, and moves or ends
// the attempt. It reports whether the stream was moved.
func (w *stallWatch) inspect(path savorypath.Path, quiet time.Duration) bool {
	g, a := w.a.g, w.a
	first := path[0]
	report, err := g.report(w.ctx, first.Address)
	if w.ctx.Err() != nil {
		return false
	}
	if w.resumed(quiet) {
		return false
	}
	if err != nil {
		until := g.view.recordFailure(first.Server, true, g.now())
		a.log.WithError(err).WithFields(log.Fields{"server": first.Server, "avoidedMs": until.Sub(g.now()).Milliseconds()}).Info("first engine is silent")
		w.giveUp()
		return false
	}
	address, ok := report.Stalled[a.caller.ID]
	if !ok {
		if quiet > unknownStall {
			a.log.WithField("path", path.String()).Info("stream stalled without a known cause")
			w.giveUp()
		}
		return false
	}
	culprit := serverAt(path, address)
	if culprit == "" {
		return false
	}
	until := g.view.recordFailure(culprit, true, g.now())
	a.log.WithFields(log.Fields{
		"server": culprit, "namedBy": first.Server, "avoidedMs": until.Sub(g.now()).Milliseconds(),
	}).Info("engine stalls the stream")
	if culprit != first.Server && w.move(path, culprit) {
		return true
	}
	w.giveUp()
	return false
}

// resumed reports whether an event came while the stream was looked at: this
// entry itself may have been slow.
func (w *stallWatch) resumed(quiet time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.a.g.now().Sub(w.lastAt) < quiet
}

// giveUp ends the attempt if the stream can go on elsewhere. Otherwise it goes
// on waiting: the engine may still answer, and nothing better is at hand.
func (w *stallWatch) giveUp() {
	if !w.resumed(lookLeast) && !w.isMoving() && w.a.canGoOn() {
		w.a.cancel(errStalled)
	}
}

// move lets the stream go on over other engines; those that stay keep its
// memory. Engines that turn out to be missing or full are avoided in turn: several
// may be lost at once, and the memory of those that are left is soon taken.
func (w *stallWatch) move(path savorypath.Path, culprit string) bool {
	if !w.beginMove(path) {
		return false
	}
	defer w.endMove()
	avoid := map[string]bool{culprit: true}
	for range moveTries {
		unfit, moved := w.tryMove(path, avoid)
		if moved || len(unfit) == 0 {
			return moved
		}
		for _, server := range unfit {
			avoid[server] = true
		}
	}
	return false
}

// tryMove tries one path without the avoided engines. It reports whether the
// stream was moved, and which engines turned out to be unfit.
func (w *stallWatch) tryMove(path savorypath.Path, avoid map[string]bool) (unfit []string, moved bool) {
	g, a := w.a.g, w.a
	choice, err := g.view.choosePath(a.service.Name, savorypath.Request{
		Tokens: a.tokens, FirstServer: path[0].Server, CurrentPath: path, Continuing: true, AllowCrossZone: true, Avoid: func(id string) bool { return avoid[id] },
	}, g.now())
	if err != nil {
		a.log.WithError(err).WithField("avoided", len(avoid)).Info("no chain to move to")
		return nil, false
	}
	release := func() { g.view.endPath(a.service.Name, choice.Path, a.tokens) }
	if choice.Path[0] != path[0] {
		release()
		return nil, false
	}
	ctx, cancel := context.WithTimeout(w.ctx, lookTimeout)
	defer cancel()
	result, missing, err := g.Engines.Repath(ctx, path[0].Address, path[0].Server, a.caller.ID, choice.Path)
	g.metrics.orders.WithLabelValues("Repath", string(result)).Inc()
	if result == OrderRefused {
		unfit = unfitFor(path, choice.Path, missing)
	}
	a.log.WithFields(log.Fields{
		"from": path.String(), "to": choice.Path.String(), "result": string(result), "unfit": strings.Join(unfit, ","),
	}).Info("stream moved")
	if err != nil || result == OrderRefused {
		release()
		for _, server := range unfit {
			g.view.recordFailure(server, false, g.now())
		}
		return unfit, false
	}
	if !w.replacePath(choice.Path) {
		// The attempt ended meanwhile and took its path off the load itself.
		release()
		return nil, false
	}
	g.view.endPath(a.service.Name, path, a.tokens)
	return nil, true
}

// unfitFor returns the engines for which a move from one path to another was
// refused: the one that is named as missing, or the new ones, of which one has no
// room.
func unfitFor(from, to savorypath.Path, missing netip.AddrPort) []string {
	if server := serverAt(to, missing); server != "" {
		return []string{server}
	}
	var unfit []string
	for _, h := range to {
		if !slices.Contains(from, h) {
			unfit = append(unfit, h.Server)
		}
	}
	return unfit
}

// replacePath notes the path that a running attempt was moved to.
func (w *stallWatch) replacePath(path savorypath.Path) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	w.path = path
	return true
}

// beginMove reports whether the stream may be moved off path now.
func (w *stallWatch) beginMove(path savorypath.Path) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moving || w.ended || !slices.Equal(w.path, path) {
		return false
	}
	w.moving = true
	return true
}

// isMoving reports whether the stream is being moved.
func (w *stallWatch) isMoving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.moving
}

func (w *stallWatch) endMove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moving = false
}

// streams knows the attempts that run, by the engines of their chains.
type streams struct {
	mu  sync.Mutex
	all map[*stallWatch]struct{}
}

func (s *streams) add(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[*stallWatch]struct{})
	}
	s.all[w] = struct{}{}
}

func (s *streams) remove(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, w)
}

// using returns the attempts whose chain uses the server behind its first hop.
func (s *streams) using(server string) []*stallWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*stallWatch
	for w := range s.all {
		if path := w.currentPath(); path.Uses(server) && path[0].Server != server {
			found = append(found, w)
		}
	}
	return found
}

// leavePart is how long streams may still end by themselves on an engine that
// leaves, before they are moved: a part of the time that it goes on serving.
const leavePart = 0.3

// moveAway moves the streams of an engine that leaves.
func (g *Gate) moveAway(server string) {
	g.sleep(time.Duration(leavePart * float64(g.Settings().DrainTime)))
	for _, w := range g.streams.using(server) {
		if w.ctx.Err() != nil {
			continue
		}
		if w.move(w.currentPath(), server) {
			w.mu.Lock()
			w.lastAt = g.now()
			w.mu.Unlock()
		}
	}
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
