package savorygate

// This file serves requests that a single backend server handles.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// maxBufferedBytes is the size of the largest response body that is read
	// completely before the header is passed on, so that a response that
	// breaks off can be replaced.
	maxBufferedBytes = 64 << 10
	// copyBufferBytes is the size of the buffer for larger response bodies.
	copyBufferBytes = 16 << 10
	// attemptFraction is the fraction of the remaining time after which a
	// repeatable request is sent to another server.
	attemptFraction = 0.4
	// maxRefusals bounds the number of servers that refuse one request without
	// running it.
	maxRefusals = 4
)

// plainResult is the outcome of sending a request to one server.
type plainResult struct {
	response *savoryconn.Response
	// bodyStart is the beginning of the body, or the whole body if complete is
	// set.
	bodyStart []byte
	complete  bool
	err       error
	// verdict is NotRun only if the server did not run the request.
	verdict savoryverdict.Verdict
	server  string
	// begun is set if the server had begun a response, which broke off or was dropped.
	begun bool
}

// servePlain sends the request to one server after another until one responds
// or no further attempt is allowed.
func (c *call) servePlain() {
	tried := make(map[string]bool)
	runs, refusals := 0, 0
	for {
		choice, err := c.chooseServer(tried)
		if err != nil {
			c.failUnsent(err, refusals > 0)
			return
		}
		res := c.sendPlain(choice, tried, runs+1 < c.route.Attempts)
		c.g.endAttempt(c.prompt)
		if res.response != nil && res.err == nil && res.verdict == savoryverdict.Ran {
			c.writeResponse(res)
			return
		}
		tried[choice.server.ID] = true
		if res.verdict == savoryverdict.NotRun {
			c.returnTrial()
		}
		switch {
		case res.verdict != savoryverdict.NotRun:
			c.mayHaveRun = true
			runs++
			c.checkPlainEnd(choice.server, res)
		case !serverGone(res.err):
			refusals++
		}
		again := !c.ended() && c.shouldRetry(res, runs, refusals)
		c.logDropped(again)
		if !again {
			c.finishPlain(res, refusals > 0)
			return
		}
		if res.response != nil {
			_ = res.response.Close()
		}
	}
}

// chooseServer chooses a server that is not in tried, and waits until it takes the request.
// The error is errNoServer, errNotTaken, or that of admit.
func (c *call) chooseServer(tried map[string]bool) (serverChoice, error) {
	for {
		if err := c.admit(c.wait); err != nil {
			return serverChoice{}, err
		}
		now := c.g.now()
		choice, err := c.g.view.chooseServer(c.service.Name, tried, c.maxDelay(), now)
		if err != nil {
			return choice, err
		}
		c.logDecision(log.Fields{
			"server": choice.server.ID, "runnerUp": choice.runnerUp, "flights": choice.inFlight, "slots": choice.slots, "avoided": choice.triedCount,
		}, "server chosen")
		if c.awaitTurn(choice.server.ID, choice.delay) {
			return choice, nil
		}
		c.g.view.endServerRequest(choice.server.ID)
		c.g.view.unsent(choice.server.ID)
		c.g.endAttempt(c.prompt)
		c.returnTrial()
		if c.ended() || !now.Before(c.deadline) {
			return choice, errNotTaken
		}
	}
}

// failUnsent ends a request after an error of chooseServer.
func (c *call) failUnsent(err error, refused bool) {
	if !errors.Is(err, errNoServer) && !errors.Is(err, errNotTaken) {
		c.failHeld(err)
		return
	}
	c.returnTrial()
	c.failPlain(err, refused)
}

// checkPlainEnd checks whether a server has ended under a request of which it gave no whole
// answer, if the request shares something with others.
func (c *call) checkPlainEnd(s savoryroster.Server, res plainResult) {
	if res.err == nil || len(c.prompt.Parts) == 0 || errors.Is(res.err, errAttemptTimeout) || errors.Is(res.err, errDeadline) || c.ended() {
		return
	}
	c.g.checkEnded(c.log, c.prompt, s.ID, s.Address, res.begun, nil)
}

// shouldRetry reports whether a failed request is sent to another server, and
// takes the retry from the budget. runs and refusals are the numbers of
// attempts that may have run the request and that were refused.
func (c *call) shouldRetry(res plainResult, runs, refusals int) bool {
	if !c.g.now().Before(c.deadline) {
		return false
	}
	if res.verdict != savoryverdict.NotRun && (!c.route.Repeatable() || runs >= max(1, c.route.Attempts)) {
		return false
	}
	if refusals >= maxRefusals {
		return false
	}
	if notSent(res.err) {
		// The request has not arrived anywhere, so the next send repeats nothing.
		return true
	}
	// The end of a slow attempt has already taken the retry.
	if !errors.Is(res.err, errAttemptTimeout) && !c.g.allowRetry(c.service.Name) {
		c.log.WithField("reason", "retry budget used up").Info("request not sent again")
		return false
	}
	c.g.metrics.retries.WithLabelValues(string(res.verdict)).Inc()
	return true
}

