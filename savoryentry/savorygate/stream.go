package savorygate

// This file serves event streams from chains of engines, and continues a stream
// on another chain after an engine has failed.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
	// minPatience, objectivesOfPatience and gapsOfPatience state how long callers
	// wait for the first event: the longest of minPatience and these multiples of
	// the latency objectives for the first event and for the time between events.
	minPatience          = 2 * time.Second
	objectivesOfPatience = 4
	gapsOfPatience       = 8
	// chainPollInterval is the time between two attempts to choose a chain, or to
	// take a retry, during this wait.
	chainPollInterval = 50 * time.Millisecond
	// endedCheckPolls is the number of these attempts for each check whether engines
	// have ended.
	endedCheckPolls = 5
	// returnPolls is the number of these attempts after which a begun stream allows
	// again the engines that it avoids. Each send to an engine that still refuses it
	// takes a retry from the budget of all streams.
	returnPolls = 10
	// maxStreamSends bounds how often one stream is sent to an engine. A stream that
	// has begun is sent again after lateSendPause instead: it could only be cut off.
	maxStreamSends = 6
	lateSendPause  = 500 * time.Millisecond
)

// stream is the state of an event stream across all of its chains.
type stream struct {
	*call
	events eventBuffer
	// tokens is the expected memory of the request in tokens.
	tokens int
	// lastEventAt is when the last event arrived, or the request if there was
	// no event yet.
	lastEventAt time.Time
	// headerCopied is set once the header of an engine's response is copied to
	// the response for the caller.
	headerCopied bool
	// mediaType is that of the response whose header was copied.
	mediaType string

	// mu guards sends, unsent, firstServers, avoided, eventCount, endsInRow and nextGap, which the
	// stallWatch of an attempt and the checks of ended engines use as well.
	mu sync.Mutex
	// unsent is the number of sends that never left this entry.
	unsent int
	// firstServers are the addresses of the first engines of the chains that may
	// have run the request, without those that are known to have ended.
	firstServers map[string]netip.AddrPort
	// emptyEnds is the number of attempts that ended with their connection and without an
	// event.
	emptyEnds int
	// avoided are the engines that failed for this request.
	avoided map[string]bool
	// eventCount is the number of events passed on so far.
	eventCount int
	// endsInRow is the number of engines that ended under the request since its answer last
	// went on.
	endsInRow int
	// nextGap is what happened since the last event.
	nextGap gapCause
	// retryTaken is set if reserveRetry took a retry from the budget that no
	// send has used yet.
	retryTaken atomic.Bool
}

// gapCause is what happened between two events of a stream.
type gapCause string

// The causes of a gap. gapEngine means that the chain made no event and nothing was changed.
const (
	gapEngine gapCause = "engine"
	gapMoved  gapCause = "moved"
	gapResent gapCause = "resent"
)

// recordGapCause records that the stream was moved or sent again since its last event.
func (s *stream) recordGapCause(c gapCause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextGap = c
}

// takeGapCause returns the cause of the gap that ends now.
func (s *stream) takeGapCause() gapCause {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.nextGap
	s.nextGap = gapEngine
	return c
}

// errStalled is the cause of the end of an attempt that made no event for too
// long.
var errStalled = errors.New("no event arrived in time")

// serveStream serves an event stream from one chain after another until the
// stream is complete or no further attempt is allowed.
func (c *call) serveStream() {
	s := &stream{call: c, firstServers: make(map[string]netip.AddrPort), avoided: make(map[string]bool), lastEventAt: c.startedAt}
	s.tokens = s.expectedTokens()
	for {
		choice, err := s.chooseChain()
		if err != nil {
			s.failNoChain(err)
			return
		}
		if !s.awaitTurn(choice.Chain[0].Server, choice.Delay) {
			c.g.view.dropChain(c.service.Name, choice.Chain, s.tokens)
			c.g.endAttempt(c.prompt)
			s.returnTrial()
			if c.ended() || !c.g.now().Before(c.deadline) {
				s.failNoChain(errNotTaken)
				return
			}
			continue
		}
		a := &attempt{stream: s, chain: choice.Chain, choice: choice}
		a.run()
		if a.complete {
			c.recordEnd("answered", nil)
			return
		}
		if a.verdict == savoryverdict.NotRun {
			s.returnTrial()
		}
		again := s.mayContinue(a)
		s.logDropped(again)
		if !again {
			s.finishFailed(a)
			return
		}
		a.closeResponse()
		c.g.metrics.retries.WithLabelValues(string(a.verdict)).Inc()
	}
}

