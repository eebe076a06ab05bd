package savorygate

// This file detects stalled streams and the engines that stall them, and moves
// streams to other chains.

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// stallPasses is the number of estimated passes without an event after
	// which the first engine is asked which engine the stream waits for. This
	// delay is at least minStallDelay and at most maxStallDelay: a pause
	// beyond the gap objective makes the stream late.
	stallPasses   = 5
	minStallDelay = 120 * time.Millisecond
	maxStallDelay = 300 * time.Millisecond
	// firstEventFactor multiplies this delay before the first event, which
	// arrives only after the prompt has been read.
	firstEventFactor = 2
	// stallCheckInterval is the time between further checks.
	stallCheckInterval = 120 * time.Millisecond
	// unexplainedStallTimeout is the time without an event after which an
	// attempt is canceled even if its first engine names no stalled engine;
	// callers leave after about two seconds.
	unexplainedStallTimeout = 1300 * time.Millisecond
	// maxMoveAttempts bounds the chains that are tried for one move: each
	// refused chain reveals at least one unfit engine, and few engines fail at
	// once.
	maxMoveAttempts = 4
	// stallCallTimeout bounds the call for a report and the call that moves a
	// stream.
	stallCallTimeout = 250 * time.Millisecond
)

// stallWatch checks one attempt of a stream for stalls.
type stallWatch struct {
	attempt *attempt
	ctx     context.Context

	mu          sync.Mutex
	chain       savorypath.Chain
	timer       *time.Timer
	stallDelay  time.Duration
	lastEventAt time.Time
	hasEvents   bool
	ended       bool
	// moving is set while the stream is moved: a leaving engine and a stalled
	// engine may cause a move at the same time.
	moving bool
}

func newStallWatch(ctx context.Context, a *attempt) *stallWatch {
	w := &stallWatch{attempt: a, ctx: ctx, chain: a.chain, lastEventAt: a.g.now()}
	w.stallDelay = min(maxStallDelay, max(minStallDelay, stallPasses*a.choice.PassTime))
	w.timer = time.AfterFunc(firstEventFactor*w.stallDelay, w.check)
	a.g.streams.add(w)
	return w
}

// recordEvent records that an event arrived.
func (w *stallWatch) recordEvent(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEventAt, w.hasEvents = now, true
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	w.ended = true
	w.timer.Stop()
	w.mu.Unlock()
	w.attempt.g.streams.remove(w)
}

func (w *stallWatch) currentChain() savorypath.Chain {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chain
}

// check runs when the timer fires. If no event arrived within the delay, it
// inspects the stream. It sets the timer for the next check.
func (w *stallWatch) check() {
	g := w.attempt.g
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	delay := w.stallDelay
	if !w.hasEvents {
		delay *= firstEventFactor
	}
	idle := g.now().Sub(w.lastEventAt)
	if idle < delay {
		w.timer.Reset(delay - idle)
		w.mu.Unlock()
		return
	}
	chain := w.chain
	w.mu.Unlock()
	moved := w.inspect(chain, idle)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if moved {
		w.lastEventAt = g.now()
	}
	w.timer.Reset(stallCheckInterval)
}

// inspect asks the first engine which engine the stream waits for, and moves
// the stream or cancels the attempt. idle is the time since the last event. It
// reports whether the stream was moved.
func (w *stallWatch) inspect(chain savorypath.Chain, idle time.Duration) bool {
	g, a := w.attempt.g, w.attempt
	first := chain[0]
	report, err := g.report(w.ctx, first.Address)
	if w.ctx.Err() != nil {
		return false
	}
	if w.resumed(idle) {
		return false
	}
	if err != nil {
		until := g.view.recordFailure(first.Server, true, g.now())
		a.log.WithError(err).WithFields(log.Fields{"server": first.Server, "avoidedMs": until.Sub(g.now()).Milliseconds()}).Info("first engine does not respond")
		w.cancelIfMovable()
		return false
	}
	address, ok := report.StalledOn[a.caller.ID]
	if !ok {
		if idle > unexplainedStallTimeout {
			// The first engine responds and waits for no other, so it is doubted itself,
			// until it makes events for another stream.
			until := g.view.recordFailure(first.Server, false, g.now())
			a.avoidServer(first.Server)
			a.log.WithFields(log.Fields{"path": chain.String(), "avoidedMs": until.Sub(g.now()).Milliseconds()}).Info("stream stalled without a known cause")
			w.cancelIfMovable()
		}
		return false
	}
	stalled := serverAt(chain, address)
	if stalled == "" {
		return false
	}
	if !a.hasEvents() {
		if i := slices.IndexFunc(chain, func(h savorypath.Hop) bool { return h.Server == stalled }); i > 0 {
			// A silent engine answers the check late, and the stream moves meanwhile.
			go g.checkEnded(a.log, a.prompt, stalled, chain[i].Address, false, a.recordEnded)
		}
	}
	now := g.now()
	until := g.view.recordStall(stalled, chain.LayersOf(stalled), now)
	a.log.WithFields(log.Fields{
		"server": stalled, "namedBy": first.Server, "avoidedMs": max(0, until.Sub(now).Milliseconds()), "gaveUp": until.IsZero(),
	}).Info("engine stalls the stream")
	if stalled != first.Server && w.move(chain, stalled) {
		return true
	}
	w.cancelIfMovable()
	return false
}

