package savorygate

// This file serves requests that one backend server answers alone.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// maxBufferedBytes is the largest answer that is read whole before its head is
	// passed on, so that a broken one can be replaced.
	maxBufferedBytes = 64 << 10
	// copyBufferBytes is the size of the buffer for larger answers.
	copyBufferBytes = 16 << 10
	// attemptFraction is the part of the time left after which a repeatable request
	// is sent to another server.
	attemptFraction = 0.4
	// maxRefusals bounds the servers that refuse one request without running
	// it.
	maxRefusals = 4
)

// plainResult is the outcome of sending a request to one server.
type plainResult struct {
	response *savoryconn.Response
	// bodyStart is the beginning of the body, whole if it is all of it.
	bodyStart []byte
	complete  bool
	err       error
	// verdict is NotRun only if the server did not run the request.
	verdict savoryverdict.Verdict
	server  string
}

// servePlain sends the request to servers until one answers.
func (c *call) servePlain() {
	avoid := make(map[string]bool)
	runs, refusals := 0, 0
	for {
		now := c.g.now()
		choice, err := c.g.view.choosePlain(c.service.Name, avoid, now)
		if err != nil {
			c.failPlain(nil, refusals > 0)
			return
		}
		c.logDecision(log.Fields{
			"server": choice.server.ID, "runnerUp": choice.runnerUp, "flights": choice.flights, "slots": choice.slots, "avoided": choice.avoided,
		}, "server chosen")
		res := c.sendPlain(choice, runs+1 < c.route.Attempts)
		if res.response != nil && res.err == nil && res.verdict == savoryverdict.Ran {
			c.writeResponse(res)
			return
		}
		avoid[choice.server.ID] = true
		if res.verdict == savoryverdict.NotRun {
			refusals++
		} else {
			c.mayHaveRun = true
			runs++
		}
		if c.callerLeft() || !c.shouldRetry(res, runs, refusals) {
			c.finishPlain(res, refusals > 0)
			return
		}
		if res.response != nil {
			_ = res.response.Close()
		}
	}
}

// shouldRetry reports whether a failed request goes to another server.
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
	if !c.g.mayRetry(c.service.Name) {
		c.log.WithField("reason", "retry budget used up").Info("not sent again")
		return false
	}
	c.g.metrics.retries.WithLabelValues(string(res.verdict)).Inc()
	return true
}

// finishPlain ends the request after its last failure: with the server's own
// answer where it gave one, with an answer of the entry otherwise.
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

// failPlain ends the request without a server's answer.
func (c *call) failPlain(err error, refused bool) {
	switch {
	case c.mayHaveRun && errors.Is(err, errDeadline):
		c.fail(&savoryverdict.Error{
			Verdict: savoryverdict.MayHaveRun, Status: http.StatusGatewayTimeout, Code: "Deadline",
			Message: "no answer before the deadline", Err: err,
		})
	case c.mayHaveRun:
		c.fail(savoryverdict.Wrap(err))
	case refused:
		c.fail(savoryverdict.Unavailable("Busy", busyRetryDelay, "all servers of service %s are busy", c.service.Name))
	default:
		c.fail(savoryverdict.Unavailable("NoServer", unavailableRetryDelay, "no server of service %s is available", c.service.Name))
	}
}

