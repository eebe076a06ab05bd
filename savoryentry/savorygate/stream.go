package savorygate

// This file serves event streams from chains of engines, and lets them go on
// after an engine failed.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// streamReadBytes is the size of a stream's read buffer.
	streamReadBytes = 4 << 10
	// patience is how long a stream that has begun waits for a chain; callers
	// leave after a pause of about two seconds.
	patience = 1500 * time.Millisecond
	// patienceStep is the pause between two looks for a chain.
	patienceStep = 50 * time.Millisecond
	// streamSends bounds what is sent for one stream.
	streamSends = 6
)

// stream is the state of a stream over all of its chains.
type stream struct {
	*call
	events eventBuffer
	// tokens is the memory that the request is expected to take.
	tokens int
	// lastAt is the time of the last event, or of the request.
	lastAt time.Time
	header bool

	// mu guards what the watch of a stalled attempt reads as well.
	mu sync.Mutex
	// firsts are the first engines of the chains that may have run it.
	firsts map[string]bool
	// avoid are engines that failed for this request.
	avoid map[string]bool
	// count is the number of events so far.
	count int
	// retry is a retry that was taken from the budget before the attempt was
	// given up.
	retry atomic.Bool
}

// errStalled ends an attempt that made no event for too long.
var errStalled = errors.New("no event in time")

// stream serves an event stream.
func (c *call) stream() {
	s := &stream{call: c, firsts: make(map[string]bool), avoid: make(map[string]bool), lastAt: c.began}
	s.tokens = s.expectedTokens()
	for {
		choice, err := s.choose()
		if err != nil {
			s.noPath(err)
			return
		}
		a := &attempt{stream: s, path: choice.Path, choice: choice}
		a.run()
		if a.done {
			c.ended("answered", nil)
			return
		}
		if !s.mayGoOn(a) {
			s.lastAttempt(a)
			return
		}
		a.release()
		c.g.metrics.retries.WithLabelValues(string(a.verdict)).Inc()
	}
}

// expectedTokens estimates the memory of the request: its prompt and the answer
// by the caller's estimate, or the usual one.
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

// choose picks a chain. A stream that may have run waits for one for a while,
// since its caller cannot be told that it has not.
func (s *stream) choose() (savorypath.Choice, error) {
	for {
		now := s.g.now()
		r := s.pathRequest()
		choice, err := s.chooseFrom(r, now)
		if err == nil {
			s.decided(log.Fields{
				"path": choice.Path.String(), "passMs": choice.PassTime.Milliseconds(), "fill": int(100 * choice.Fill), "zones": choice.Zones,
				"tokens": s.tokens, "sends": s.sends,
			}, "chain chosen")
			return choice, nil
		}
		if !s.mayHaveRun || now.Sub(s.lastAt) > patience || now.After(s.deadline) {
			return choice, err
		}
		select {
		case <-s.r.Context().Done():
			return choice, err
		case <-time.After(patienceStep):
		}
	}
}

// pathRequest returns what a chain is chosen for.
func (s *stream) pathRequest() savorypath.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	avoid := maps.Clone(s.avoid)
	return savorypath.Request{
		Tokens: s.tokens, Continuing: s.count > 0, AllowCrossZone: true, Avoid: func(id string) bool { return avoid[id] },
	}
}

// avoids keeps an engine out of the further chains of the request.
func (s *stream) avoids(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[id] = true
}

// countSend counts a send and returns their number.
func (s *stream) countSend() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	return s.sends
}

// ranFrom notes that a chain with this first engine may have run the request.
func (s *stream) ranFrom(id string) {
	s.mayHaveRun = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firsts[id] = true
}

// begun returns the first engines of the chains that may have run the request.
func (s *stream) begun() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.firsts)
}

// chooseFrom picks a chain, with a first engine that has the request already if
// the route allows no further one.
func (s *stream) chooseFrom(r savorypath.Request, now time.Time) (savorypath.Choice, error) {
	firsts := s.begun()
	if len(firsts) < max(1, s.route.Attempts) {
		return s.g.view.choosePath(s.service.Name, r, now)
	}
	var choice savorypath.Choice
	err := savorypath.ErrNoPath
	// These engines may be asked again, though they failed once.
	avoid := r.Avoid
	r.Avoid = func(id string) bool { return avoid(id) && !firsts[id] }
	for first := range firsts {
		r.FirstServer = first
		if choice, err = s.g.view.choosePath(s.service.Name, r, now); err == nil {
			break
		}
	}
	return choice, err
}