// resumed reports whether an event arrived less than idle ago. An event during
// an inspection means that this entry itself may have been slow.
func (w *stallWatch) resumed(idle time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.attempt.g.now().Sub(w.lastEventAt) < idle
}

// cancelIfMovable cancels the attempt if the stream can continue on another
// chain. Otherwise the attempt goes on: the engine may still respond, and there
// is no better chain. If no engine responds, this entry's own link may be full.
func (w *stallWatch) cancelIfMovable() {
	stalled := func() bool { return !w.resumed(minStallDelay) && !w.isMoving() }
	if stalled() && w.attempt.reserveRetry(w.ctx, stalled) {
		w.attempt.cancel(errStalled)
	}
}

// move moves the stream to a chain without avoidedServer; the engines that stay
// on the chain keep its memory. Engines that turn out to be missing or full are
// avoided in the next attempt: several engines may have failed at once, and the
// memory of the remaining ones is soon used up.
func (w *stallWatch) move(chain savorypath.Chain, avoidedServer string) bool {
	if !w.beginMove(chain) {
		return false
	}
	defer w.endMove()
	avoid := map[string]bool{avoidedServer: true}
	for range maxMoveAttempts {
		unfit, moved := w.tryMoveOnce(chain, avoid)
		if moved || len(unfit) == 0 {
			return moved
		}
		for _, server := range unfit {
			avoid[server] = true
		}
	}
	return false
}

// tryMoveOnce tries one chain without the avoided engines. It reports whether
// the stream was moved, and which engines are unfit for it.
func (w *stallWatch) tryMoveOnce(chain savorypath.Chain, avoid map[string]bool) (unfit []string, moved bool) {
	g, a := w.attempt.g, w.attempt
	choice, err := g.view.chooseChain(a.service.Name, savorypath.Request{
		Tokens: a.tokens, FirstServer: chain[0].Server, CurrentChain: chain, Continuing: true, AllowCrossZone: true, Avoid: func(id string) bool { return avoid[id] },
	}, 0, g.now())
	if err != nil {
		a.log.WithError(err).WithField("avoided", len(avoid)).Info("no chain to move to")
		return nil, false
	}
	release := func() { g.view.endChain(a.service.Name, choice.Chain, a.tokens) }
	if choice.Chain[0] != chain[0] {
		release()
		return nil, false
	}
	ctx, cancel := context.WithTimeout(w.ctx, stallCallTimeout)
	defer cancel()
	result, missing, err := g.Engines.Repath(ctx, chain[0].Address, chain[0].Server, a.caller.ID, choice.Chain)
	g.metrics.orders.WithLabelValues("Repath", string(result)).Inc()
	if result == OrderRefused {
		unfit = unfitServers(chain, choice.Chain, missing)
	}
	a.log.WithFields(log.Fields{
		"from": chain.String(), "to": choice.Chain.String(), "result": string(result), "unfit": strings.Join(unfit, ","),
	}).Info("stream moved")
	if err != nil || result == OrderRefused {
		release()
		for _, server := range unfit {
			g.checkRefusal(a.log, a.service, server, choice.Chain)
		}
		return unfit, false
	}
	if !w.replaceChain(choice.Chain) {
		// The attempt has ended in the meantime and has released the load of
		// its chain itself.
		release()
		return nil, false
	}
	a.recordGapCause(gapMoved)
	g.view.endChain(a.service.Name, chain, a.tokens)
	return nil, true
}

// unfitServers returns the engines because of which a move between two chains
// was refused: the engine that is named as missing, or else all new engines, at
// least one of which has no free memory.
func unfitServers(from, to savorypath.Chain, missing netip.AddrPort) []string {
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

// replaceChain records the chain that the attempt was moved to. It reports false
// if the attempt has ended.
func (w *stallWatch) replaceChain(chain savorypath.Chain) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	w.chain = chain
	return true
}

// beginMove reports whether the stream may be moved off chain now. If so,
// endMove must be called after the move.
func (w *stallWatch) beginMove(chain savorypath.Chain) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moving || w.ended || !slices.Equal(w.chain, chain) {
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

// activeStreams holds the watches of all running attempts.
type activeStreams struct {
	mu  sync.Mutex
	all map[*stallWatch]struct{}
}

func (s *activeStreams) add(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[*stallWatch]struct{})
	}
	s.all[w] = struct{}{}
}