// finishPlain ends the request after its last failure: with the response of the
// server if it may be passed on, otherwise with an error response of the entry.
// refused is set if a server refused the request.
func (c *call) finishPlain(res plainResult, refused bool) {
	if res.response != nil && res.err == nil && res.verdict != savoryverdict.NotRun && !promisesNotRun(res.response.StatusCode) {
		c.writeResponse(res)
		return
	}
	if res.response != nil {
		_ = res.response.Close()
		if res.err == nil {
			res.err = statusError(res.response.StatusCode)
		}
	}
	c.failPlain(res.err, refused)
}

// failPlain ends the request with an error response of the entry. refused is
// set if a server refused the request; err is errNoServer or errNotTaken if no server was
// left to try.
func (c *call) failPlain(err error, refused bool) {
	c.fail(c.plainError(err, refused, c.g.view.returnDelay))
}

// plainError returns the error response of failPlain.
func (c *call) plainError(err error, refused bool, returnDelay returnDelays) *savoryverdict.Error {
	switch {
	case c.mayHaveRun && errors.Is(err, errDeadline):
		return &savoryverdict.Error{
			Verdict: savoryverdict.MayHaveRun, Status: http.StatusGatewayTimeout, Code: "Deadline",
			Message: "no response before the deadline", Err: err,
		}
	case c.mayHaveRun:
		return savoryverdict.Wrap(err)
	case errors.Is(err, errNotTaken):
		return c.notTaken(err, returnDelay)
	case refused:
		return savoryverdict.Unavailable("Busy", busyRetryDelay, "all servers of service %s are busy", c.service.Name)
	}
	return savoryverdict.Unavailable("NoServer", unavailableRetryDelay, "no server of service %s is available", c.service.Name)
}

// sendPlain sends the request to one server and reads the beginning of its
// response. If canRetry is set and the route is repeatable, the attempt ends if
// this takes longer than attemptFraction of the remaining time, another server is
// available that is not in tried, and the budget allows a retry.
func (c *call) sendPlain(choice serverChoice, tried map[string]bool, canRetry bool) plainResult {
	id := choice.server.ID
	defer c.g.view.endServerRequest(id)
	ctx, cancel := c.context()
	var timer attemptTimer
	if canRetry && c.route.Repeatable() {
		outer := cancel
		inner, cancelAttempt := context.WithCancelCause(ctx)
		ctx, cancel = inner, func() { cancelAttempt(nil); outer() }
		remaining := c.deadline.Sub(c.g.now())
		timer.start(time.Duration(attemptFraction*float64(remaining)), func() bool {
			if !c.g.view.hasOtherServer(c.service.Name, id, tried, c.g.now()) || !c.g.allowRetry(c.service.Name) {
				return false
			}
			cancelAttempt(errAttemptTimeout)
			return true
		})
	}
	defer timer.stop()
	req := c.newServerRequest(Forward{Server: id, LastEventID: c.caller.LastEventID})
	c.sends++
	c.g.recordSend(c.service.Name, c.sends)
	sentAt := c.g.now()
	c.recordSent(sentAt)
	response, info, err := c.exchange(ctx, id, choice.server.Address, sentAt, req)
	if err != nil {
		cancel()
		return c.failedSend(id, err)
	}
	res := plainResult{response: response, server: id, verdict: savoryverdict.Ran}
	err = c.readStart(&res)
	if info.NotRun {
		c.recordRefusal(id, response.StatusCode, info)
		cancelOnClose(response, cancel)
		res.verdict = savoryverdict.NotRun
		return res
	}
	if !timer.stop() && (err != nil || !res.complete) {
		err = errAttemptTimeout
	}
	if err != nil {
		cancel()
		_ = response.Close()
		c.recordFailure(id, err)
		return plainResult{err: err, verdict: savoryverdict.MayHaveRun, server: id, begun: true}
	}
	cancelOnClose(response, cancel)
	if response.StatusCode >= http.StatusInternalServerError || promisesNotRun(response.StatusCode) {
		// The failure is the server's own, so a repeatable request may
		// succeed on another server. This includes a status that promises
		// that the request has not run, if the server's header does not
		// confirm it.
		c.recordFailure(id, statusError(response.StatusCode))
		res.verdict = savoryverdict.MayHaveRun
		return res
	}
	c.g.view.recordSuccess(id)
	c.recordPace(id, response.StatusCode, sentAt)
	return res
}

// failedSend records that a send failed without a response.
func (c *call) failedSend(id string, err error) plainResult {
	verdict := savoryverdict.MayHaveRun
	var failure *savoryconn.Error
	if errors.As(err, &failure) {
		verdict = failure.Verdict
	}
	if notSent(err) {
		c.g.view.unsent(id)
	}
	c.recordFailure(id, err)
	return plainResult{err: err, verdict: verdict, server: id, begun: c.dropped != nil}
}