// noPath ends a stream for which there is no chain.
func (s *stream) noPath(err error) {
	after := brokenRetry
	if errors.Is(err, savorypath.ErrFull) {
		after = s.memoryFree()
	}
	e := savoryverdict.Unavailable("NoChain", after, "no chain of service %s is free", s.service.Name)
	if s.mayHaveRun {
		e = savoryverdict.Wrap(err)
	}
	e.Err = fmt.Errorf("%w (%s)", err, s.g.view.gaps(s.service.Name, savorypath.Request{Tokens: s.tokens}, s.g.now()))
	s.fail(e)
}

// memoryFree estimates when memory for another request is free: by then the
// requests that took it have ended. Callers who return sooner find it taken, and
// have few tries.
func (s *stream) memoryFree() time.Duration {
	return max(busyRetry, s.g.view.answerTime(s.service.Name))
}

// mayGoOn reports whether the stream goes on with another chain.
func (s *stream) mayGoOn(a *attempt) bool {
	if s.gone() || !s.g.now().Before(s.deadline) || s.sends >= streamSends {
		return false
	}
	if a.verdict != savoryverdict.NotRun && !s.route.Resumable {
		return false
	}
	if s.retry.CompareAndSwap(true, false) {
		return true
	}
	if !s.g.allowRetry(s.service.Name) {
		s.log.WithField("reason", "retry budget used up").Info("not sent again")
		return false
	}
	return true
}

// canGoOn reports whether another chain could take the stream now, and takes the
// retry for it.
func (a *attempt) canGoOn() bool {
	a.mu.Lock()
	sends := a.sends
	a.mu.Unlock()
	if !a.route.Resumable || sends >= streamSends || a.g.now().After(a.deadline) {
		return false
	}
	choice, err := a.chooseFrom(a.pathRequest(), a.g.now())
	if err != nil {
		return false
	}
	a.g.view.endPath(a.service.Name, choice.Path, a.tokens)
	if !a.retry.Load() && !a.g.allowRetry(a.service.Name) {
		a.log.WithField("reason", "retry budget used up").Info("stalled stream is left alone")
		return false
	}
	a.retry.Store(true)
	return true
}

// lastAttempt ends the request after its last failure.
func (s *stream) lastAttempt(a *attempt) {
	defer a.release()
	if s.count == 0 && !s.answered && a.answer != nil && a.ownStatus() {
		s.passPlain(plainResult{answer: a.answer, first: a.text, whole: true, server: a.path[0].Server})
		return
	}
	switch {
	case errors.Is(a.err, errDeadline) || !s.g.now().Before(s.deadline):
		status := http.StatusGatewayTimeout
		s.fail(&savoryverdict.Error{Verdict: savoryverdict.MayHaveRun, Status: status, Code: "Deadline", Message: "no answer before the deadline", Err: a.err})
	case s.mayHaveRun:
		s.fail(savoryverdict.Wrap(a.err))
	default:
		e := savoryverdict.Unavailable("Busy", s.memoryFree(), "the chains of service %s are busy", s.service.Name)
		e.Err = a.err
		s.fail(e)
	}
}

// attempt is one chain of a stream.
type attempt struct {
	*stream
	path   savorypath.Path
	choice savorypath.Choice
	cancel context.CancelCauseFunc
	answer *savoryconn.Response
	// text is the body of an answer that is no stream.
	text []byte
	// done says that the stream has come to its end.
	done    bool
	err     error
	verdict savoryverdict.Verdict
	watch   *stallWatch
}

// ownStatus reports whether the server's own answer may be passed on.
func (a *attempt) ownStatus() bool {
	return a.text != nil && a.verdict != savoryverdict.NotRun && !promises(a.answer.StatusCode)
}

func (a *attempt) release() {
	if a.answer != nil {
		_ = a.answer.Close()
	}
}

// run sends the request down the chain and passes the events on.
func (a *attempt) run() {
	outer, release := a.context()
	defer release()
	ctx, cancel := context.WithCancelCause(outer)
	defer cancel(nil)
	a.cancel = cancel
	a.watch = newStallWatch(ctx, a)
	defer func() {
		a.watch.stop()
		a.g.view.endPath(a.service.Name, a.watch.currentPath(), a.tokens)
	}()
	first := a.path[0]
	req := a.request(Forward{Server: first.Server, Path: a.path, LastEvent: a.events.lastID(a.caller.LastEvent)})
	a.events.discardPartial()
	a.g.recordSend(a.service.Name, a.countSend())
	answer, err := a.g.serverClient.Do(ctx, first.Address, req)
	if err != nil {
		a.failed(ctx, err)
		return
	}
	a.answer = answer
	if answer.StatusCode != http.StatusOK {
		a.refused()
		return
	}
	a.ranFrom(first.Server)
	if !a.header {
		a.headAnswer(answer.Header)
		a.header = true
	}
	a.copyEvents(ctx)
}