// expectedTokens estimates the memory of the request in tokens: the prompt plus
// the answer as estimated by the caller, or the usual values of the service.
// The answer counts for at most the caller's MaxTokens.
func (s *stream) expectedTokens() int {
	e := s.service.Engine
	prompt := s.caller.PromptTokens
	if prompt == 0 {
		prompt = e.UsualPrompt
	}
	answer := s.caller.ExpectedTokens
	if answer == 0 {
		answer = e.UsualAnswer
	}
	if s.caller.MaxTokens > 0 {
		answer = min(answer, s.caller.MaxTokens)
	}
	return max(1, prompt+answer)
}

// chooseChain chooses a chain and counts the request in the load of its engines,
// until endChain. If the request may have run, it waits for a chain as long as the
// caller does, since a refusal could no longer promise that the request has not run.
func (s *stream) chooseChain() (savorypath.Choice, error) {
	for polls := 0; ; polls++ {
		if err := s.admit(s.waitWithCaller); err != nil {
			return savorypath.Choice{}, err
		}
		now := s.g.now()
		r := s.chainRequest()
		choice, err := s.findChain(r, now)
		if err == nil {
			s.logDecision(log.Fields{
				"path": choice.Chain.String(), "passMs": choice.PassTime.Milliseconds(), "fill": int(100 * choice.Fill), "zones": choice.Zones,
				"tokens": s.tokens, "sends": s.sends, "headroom": int(100 * r.Headroom),
			}, "chain chosen")
			s.recordMemoryWait(polls, "found")
			return choice, nil
		}
		s.returnTrial()
		if !s.mayHaveRun && !s.mayWaitForMemory(err, now) || !s.waitWithCaller(chainPollInterval) {
			s.recordMemoryWait(polls, "refused")
			return choice, err
		}
		if s.headerWritten && polls%returnPolls == returnPolls-1 {
			// The health of the engines, which expires, still applies.
			s.clearAvoided()
		}
		if polls%endedCheckPolls == 0 {
			s.removeEndedServers()
		}
	}
}

// waitWithCaller waits for d and reports whether the caller still waits for an
// event. A stream that has begun waits until its caller has left: the caller's last
// event is later than lastEventAt by the delay of the network.
func (s *stream) waitWithCaller(d time.Duration) bool {
	patience := max(minPatience, objectivesOfPatience*s.route.Objective, gapsOfPatience*s.route.GapObjective)
	if !s.headerWritten && s.g.now().Sub(s.lastEventAt) > patience {
		return false
	}
	return s.wait(d)
}

// chainRequest returns the requirements for the next chain.
func (s *stream) chainRequest() savorypath.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	avoid := maps.Clone(s.avoided)
	return savorypath.Request{
		Tokens: s.tokens, Continuing: s.eventCount > 0, AllowCrossZone: true, Avoid: func(id string) bool { return avoid[id] }, Headroom: s.headroom(),
	}
}

// avoidServer excludes an engine from the further chains of the request.
func (s *stream) avoidServer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[id] = true
}

// clearAvoided allows all engines again.
func (s *stream) clearAvoided() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.avoided)
}

// countSend counts a send and returns the number of sends so far.
func (s *stream) countSend() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	return s.sends
}

// recordUnsent records that the last send never left this entry.
func (s *stream) recordUnsent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent++
}

// sendsLeft reports whether maxStreamSends allows another send. Of a stream that
// has begun only those count that left this entry.
func (s *stream) sendsLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.sends
	if s.eventCount > 0 {
		n -= s.unsent
	}
	return n < maxStreamSends
}

// hasEvents reports whether an event was passed on.
func (s *stream) hasEvents() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eventCount > 0
}

// recordMayHaveRun records that a chain with this first engine may have run the
// request.
func (s *stream) recordMayHaveRun(first savorypath.Hop) {
	s.mayHaveRun = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstServers[first.Server] = first.Address
}

// removeEndedServers removes from firstServers the engines whose process has ended:
// they do not count against the attempts of the route.
func (s *stream) removeEndedServers() {
	firsts := s.startedServers()
	if len(firsts) < max(1, s.route.Attempts) {
		return
	}
	ctx, cancel := s.context()
	defer cancel()
	for id, address := range firsts {
		if _, err := s.g.report(ctx, address); !errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}
		s.log.WithField("server", id).Info("engine of the stream has ended")
		s.mu.Lock()
		delete(s.firstServers, id)
		s.mu.Unlock()
	}
}

// startedServers returns a copy of firstServers.
func (s *stream) startedServers() map[string]netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.firstServers)
}

