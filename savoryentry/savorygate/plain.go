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
	// wholeBytes is the largest answer that is read whole before its head is
	// passed on, so that a broken one can be replaced.
	wholeBytes = 64 << 10
	// copyBytes is the size of the buffer for larger answers.
	copyBytes = 16 << 10
	// attemptPart is the part of the time left after which a repeatable request
	// is sent to another server.
	attemptPart = 0.4
	// notRunSends bounds the servers that refuse one request without running
	// it.
	notRunSends = 4
)

// plainResult is the outcome of sending a request to one server.
type plainResult struct {
	answer *savoryconn.Response
	// first is the beginning of the body, whole if it is all of it.
	first []byte
	whole bool
	err   error
	// verdict is NotRun only if the server did not run the request.
	verdict savoryverdict.Verdict
	server  string
}

// plain sends the request to servers until one answers.
func (c *call) plain() {
	avoid := make(map[string]bool)
	runs, refusals := 0, 0
	for {
		now := c.g.now()
		choice, err := c.g.view.choosePlain(c.service.Name, avoid, now)
		if err != nil {
			c.failPlain(nil, refusals > 0)
			return
		}
		c.decided(log.Fields{
			"server": choice.server.ID, "runnerUp": choice.runnerUp, "flights": choice.inFlight, "slots": choice.slots, "avoided": choice.avoided,
		}, "server chosen")
		res := c.sendPlain(choice, runs+1 < c.route.Attempts)
		if res.answer != nil && res.err == nil && res.verdict == savoryverdict.Ran {
			c.passPlain(res)
			return
		}
		avoid[choice.server.ID] = true
		if res.verdict == savoryverdict.NotRun {
			refusals++
		} else {
			c.mayHaveRun = true
			runs++
		}
		if c.gone() || !c.mayRepeat(res, runs, refusals) {
			c.lastPlain(res, refusals > 0)
			return
		}
		if res.answer != nil {
			_ = res.answer.Close()
		}
	}
}

// mayRepeat reports whether a failed request goes to another server.
func (c *call) mayRepeat(res plainResult, runs, refusals int) bool {
	if !c.g.now().Before(c.deadline) {
		return false
	}
	if res.verdict != savoryverdict.NotRun && (!c.route.Repeatable() || runs >= max(1, c.route.Attempts)) {
		return false
	}
	if refusals >= notRunSends {
		return false
	}
	if !c.g.allowRetry(c.service.Name) {
		c.log.WithField("reason", "retry budget used up").Info("not sent again")
		return false
	}
	c.g.metrics.retries.WithLabelValues(string(res.verdict)).Inc()
	return true
}

