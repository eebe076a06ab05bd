package savorygate

// This file defines call, one request of a caller from its reading to its final
// answer.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// defaultBodyBytes bounds a body while no configuration is in force.
	defaultBodyBytes = 1 << 20
	// writeSlack is the time after the deadline in which the end of an answer
	// must be taken by the caller.
	writeSlack = 2 * time.Second
	// busyRetry is when a caller may return after a refusal for want of a free
	// server: by then a slot of a short call is free again.
	busyRetry = 200 * time.Millisecond
	// brokenRetry is when a caller may return after a refusal for want of any
	// server or chain: by then another is loaded or listed.
	brokenRetry = 2 * time.Second
)

const (
	// startHold is the longest wait for the first configuration and list, and
	// startPart its part of the time that the caller has: a starting entry reads
	// them in a moment if the store answers.
	startHold = 500 * time.Millisecond
	startPart = 0.25
	// startLook is the pause between two looks for them.
	startLook = 20 * time.Millisecond
)

// awaitStart waits for the first configuration and list of servers, unless the
// store is known to be away.
func (g *Gate) awaitStart(ctx context.Context, deadline time.Duration) {
	wait := startHold
	if deadline > 0 {
		wait = min(wait, time.Duration(startPart*float64(deadline)))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for (g.table.Load() == nil || !g.view.hasList()) && !g.storeUnreachable.Load() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(startLook):
		}
	}
}

// errDeadline ends a request whose time is over.
var errDeadline = errors.New("the deadline has passed")

type call struct {
	g  *Gate
	w  http.ResponseWriter
	r  *http.Request
	rc *http.ResponseController

	caller   Caller
	table    *savoryrouting.Table
	route    *savoryrouting.Route
	service  *savoryrouting.Service
	customer *savoryrouting.Customer
	began    time.Time
	deadline time.Time
	body     []byte
	// header is what every backend server gets.
	header http.Header
	log    *log.Entry
	// sampled calls log every decision, the others only failures.
	sampled bool
	// sends counts what was sent to backend servers.
	sends int
	// mayHaveRun is set once a backend server may have run the request.
	mayHaveRun bool
	// answered is set once the head of the answer is written.
	answered bool
	firstAt  time.Time
	// maxGap is the longest pause between two events of a stream.
	maxGap time.Duration
}

// ServeHTTP serves one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, rc: http.NewResponseController(w), began: g.now(), table: g.table.Load()}
	g.inFlight.Add(1)
	g.metrics.inFlight.Inc()
	defer func() {
		g.metrics.inFlight.Dec()
		g.inFlight.Add(-1)
	}()
	if g.stopping.Load() {
		// The connection ends with this answer; the caller opens the next one
		// to another entry.
		w.Header().Set("Connection", "close")
	}
	if err := c.accept(); err != nil {
		c.fail(err)
		return
	}
	if c.route.Kind == savoryrouting.Streaming && c.service.Engine != nil && c.service.Engine.Layers > 0 {
		c.stream()
		return
	}
	c.plain()
}

// accept checks the request and reads its body.
func (c *call) accept() *savoryverdict.Error {
	caller, err := c.g.Dialect.ReadCaller(c.r.Header)
	c.caller = caller
	c.sampled = c.g.sample(caller.ID)
	c.log = c.g.Log.WithField("request", caller.ID)
	if err != nil {
		return savoryverdict.Invalid("Header", "%v", err)
	}
	if c.table == nil || !c.g.view.hasList() {
		c.g.awaitStart(c.r.Context(), caller.Deadline)
		c.table = c.g.table.Load()
	}
	if c.table == nil {
		return savoryverdict.Unavailable("NoConfiguration", brokenRetry, "no configuration is known yet")
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.table.Match(c.r.Host, path)
	if c.route == nil {
		return &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusNotFound, Code: "NoRoute", Message: "no route matches host and path",
		}
	}
	if c.table.NeedsKey(c.route) {
		if c.customer = c.table.Customer(caller.Key); c.customer == nil {
			return &savoryverdict.Error{
				Verdict: savoryverdict.NotRun, Status: http.StatusUnauthorized, Code: "UnknownKey", Message: "the key is not known",
			}
		}
	}
	c.service = c.table.Service(c.route, caller.ID)
	if c.service == nil {
		return savoryverdict.Unavailable("NoService", brokenRetry, "route %s has no service", c.route.Name)
	}
	c.deadline = c.began.Add(c.route.Timeout)
	if caller.Deadline > 0 && caller.Deadline < c.route.Timeout {
		c.deadline = c.began.Add(caller.Deadline)
	}
	if err := c.rc.SetWriteDeadline(c.deadline.Add(writeSlack)); err != nil {
		c.log.WithError(err).Debug("write deadline not set")
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.header = passed(c.r.Header)
	return nil
}

// readBody reads the whole body, so that it can be sent again.
func (c *call) readBody() *savoryverdict.Error {
	limit := c.table.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		return tooLarge(limit)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	if err := c.rc.SetReadDeadline(c.deadline); err != nil {
		c.log.WithError(err).Debug("read deadline not set")
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	if err != nil {
		return &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusRequestTimeout, Code: "BodyIncomplete",
			Message: "the body did not arrive", Err: err,
		}
	}
	if int64(len(body)) > limit {
		return tooLarge(limit)
	}
	c.body = body
	if err := c.rc.SetReadDeadline(time.Time{}); err != nil {
		c.log.WithError(err).Debug("read deadline not cleared")
	}
	return nil
}

func tooLarge(limit int64) *savoryverdict.Error {
	return &savoryverdict.Error{
		Verdict: savoryverdict.NotRun, Status: http.StatusRequestEntityTooLarge, Code: "BodyTooLarge",
		Field: "Body", Message: "is larger than " + strconv.FormatInt(limit, 10) + " bytes",
	}
}

// context returns a context that ends with the caller or at the deadline.
func (c *call) context() (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(c.r.Context(), c.deadline, errDeadline)
}

// gone reports whether the caller has left.
func (c *call) gone() bool { return c.r.Context().Err() != nil }

// request builds what is sent to a backend server.
func (c *call) request(f Forward) *savoryconn.Request {
	h := c.header.Clone()
	f.Left = max(time.Millisecond, c.deadline.Sub(c.g.now()))
	if c.customer != nil {
		f.Customer = c.customer.Name
	}
	f.Priority = savoryrouting.Priority(c.route, c.customer)
	c.g.Dialect.Prepare(h, f)
	return &savoryconn.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
		ID: c.caller.ID, ResponseID: c.g.Dialect.AnswerID,
	}
}