// failed takes an error of the chain.
func (a *attempt) failed(ctx context.Context, err error) {
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
		a.ranFrom(a.path[0].Server)
	}
	if a.gone() || errors.Is(err, errDeadline) {
		return
	}
	a.log.WithError(err).WithFields(log.Fields{
		"path": a.watch.currentPath().String(), "events": a.count, "sinceEventMs": a.g.now().Sub(a.lastAt).Milliseconds(), "verdict": string(a.verdict),
	}).Info("chain failed")
	switch {
	case failure != nil && failure.Stage == "dial":
		a.g.view.recordFailure(a.path[0].Server, false, a.g.now())
		a.avoids(a.path[0].Server)
	case errors.Is(err, errStalled):
		// The watch has blamed whom it found.
	default:
		a.avoids(a.path[0].Server)
	}
}

// refused takes an answer that is no stream.
func (a *attempt) refused() {
	answered := a.g.Dialect.ReadAnswer(a.answer.StatusCode, a.answer.Header)
	text, err := io.ReadAll(io.LimitReader(a.answer, wholeBytes))
	a.text = text
	a.err = statusError(a.answer.StatusCode)
	fault := serverAt(a.path, answered.Fault)
	a.log.WithFields(log.Fields{
		"path": a.path.String(), "status": a.answer.StatusCode, "notRun": answered.NotRun, "fault": fault,
	}).Info("chain refused")
	if answered.NotRun {
		a.verdict = savoryverdict.NotRun
		if fault == "" {
			fault = a.path[0].Server
		}
		a.avoids(fault)
		// The engine may only be short of memory, so it rests for a moment.
		a.g.view.recordFailure(fault, false, a.g.now())
		return
	}
	a.ranFrom(a.path[0].Server)
	a.verdict = savoryverdict.MayHaveRun
	a.avoids(a.path[0].Server)
	if err != nil {
		a.text, a.err = nil, err
	}
}

// copyEvents passes events on as they come.
func (a *attempt) copyEvents(ctx context.Context) {
	buf := make([]byte, streamReadBytes)
	for {
		n, err := a.answer.Read(buf)
		if n > 0 {
			a.events.add(buf[:n])
			if werr := a.passEvents(); werr != nil {
				a.err, a.verdict = werr, savoryverdict.MayHaveRun
				return
			}
		}
		if errors.Is(err, io.EOF) && !a.events.hasPartial() {
			a.finish()
			return
		}
		if err != nil {
			a.failed(ctx, err)
			return
		}
	}
}

// passEvents writes the whole events that have come.
func (a *attempt) passEvents() error {
	out, n := a.events.takeComplete()
	if len(out) == 0 {
		return nil
	}
	if !a.answered {
		a.answered = true
		a.firstAt = a.g.now()
		a.g.metrics.firstEvent.WithLabelValues(string(a.route.Kind)).Observe(a.firstAt.Sub(a.began).Seconds())
		a.w.WriteHeader(a.answer.StatusCode)
	}
	if n > 0 {
		now := a.g.now()
		a.g.metrics.eventGap.Observe(now.Sub(a.lastAt).Seconds())
		if a.count > 0 {
			a.maxGap = max(a.maxGap, now.Sub(a.lastAt))
		}
		a.lastAt = now
		a.mu.Lock()
		a.count += n
		a.mu.Unlock()
		a.watch.event(now)
		if a.count == n {
			for _, h := range a.watch.currentPath() {
				a.g.view.recordSuccess(h.Server)
			}
		}
	}
	if _, err := a.w.Write(out); err != nil {
		return err
	}
	return a.rc.Flush()
}

// finish ends the stream as complete.
func (a *attempt) finish() {
	if !a.answered {
		// A stream without any event is whole too.
		a.answered = true
		a.firstAt = a.g.now()
		a.w.WriteHeader(a.answer.StatusCode)
	}
	a.done = true
	_ = a.answer.Close()
}