// lastPlain ends the request after its last failure: with the server's own
// answer where it gave one, with an answer of the entry otherwise.
func (c *call) lastPlain(res plainResult, refused bool) {
	if res.answer != nil && res.err == nil && res.verdict != savoryverdict.NotRun && !promises(res.answer.StatusCode) {
		c.passPlain(res)
		return
	}
	if res.answer != nil {
		_ = res.answer.Close()
		if res.err == nil {
			res.err = statusError(res.answer.StatusCode)
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
		c.fail(savoryverdict.Unavailable("Busy", busyRetry, "all servers of service %s are busy", c.service.Name))
	default:
		c.fail(savoryverdict.Unavailable("NoServer", brokenRetry, "no server of service %s is available", c.service.Name))
	}
}

// sendPlain sends the request to one server and reads the beginning of its
// answer. If another may be tried after it, a slow one is given up early.
func (c *call) sendPlain(choice plainChoice, another bool) plainResult {
	id := choice.server.ID
	defer c.g.view.endPlain(id)
	ctx, cancel := c.context()
	if another && c.route.Repeatable() {
		left := c.deadline.Sub(c.g.now())
		ctx, cancel = both(cancel)(context.WithTimeoutCause(ctx, time.Duration(attemptPart*float64(left)), errSlow))
	}
	req := c.request(Forward{Server: id, LastEvent: c.caller.LastEvent})
	c.sends++
	c.g.recordSend(c.service.Name, c.sends)
	answer, err := c.g.serverClient.Do(ctx, choice.server.Address, req)
	if err != nil {
		cancel()
		verdict := savoryverdict.MayHaveRun
		var failure *savoryconn.Error
		if errors.As(err, &failure) {
			verdict = failure.Verdict
		}
		c.serverFailed(id, err)
		return plainResult{err: err, verdict: verdict, server: id}
	}
	answered := c.g.Dialect.ReadAnswer(answer.StatusCode, answer.Header)
	res := plainResult{answer: answer, server: id, verdict: savoryverdict.Ran}
	res.first, err = io.ReadAll(io.LimitReader(answer, wholeBytes+1))
	res.whole = len(res.first) <= wholeBytes
	if answered.NotRun {
		c.refusedBy(id, answer.StatusCode, answered)
		cancelAfter(answer, cancel)
		res.verdict = savoryverdict.NotRun
		return res
	}
	if err != nil {
		cancel()
		_ = answer.Close()
		c.serverFailed(id, err)
		return plainResult{err: err, verdict: savoryverdict.MayHaveRun, server: id}
	}
	cancelAfter(answer, cancel)
	if answer.StatusCode >= http.StatusInternalServerError || promises(answer.StatusCode) {
		// The server failed by itself; a repeatable request may do better at
		// another. A status that promises more than the server said counts so
		// too.
		c.serverFailed(id, statusError(answer.StatusCode))
		res.verdict = savoryverdict.MayHaveRun
		return res
	}
	c.g.view.recordSuccess(id)
	return res
}

// errSlow ends an attempt of a repeatable request whose server is slow.
var errSlow = errors.New("the server did not answer in its part of the time")

// statusError is a failure by the status of a server's answer.
type statusError int

func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

// both joins the release of an outer context with that of an inner one.
func both(outer context.CancelFunc) func(context.Context, context.CancelFunc) (context.Context, context.CancelFunc) {
	return func(ctx context.Context, inner context.CancelFunc) (context.Context, context.CancelFunc) {
		return ctx, func() { inner(); outer() }
	}
}

// cancelAfter releases the context of an answer once it is closed.
func cancelAfter(a *savoryconn.Response, cancel context.CancelFunc) { a.OnClose = cancel }

// serverFailed records a failure of a server unless the caller caused it.
func (c *call) serverFailed(id string, err error) {
	if c.gone() {
		return
	}
	until := c.g.view.recordFailure(id, false, c.g.now())
	c.log.WithError(err).WithFields(log.Fields{
		"server": id, "avoidedMs": until.Sub(c.g.now()).Milliseconds(),
	}).Info("server failed")
}

// refusedBy records that a server refused the request without running it.
func (c *call) refusedBy(id string, status int, answered Answered) {
	c.log.WithFields(log.Fields{"server": id, "status": status, "fault": answered.Fault.String()}).Info("server refused")
	if status == http.StatusMisdirectedRequest && answered.Instance != "" && answered.Instance != id {
		// Another server has the address: the one that was meant is gone.
		c.g.view.markLeaving(id, c.table.Config)
	}
}

// passPlain hands a server's answer to the caller.
func (c *call) passPlain(res plainResult) {
	defer func() { _ = res.answer.Close() }()
	c.mayHaveRun = true
	c.headAnswer(res.answer.Header)
	switch {
	case res.whole:
		if c.r.Method != http.MethodHead {
			c.w.Header().Set("Content-Length", strconv.Itoa(len(res.first)))
		}
	case res.answer.ContentLength >= 0:
		c.w.Header().Set("Content-Length", strconv.FormatInt(res.answer.ContentLength, 10))
	}
	c.w.WriteHeader(res.answer.StatusCode)
	c.answered = true
	c.firstAt = c.g.now()
	_, err := c.w.Write(res.first)
	if err == nil && !res.whole {
		err = c.copyRest(res.answer)
	}
	if err != nil {
		c.fail(savoryverdict.Wrap(err))
		return
	}
	c.g.metrics.firstEvent.WithLabelValues(string(c.route.Kind)).Observe(c.firstAt.Sub(c.began).Seconds())
	c.ended("answered", nil)
}

// copyRest passes a large body on as it arrives.
func (c *call) copyRest(a *savoryconn.Response) error {
	buf := make([]byte, copyBytes)
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