// findChain chooses a chain and counts the request in the load of its engines,
// until endChain. If the route allows no further attempt, the chain starts at a first
// engine that already has the request.
func (s *stream) findChain(r savorypath.Request, now time.Time) (savorypath.Choice, error) {
	firsts := s.startedServers()
	if len(firsts) < max(1, s.route.Attempts) {
		return s.g.view.chooseChain(s.service.Name, r, s.maxDelay(), now)
	}
	var choice savorypath.Choice
	err := savorypath.ErrNoChain
	// These engines are allowed again although they have failed once.
	avoid := r.Avoid
	r.Avoid = func(id string) bool { return avoid(id) && !firsts[id].IsValid() }
	for first := range firsts {
		r.FirstServer = first
		if choice, err = s.g.view.chooseChain(s.service.Name, r, s.maxDelay(), now); err == nil {
			break
		}
	}
	return choice, err
}

// failNoChain ends a stream for which no chain is available.
func (s *stream) failNoChain(err error) {
	if refused := (*refusedPartError)(nil); errors.As(err, &refused) || errors.Is(err, errHeld) {
		s.failHeld(err)
		return
	}
	s.fail(s.noChainError(err, s.g.view.returnDelay))
}

// noChainError returns the response to a stream for which no chain is available.
func (s *stream) noChainError(err error, returnDelay returnDelays) *savoryverdict.Error {
	if !s.mayHaveRun && (errors.Is(err, savorypath.ErrNotTaken) || errors.Is(err, errNotTaken)) {
		return s.notTaken(err, returnDelay)
	}
	retryAfter := unavailableRetryDelay
	if errors.Is(err, savorypath.ErrFull) {
		retryAfter = s.memoryRetryDelay()
	}
	e := savoryverdict.Unavailable("NoChain", retryAfter, "no chain of service %s is free", s.service.Name)
	if s.mayHaveRun {
		e = savoryverdict.Wrap(err)
	}
	e.Err = fmt.Errorf("%w (%s)", err, s.g.view.missingLayers(s.service.Name, savorypath.Request{Tokens: s.tokens}, s.g.now()))
	return e
}

// memoryRetryDelay estimates when memory for another request is free: by then
// the requests that use it have ended. Callers that retry sooner are refused
// again, and they make only a few attempts.
func (s *stream) memoryRetryDelay() time.Duration {
	return max(busyRetryDelay, s.g.view.answerTime(s.service.Name))
}

// finishFailed ends the request after its last failed attempt.
func (s *stream) finishFailed(a *attempt) {
	defer a.closeResponse()
	if s.eventCount == 0 && !s.headerWritten && a.mayPassRefusal() {
		s.writeResponse(a.refusal)
		return
	}
	switch {
	case errors.Is(a.err, errDeadline) || !s.g.now().Before(s.deadline):
		status := http.StatusGatewayTimeout
		s.fail(&savoryverdict.Error{Verdict: savoryverdict.MayHaveRun, Status: status, Code: "Deadline", Message: "no response before the deadline", Err: a.err})
	case s.mayHaveRun:
		s.fail(savoryverdict.Wrap(a.err))
	default:
		e := savoryverdict.Unavailable("Busy", s.memoryRetryDelay(), "the chains of service %s are busy", s.service.Name)
		e.Err = a.err
		s.fail(e)
	}
}

// attempt is the part of a stream that one chain serves.
type attempt struct {
	*stream
	chain    savorypath.Chain
	choice   savorypath.Choice
	cancel   context.CancelCauseFunc
	response *savoryconn.Response
	// refusal is a response that is not a stream, if there was one.
	refusal plainResult
	// complete is set once the stream has ended normally.
	complete bool
	// attemptEvents is the number of events of this attempt.
	attemptEvents int
	// attemptSentAt is when the request was sent to the chain.
	attemptSentAt time.Time
	err           error
	verdict       savoryverdict.Verdict
	watch         *stallWatch
}

// mayPassRefusal reports whether there is an error response of the server that may be passed
// on to the caller.
func (a *attempt) mayPassRefusal() bool {
	return a.refusal.response != nil && a.refusal.err == nil && a.verdict != savoryverdict.NotRun && !promisesNotRun(a.response.StatusCode)
}

// headArrived reports whether the engine sent the head of a response, also if it was dropped.
func (a *attempt) headArrived() bool { return a.response != nil || a.dropped != nil }

func (a *attempt) closeResponse() {
	if a.response != nil {
		_ = a.response.Close()
	}
}

