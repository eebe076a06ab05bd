package savorygate

// This file records why an attempt of a stream failed.

import (
	"context"
	"errors"
	"strings"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savoryverdict"
)

// errForeignResponse is the failure of an engine whose response does not continue the stream.
var errForeignResponse = errors.New("the response does not continue the stream")

// recordForeign records a response that does not continue the stream. Nothing of it is
// passed on.
func (a *attempt) recordForeign(ctx context.Context, err error) {
	a.g.view.recordFailure(a.chain[0].Server, false, a.g.now())
	a.recordError(ctx, err)
}

// recordDropped records a response that was no answer of the engine. The engine runs its layers for
// other chains as before, so the orderer moves nothing because of it.
func (a *attempt) recordDropped(ctx context.Context, err error) {
	a.g.view.recordDropped(a.chain[0].Server, a.g.now())
	a.recordError(ctx, err)
}

// recordError records an error of the chain, and excludes the engine at fault
// from further chains.
func (a *attempt) recordError(ctx context.Context, err error) {
	a.verdict = savoryverdict.MayHaveRun
	var failure *savoryconn.Error
	if errors.As(err, &failure) {
		a.verdict = failure.Verdict
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	a.err = err
	if a.verdict != savoryverdict.NotRun {
		a.recordMayHaveRun(a.chain[0])
	}
	if failure != nil && failure.NotSent() {
		a.recordUnsent()
		a.g.view.unsent(a.chain[0].Server)
	}
	if a.ended() || errors.Is(err, errDeadline) || errors.Is(err, errQuarantined) {
		return
	}
	a.log.WithError(err).WithFields(log.Fields{
		"path": a.watch.currentChain().String(), "events": a.eventCount, "sinceEventMs": a.g.now().Sub(a.lastEventAt).Milliseconds(), "verdict": string(a.verdict),
		"headArrived": a.headArrived(), "parts": strings.Join(a.caller.PromptParts, ","),
	}).Info("chain failed")
	a.checkEnded()
	switch {
	case failure != nil && failure.NotSent():
		a.g.view.recordFailure(a.chain[0].Server, failure.ServerGone(), a.g.now())
		a.avoidServer(a.chain[0].Server)
	case errors.Is(err, errStalled):
		// The stallWatch has already recorded the failure of the engine that
		// it found.
	default:
		a.avoidServer(a.chain[0].Server)
	}
}

// readRefusal reads the beginning of a response that is not a stream, and excludes the
// engine at fault from further chains.
func (a *attempt) readRefusal(info ResponseInfo) {
	a.refusal = plainResult{response: a.response, server: a.chain[0].Server}
	err := a.readStart(&a.refusal)
	a.err = statusError(a.response.StatusCode)
	fault := serverAt(a.chain, info.Fault)
	a.log.WithFields(log.Fields{
		"path": a.chain.String(), "status": a.response.StatusCode, "notRun": info.NotRun, "fault": fault, "whole": err == nil && a.refusal.complete,
	}).Info("chain refused the request")
	if info.NotRun {
		a.verdict = savoryverdict.NotRun
		if fault == "" {
			fault = a.chain[0].Server
		}
		a.avoidServer(fault)
		if info.Notice.Pause > 0 && fault == a.chain[0].Server {
			// The engine works, and has said when it takes requests again.
			return
		}
		a.g.checkRefusal(a.log, a.service, fault, a.chain)
		return
	}
	a.recordMayHaveRun(a.chain[0])
	a.verdict = savoryverdict.MayHaveRun
	a.avoidServer(a.chain[0].Server)
	if err != nil {
		a.err, a.refusal.err = err, err
	}
}