// promises are the statuses that promise that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// fail ends the request with an answer of the entry's own. A status that
// promises that the request has not run is never given once it may have.
func (c *call) fail(e *savoryverdict.Error) {
	if c.gone() {
		c.ended("caller left", e)
		panic(http.ErrAbortHandler)
	}
	if c.answered {
		c.ended("cut", e)
		// The connection closes without the end of the answer.
		panic(http.ErrAbortHandler)
	}
	status := e.Status
	if c.mayHaveRun && promises(status) {
		status = http.StatusBadGateway
	}
	retryAfter := e.RetryAfter
	if !promises(status) {
		retryAfter = 0
	}
	h := c.w.Header()
	// The head of a server's answer may stand there, not yet sent.
	clear(h)
	if c.g.stopping.Load() {
		h.Set("Connection", "close")
	}
	c.g.Dialect.WriteOwn(h, c.caller.ID, retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := e.Code + ": " + e.Message + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, text) // The caller may be gone.
	c.answered = true
	e.Status = status
	c.ended("failed", e)
}

// ended logs and counts the end of the request.
func (c *call) ended(outcome string, e *savoryverdict.Error) {
	kind, status := "none", "200"
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	code := ""
	if e != nil {
		status, code = strconv.Itoa(e.Status), e.Code
	}
	c.g.metrics.requests.WithLabelValues(kind, outcome, code).Inc()
	c.g.metrics.duration.WithLabelValues(kind).Observe(c.g.now().Sub(c.began).Seconds())
	late := c.late()
	if late {
		c.g.metrics.missedObjectives.WithLabelValues(kind).Inc()
	}
	if e == nil && !c.sampled && !late {
		return
	}
	entry := c.log.WithFields(log.Fields{
		"outcome": outcome, "status": status, "sends": c.sends, "mayHaveRun": c.mayHaveRun, "tookMs": c.g.now().Sub(c.began).Milliseconds(),
	})
	if c.route != nil {
		entry = entry.WithFields(log.Fields{"route": c.route.Name, "version": c.table.Config.Version})
	}
	if !c.firstAt.IsZero() {
		entry = entry.WithFields(log.Fields{"firstMs": c.firstAt.Sub(c.began).Milliseconds(), "maxGapMs": c.maxGap.Milliseconds(), "late": late})
	}
	if e != nil {
		entry = entry.WithFields(log.Fields{"code": code, "cause": e.Error()})
	}
	entry.Info("request ended")
}

// late reports whether an answer missed its objectives.
func (c *call) late() bool {
	if c.route == nil || c.firstAt.IsZero() {
		return false
	}
	return c.route.Objective > 0 && c.firstAt.Sub(c.began) > c.route.Objective ||
		c.route.GapObjective > 0 && c.maxGap > c.route.GapObjective
}

// decided logs a decision of a sampled request.
func (c *call) decided(fields log.Fields, message string) {
	if c.sampled {
		c.log.WithFields(fields).Info(message)
	}
}

// headAnswer copies the header of a backend server's answer.
func (c *call) headAnswer(h http.Header) {
	out := c.w.Header()
	for name, values := range passed(h) {
		out[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			// A nil value keeps the library from adding its own.
			out[name] = nil
		}
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// passed returns a copy of h without the fields that concern one connection.
func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	delete(out, "Content-Length")
	return out
}