// run sends the request to the chain and passes the events on to the caller.
func (a *attempt) run() {
	outer, cancelOuter := a.context()
	ctx, cancel := context.WithCancelCause(outer)
	a.cancel = cancel
	a.watch = newStallWatch(ctx, a)
	defer func() {
		a.watch.stop()
		a.g.endAttempt(a.prompt)
		a.g.view.endChain(a.service.Name, a.watch.currentChain(), a.tokens)
		end := func() { cancel(nil); cancelOuter() }
		if a.mayPassRefusal() {
			// The rest of the body is read when it is passed on.
			cancelOnClose(a.response, end)
		} else {
			end()
		}
	}()
	first := a.chain[0]
	req := a.newServerRequest(Forward{Server: first.Server, Chain: a.chain, LastEventID: a.events.lastID(a.caller.LastEventID)})
	a.events.nextServer()
	a.g.recordSend(a.service.Name, a.countSend())
	sentAt := a.g.now()
	a.attemptSentAt = sentAt
	a.recordSent(sentAt)
	a.recordGapCause(gapResent)
	response, info, err := a.exchange(ctx, first.Server, first.Address, sentAt, req)
	switch {
	case a.dropped != nil:
		a.recordDropped(ctx, err)
		return
	case err != nil:
		a.recordError(ctx, err)
		return
	}
	a.response = response
	if response.StatusCode != http.StatusOK {
		a.readRefusal(info)
		return
	}
	a.recordMayHaveRun(first)
	mediaType := response.Header.Get("Content-Type")
	if !a.headerCopied {
		a.copyResponseHeader(response.Header)
		a.headerCopied, a.mediaType = true, mediaType
	}
	if a.headerWritten && mediaType != a.mediaType {
		a.recordForeign(ctx, fmt.Errorf("%w: content type %q after %q", errForeignResponse, mediaType, a.mediaType))
		return
	}
	a.copyEvents(ctx)
}

// copyEvents passes events on to the caller as they arrive.
func (a *attempt) copyEvents(ctx context.Context) {
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := a.response.Read(buf)
		if n > 0 {
			a.events.add(buf[:n])
			if werr := a.writeEvents(); werr != nil {
				a.err, a.verdict = werr, savoryverdict.MayHaveRun
				return
			}
			switch {
			case a.events.foreign:
				a.recordForeign(ctx, errForeignResponse)
				return
			case a.events.tooLarge():
				a.g.view.recordFailure(a.chain[0].Server, false, a.g.now())
				a.recordError(ctx, errEventTooLarge)
				return
			}
		}
		if errors.Is(err, io.EOF) && !a.events.hasPartial() && !a.brokenOff() {
			a.finish()
			return
		}
		if err != nil {
			a.recordError(ctx, err)
			return
		}
	}
}

// writeEvents writes the complete events that have arrived to the caller.
func (a *attempt) writeEvents() error {
	out, n := a.events.takeComplete()
	if len(out) == 0 {
		return nil
	}
	if !a.headerWritten {
		a.headerWritten = true
		a.firstByteAt = a.g.now()
		a.g.metrics.firstEvent.WithLabelValues(string(a.route.Kind)).Observe(a.firstByteAt.Sub(a.startedAt).Seconds())
		a.w.WriteHeader(a.response.StatusCode)
	}
	if n > 0 {
		now := a.g.now()
		a.g.metrics.eventGap.Observe(now.Sub(a.lastEventAt).Seconds())
		cause := a.takeGapCause()
		if gap := now.Sub(a.lastEventAt); a.eventCount > 0 && gap > a.maxGap {
			a.maxGap, a.gapCause = gap, cause
		}
		a.lastEventAt = now
		a.recordEvents(n)
		a.watch.recordEvent(now)
		if a.attemptEvents == n {
			a.recordPace(a.eventCount > n, now)
		}
		if a.eventCount == n {
			for _, h := range a.watch.currentChain() {
				a.g.view.recordSuccess(h.Server)
			}
		}
	}
	if _, err := a.w.Write(out); err != nil {
		return err
	}
	return a.rc.Flush()
}

// recordEvents counts events. An answer that goes on is proof that its prompt ends no
// engine.
func (a *attempt) recordEvents(n int) {
	wentOn := a.wentOn()
	a.attemptEvents += n
	a.mu.Lock()
	a.eventCount += n
	if a.wentOn() {
		a.endsInRow = 0
	}
	a.mu.Unlock()
	if a.wentOn() && !wentOn {
		a.g.recordProgress(a.prompt)
	}
}

// wentOn reports whether the answer of this attempt went on after its begin.
func (a *attempt) wentOn() bool { return a.attemptEvents >= progressEvents }

// finish ends the stream as complete.
func (a *attempt) finish() {
	if a.attemptEvents > 0 && !a.response.EndsWithConnection() {
		a.g.recordProgress(a.prompt)
	}
	if !a.headerWritten {
		// A stream without any event is complete too.
		a.headerWritten = true
		a.firstByteAt = a.g.now()
		a.w.WriteHeader(a.response.StatusCode)
	}
	a.complete = true
	_ = a.response.Close()
}