// readStart reads the beginning of the response's body, or all of it if it is not large. An
// event stream that broke off is an error.
func (c *call) readStart(res *plainResult) error {
	var err error
	res.bodyStart, err = io.ReadAll(io.LimitReader(res.response, maxBufferedBytes+1))
	res.complete = len(res.bodyStart) <= maxBufferedBytes
	if err == nil && res.complete && c.brokenOffAfter(res.response, res.bodyStart) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// brokenOffAfter reports whether a whole event stream that ends with its connection has
// broken off: it ends inside an event or has none. end is the end of its body.
func (c *call) brokenOffAfter(response *savoryconn.Response, end []byte) bool {
	stream := c.route.Kind == savoryrouting.Streaming && c.r.Method != http.MethodHead && response.StatusCode == http.StatusOK
	return stream && response.EndsWithConnection() && !bytes.HasSuffix(end, eventSeparator)
}

// errAttemptTimeout is the cause of the end of an attempt whose server is too
// slow for a repeatable request.
var errAttemptTimeout = errors.New("the server did not respond within its fraction of the remaining time")

// notSent reports whether err is that of a request that was not sent because there
// was no connection.
func notSent(err error) bool {
	var failure *savoryconn.Error
	return errors.As(err, &failure) && failure.NotSent()
}

// serverGone reports whether err shows that no process listens at a server's
// address.
func serverGone(err error) bool {
	var failure *savoryconn.Error
	return errors.As(err, &failure) && failure.ServerGone()
}

// statusError is the status of a server's response that counts as a failure.
type statusError int

func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

// attemptTimer ends an attempt whose server is too slow. The zero value is a
// timer that is not started.
type attemptTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	fired   bool
}

// start calls end after d, and again at each pollInterval until it reports that
// the attempt has ended or the timer is stopped.
func (t *attemptTimer) start(d time.Duration, end func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stopped {
			return
		}
		if t.fired = end(); !t.fired {
			t.timer.Reset(pollInterval)
		}
	})
}

// stop stops the timer. It reports false if the timer has ended the attempt.
func (t *attemptTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.stopped = true
	return !t.fired
}

// cancelOnClose cancels the context of a response when the response is closed.
func cancelOnClose(a *savoryconn.Response, cancel context.CancelFunc) { a.OnClose = cancel }

// recordFailure records a failure of a server. It does nothing if the request
// has ended, which also makes calls fail.
func (c *call) recordFailure(id string, err error) {
	if c.ended() {
		return
	}
	until := c.g.view.recordFailure(id, serverGone(err), c.g.now())
	c.log.WithError(err).WithFields(log.Fields{
		"server": id, "avoidedMs": until.Sub(c.g.now()).Milliseconds(),
	}).Info("server failed")
}

// recordRefusal records that a server refused the request without running it.
func (c *call) recordRefusal(id string, status int, info ResponseInfo) {
	c.log.WithFields(log.Fields{"server": id, "status": status, "fault": info.Fault.String()}).Info("server refused the request")
	c.g.view.recordPaceRejection(id)
	if status == http.StatusMisdirectedRequest && info.Instance != "" && info.Instance != id {
		// The address now belongs to another server, so the intended server
		// no longer exists.
		c.g.view.markLeaving(id, c.table.Config)
	}
}

// writeResponse writes a server's response to the caller.
func (c *call) writeResponse(res plainResult) {
	defer func() { _ = res.response.Close() }()
	c.mayHaveRun = true
	c.copyResponseHeader(res.response.Header)
	switch {
	case res.complete:
		if c.r.Method != http.MethodHead {
			c.w.Header().Set("Content-Length", strconv.Itoa(len(res.bodyStart)))
		}
	case res.response.ContentLength >= 0:
		c.w.Header().Set("Content-Length", strconv.FormatInt(res.response.ContentLength, 10))
	}
	c.w.WriteHeader(res.response.StatusCode)
	c.headerWritten = true
	c.firstByteAt = c.g.now()
	_, err := c.w.Write(res.bodyStart)
	if err == nil && !res.complete {
		err = c.copyBody(res.response, slices.Clone(res.bodyStart[len(res.bodyStart)-len(eventSeparator):]))
	}
	if err != nil {
		c.fail(savoryverdict.Wrap(err))
		return
	}
	if res.response.StatusCode < http.StatusInternalServerError && !res.response.EndsWithConnection() {
		c.g.recordProgress(c.prompt)
	}
	c.g.metrics.firstEvent.WithLabelValues(string(c.route.Kind)).Observe(c.firstByteAt.Sub(c.startedAt).Seconds())
	c.recordEnd("answered", nil)
}

// copyBody copies the rest of a large body to the caller as it arrives. end is the end of
// what was written before.
func (c *call) copyBody(a *savoryconn.Response, end []byte) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.Read(buf)
		if n > 0 {
			end = append(end[max(0, len(end)-len(eventSeparator)):], buf[max(0, n-len(eventSeparator)):n]...)
			if _, werr := io.Copy(c.w, bytes.NewReader(buf[:n])); werr != nil {
				return werr
			}
			if ferr := c.rc.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) && c.brokenOffAfter(a, end) {
			return io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