func (s *activeStreams) remove(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, w)
}

// using returns the attempts whose chain uses the server in a hop after the
// first.
func (s *activeStreams) using(server string) []*stallWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*stallWatch
	for w := range s.all {
		if chain := w.currentChain(); chain.Uses(server) && chain[0].Server != server {
			found = append(found, w)
		}
	}
	return found
}

// leaveDelayFraction is the fraction of Settings.DrainTime after which the
// streams of a leaving engine are moved. Until then they may still end there.
const leaveDelayFraction = 0.3

// leaveRetryInterval is the interval of the attempts to move the streams that
// remain at a leaving engine: another engine may be loading its layers.
const leaveRetryInterval = 300 * time.Millisecond

// moveStreamsOff moves the streams of a leaving engine to other engines, until none
// is left or the drain time has passed twice: leaving engines often serve longer
// than the drain time.
func (g *Gate) moveStreamsOff(server string) {
	drain := g.Settings().DrainTime
	end := g.now().Add(2 * drain)
	g.sleep(time.Duration(leaveDelayFraction * float64(drain)))
	for g.alive() && g.now().Before(end) {
		remaining := g.streams.using(server)
		if len(remaining) == 0 {
			return
		}
		for _, w := range remaining {
			if w.ctx.Err() == nil && w.move(w.currentChain(), server) {
				w.mu.Lock()
				w.lastEventAt = g.now()
				w.mu.Unlock()
			}
		}
		g.sleep(leaveRetryInterval)
	}
}

// fullFraction is the fraction of an engine's memory or slots from which on it counts as
// full. Its report is some hundred milliseconds old, and a usual request takes a few
// percent.
const fullFraction = 0.8

// errRefusesWithMemory is the failure of an engine that refuses requests although it
// holds the layers and has memory: it is leaving, or in trouble.
var errRefusesWithMemory = errors.New("the engine refuses requests although it has memory")

// refusalCause returns the failure of an engine that refused a request for layers, given
// its report or the error in place of it. It returns nil if the engine has not failed: it
// is short of memory or slots or gives up its layers. slots is 0 if the engine is not the
// first of the chain.
func refusalCause(report Report, err error, layers savoryworld.LayerRange, slots int) error {
	switch {
	case err != nil:
		return err
	case slots > 0 && float64(report.Requests) >= fullFraction*float64(slots):
		return nil
	case report.Busy || report.Holds.Intersect(layers) != layers:
		return nil
	case report.Memory > 0 && report.UsedMemory < fullFraction*report.Memory:
		return errRefusesWithMemory
	}
	return nil
}

// checkRefusal records that an engine of a chain refused a request, or was named as
// the cause of a refusal, and asks the engine for its report.
func (g *Gate) checkRefusal(logger log.Interface, service *savoryrouting.Service, server string, chain savorypath.Chain) {
	first := g.view.recordRefusal(server, g.now())
	g.view.recordPaceRejection(server)
	i := slices.IndexFunc(chain, func(h savorypath.Hop) bool { return h.Server == server })
	if !first || i < 0 {
		return // another refusal has started a check, or the address is unknown
	}
	slots := 0
	if i == 0 {
		slots = service.Engine.Slots
	}
	go func() {
		report, err := g.report(g.ctx, chain[i].Address)
		if err = refusalCause(report, err, chain[i].Layers, slots); err == nil || g.ctx.Err() != nil {
			return
		}
		now := g.now()
		share := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errRefusesWithMemory)
		until := g.view.recordFailure(server, share, now)
		logger.WithError(err).WithFields(log.Fields{"server": server, "avoidedMs": until.Sub(now).Milliseconds()}).Info("engine that caused a refusal has failed")
	}()
}

// reportCache shares the reports of engines among streams that request them at
// the same time.
type reportCache struct {
	mu    sync.Mutex
	calls map[netip.AddrPort]*reportCall
}

// reportCall is one call for a report. report and err are set when done is
// closed.
type reportCall struct {
	done      chan struct{}
	startedAt time.Time
	report    Report
	err       error
}

// reportTTL is how long a report is shared.
const reportTTL = 100 * time.Millisecond

// report returns the report of an engine on its own state. The call for it
// started at most reportTTL ago.
func (g *Gate) report(ctx context.Context, address netip.AddrPort) (Report, error) {
	g.reports.mu.Lock()
	if g.reports.calls == nil {
		g.reports.calls = make(map[netip.AddrPort]*reportCall)
	}
	rc := g.reports.calls[address]
	if rc == nil || g.now().Sub(rc.startedAt) > reportTTL {
		rc = &reportCall{done: make(chan struct{}), startedAt: g.now()}
		g.reports.calls[address] = rc
		go func() {
			defer close(rc.done)
			ctx, cancel := context.WithTimeout(context.Background(), stallCallTimeout)
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
