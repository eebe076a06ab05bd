package savorygate

// This file decides whether a stream is sent to another chain.

import (
	"context"
	"errors"
	"syscall"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryverdict"
)

// mayContinue reports whether the stream continues on another chain. It uses
// the retry of reserveRetry, or else takes one from the budget.
func (s *stream) mayContinue(a *attempt) bool {
	if s.ended() || !s.g.now().Before(s.deadline) || a.verdict != savoryverdict.NotRun && !s.route.Resumable {
		return false
	}
	if s.g.quarantined(s.prompt) || s.endedTooMany() {
		return false
	}
	late := !s.sendsLeft()
	if late && !s.headerWritten {
		return false
	}
	if s.retryTaken.CompareAndSwap(true, false) {
		return true
	}
	if late && !s.waitWithCaller(lateSendPause) {
		return false
	}
	if notSent(a.err) {
		return true
	}
	return s.awaitRetry()
}

// awaitRetry takes a retry from the budget and reports whether there was one. A stream
// that has begun waits for the budget: it could only be cut off.
func (s *stream) awaitRetry() bool {
	for !s.g.allowRetry(s.service.Name) {
		if !s.headerWritten || !s.waitWithCaller(chainPollInterval) || s.g.quarantined(s.prompt) {
			s.log.WithField("reason", "retry budget used up").Info("request not sent again")
			return false
		}
	}
	return true
}

// reserveRetry reports whether the stream is still stalled and another chain, whose
// first engine responds, could continue it now. If so, it takes a retry from the budget,
// which would be lost to other streams if this one went on.
func (a *attempt) reserveRetry(ctx context.Context, stalled func() bool) bool {
	if !a.route.Resumable || !a.hasEvents() && !a.sendsLeft() || a.g.now().After(a.deadline) {
		return false
	}
	choice, err := a.findChain(a.chainRequest(), a.g.now())
	if err != nil {
		return false
	}
	a.g.view.dropChain(a.service.Name, choice.Chain, a.tokens)
	first := choice.Chain[0]
	if _, err := a.g.report(ctx, first.Address); err != nil {
		if ctx.Err() == nil {
			until := a.g.view.recordFailure(first.Server, errors.Is(err, syscall.ECONNREFUSED), a.g.now())
			a.log.WithError(err).WithFields(log.Fields{"server": first.Server, "avoidedMs": until.Sub(a.g.now()).Milliseconds()}).Info("next engine does not respond, stalled stream stays on its chain")
		}
		return false
	}
	if !stalled() {
		return false
	}
	if !a.retryTaken.Load() && !a.g.allowRetry(a.service.Name) {
		a.log.WithField("reason", "retry budget used up").Info("stalled stream stays on its chain")
		return false
	}
	a.retryTaken.Store(true)
	return true
}

// recordEnded records that an engine ended under the request.
func (s *stream) recordEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsInRow++
}

// endedTooMany reports whether maxEndsPerRequest engines have ended under the request.
func (s *stream) endedTooMany() bool {
	s.mu.Lock()
	n := s.endsInRow
	s.mu.Unlock()
	if n < maxEndsPerRequest {
		return false
	}
	s.log.WithFields(log.Fields{"reason": "engines ended under the request", "ends": n, "parts": partIDs(s.prompt)}).Info("request not sent again")
	return true
}

// checkEnded checks whether the first engine has ended under the request, unless its
// answer went on or it did not get the request.
func (a *attempt) checkEnded() {
	if a.verdict == savoryverdict.NotRun || a.wentOn() {
		return
	}
	first := a.chain[0]
	begun := a.headArrived()
	check := func() { a.g.checkEnded(a.log, a.prompt, first.Server, first.Address, begun, a.recordEnded) }
	if errors.Is(a.err, errStalled) {
		// A silent engine answers the check late, and the stream is sent on meanwhile.
		go check()
		return
	}
	check()
}

// minEmptyEnds is the number of engines that must end a continued stream without a further
// event, each with its connection, until it counts as complete.
const minEmptyEnds = 2

// brokenOff reports whether a stream whose bytes end between two events has broken off. If
// it ends with its connection, the bytes alone do not tell: it has if this attempt has no
// event, or if the process of the engine has ended.
func (a *attempt) brokenOff() bool {
	if !a.response.EndsWithConnection() {
		return false
	}
	if a.attemptEvents == 0 {
		a.emptyEnds++
		return !a.hasEvents() || a.emptyEnds < minEmptyEnds
	}
	first := a.chain[0]
	_, err := a.g.reportSince(a.watch.ctx, first.Address, a.g.now())
	return errors.Is(err, syscall.ECONNREFUSED)
}