// sendPlain sends the request to one server and reads the beginning of its
// answer. If another may be tried after it, a slow one is given up early.
func (c *call) sendPlain(choice plainChoice, canRetry bool) plainResult {
	id := choice.server.ID
	defer c.g.view.endPlain(id)
	ctx, cancel := c.context()
	if canRetry && c.route.Repeatable() {
		remaining := c.deadline.Sub(c.g.now())
		ctx, cancel = withOuterCancel(cancel)(context.WithTimeoutCause(ctx, time.Duration(attemptFraction*float64(remaining)), errAttemptTimeout))
	}
	req := c.newServerRequest(Forward{Server: id, LastEventID: c.caller.LastEventID})
	c.sends++
	c.g.sent(c.service.Name, c.sends)
	response, err := c.g.servers.Do(ctx, choice.server.Address, req)
	if err != nil {
		cancel()
		verdict := savoryverdict.MayHaveRun
		var failure *savoryconn.Error
		if errors.As(err, &failure) {
			verdict = failure.Verdict
		}
		c.recordFailure(id, err)
		return plainResult{err: err, verdict: verdict, server: id}
	}
	info := c.g.Dialect.ReadResponse(response.StatusCode, response.Header)
	res := plainResult{response: response, server: id, verdict: savoryverdict.Ran}
	res.bodyStart, err = io.ReadAll(io.LimitReader(response, maxBufferedBytes+1))
	res.complete = len(res.bodyStart) <= maxBufferedBytes
	if info.NotRun {
		c.recordRefusal(id, response.StatusCode, info)
		cancelOnClose(response, cancel)
		res.verdict = savoryverdict.NotRun
		return res
	}
	if err != nil {
		cancel()
		_ = response.Close()
		c.recordFailure(id, err)
		return plainResult{err: err, verdict: savoryverdict.MayHaveRun, server: id}
	}
	cancelOnClose(response, cancel)
	if response.StatusCode >= http.StatusInternalServerError || promisesNotRun(response.StatusCode) {
		// The server failed by itself; a repeatable request may do better at
		// another. A status that promises more than the server said counts so
		// too.
		c.recordFailure(id, statusError(response.StatusCode))
		res.verdict = savoryverdict.MayHaveRun
		return res
	}
	c.g.view.succeeded(id)
	return res
}

// errAttemptTimeout ends an attempt of a repeatable request whose server is slow.
var errAttemptTimeout = errors.New("the server did not answer in its part of the time")

// statusError is a failure by the status of a server's answer.
type statusError int

func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

// withOuterCancel joins the release of an outer context with that of an inner one.
func withOuterCancel(outer context.CancelFunc) func(context.Context, context.CancelFunc) (context.Context, context.CancelFunc) {
	return func(ctx context.Context, inner context.CancelFunc) (context.Context, context.CancelFunc) {
		return ctx, func() { inner(); outer() }
	}
}

// cancelOnClose releases the context of an answer once it is closed.
func cancelOnClose(a *savoryconn.Response, cancel context.CancelFunc) { a.OnClose = cancel }

// recordFailure records a failure of a server unless the caller caused it.
func (c *call) recordFailure(id string, err error) {
	if c.callerLeft() {
		return
	}
	until := c.g.view.failed(id, false, c.g.now())
	c.log.WithError(err).WithFields(log.Fields{
		"server": id, "avoidedMs": until.Sub(c.g.now()).Milliseconds(),
	}).Info("server failed")
}

// recordRefusal records that a server refused the request without running it.
func (c *call) recordRefusal(id string, status int, info ResponseInfo) {
	c.log.WithFields(log.Fields{"server": id, "status": status, "fault": info.Fault.String()}).Info("server refused")
	if status == http.StatusMisdirectedRequest && info.Instance != "" && info.Instance != id {
		// Another server has the address: the one that was meant is gone.
		c.g.view.leave(id, c.table.Config)
	}
}

// writeResponse hands a server's answer to the caller.
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
		err = c.copyBody(res.response)
	}
	if err != nil {
		c.fail(savoryverdict.Wrap(err))
		return
	}
	c.g.metrics.first.WithLabelValues(string(c.route.Kind)).Observe(c.firstByteAt.Sub(c.startedAt).Seconds())
	c.recordEnd("answered", nil)
}

// copyBody passes a large body on as it arrives.
func (c *call) copyBody(a *savoryconn.Response) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.Read(buf)
		if n > 0 {
			if _, werr := io.Copy(c.w, bytes.NewReader(buf[:n])); werr != nil {
				return werr
			}
			if ferr := c.rc.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
