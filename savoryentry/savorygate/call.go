package savorygate

// This file defines call, which serves one request of a caller from reading it
// to the end of its response.

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
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savoryentry/savoryfront"
)

const (
	// defaultMaxBodyBytes bounds a request body if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 1 << 20
	// writeDeadlineMargin is the time after the deadline of a request in which
	// the caller must accept the end of the response.
	writeDeadlineMargin = 2 * time.Second
	// busyRetryDelay is the retry delay that a caller is given when all
	// servers are busy: by then a short request has ended and its slot is free
	// again.
	busyRetryDelay = 200 * time.Millisecond
	// unavailableRetryDelay is the retry delay that a caller is given when
	// there is no server, chain or configuration: by then another server is
	// loaded or listed.
	unavailableRetryDelay = 2 * time.Second
)

const (
	// maxStateWait bounds the wait of a request for the first configuration
	// and list of servers, or for a newer configuration, and stateWaitFraction bounds it
	// as a fraction of the time that the caller allows. An entry gets them quickly if
	// the store or a peer is available.
	maxStateWait      = 500 * time.Millisecond
	stateWaitFraction = 0.25
	// statePollInterval is the time between two checks during this wait.
	statePollInterval = 20 * time.Millisecond
)

// awaitStart waits for the first configuration and list of servers. It does not
// wait while the store is known to be unreachable. The deadline is the time
// that the caller allows, 0 if it states none.
func (g *Gate) awaitStart(ctx context.Context, deadline time.Duration) {
	g.awaitState(ctx, deadline, func() bool {
		return g.table.Load() != nil && g.view.hasList() || g.storeUnreachable.Load()
	})
}

// awaitState waits until the entry has the state that a request needs, or for as long as the
// request may wait for it. The deadline is as for awaitStart.
func (g *Gate) awaitState(ctx context.Context, deadline time.Duration, met func() bool) {
	wait := maxStateWait
	if deadline > 0 {
		wait = min(wait, time.Duration(stateWaitFraction*float64(deadline)))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for !met() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(statePollInterval):
		}
	}
}

// errDeadline is the cause of a context that ended because the deadline of the
// request has passed.
var errDeadline = errors.New("the deadline has passed")

// call is the state of one request of a caller.
type call struct {
	g  *Gate
	w  http.ResponseWriter
	r  *http.Request
	rc *http.ResponseController

	caller    Caller
	table     *savoryrouting.Table
	route     *savoryrouting.Route
	service   *savoryrouting.Service
	customer  *savoryrouting.Customer
	startedAt time.Time
	deadline  time.Time
	// body is nil until it was read. bodyRead is set if nothing is left of it.
	body     *savoryfront.Body
	bodyRead bool
	// prompt is what the request shares with others.
	prompt savoryquarantine.Prompt
	// trial is set if the request tries a quarantined part.
	trial bool
	// header holds the end-to-end fields of the caller's header. Each request
	// to a backend server gets a copy.
	header http.Header
	log    *log.Entry
	// sampled requests log every decision, others only failures and late
	// responses.
	sampled bool
	// sends is the number of times that the request was sent to backend
	// servers.
	sends int
	// dropped is the response that the last send has dropped, until it is logged.
	dropped *droppedResponse
	// mayHaveRun is set once a backend server may have run the request.
	mayHaveRun bool
	// headerWritten is set once the header of the response is written to the
	// caller.
	headerWritten bool
	// firstByteAt is when the first part of the response was written to the
	// caller; zero before that.
	firstByteAt time.Time
	// sentAt is when the request was first sent to a backend server, firstSentAt when the send
	// whose response came first was; zero before that.
	sentAt      time.Time
	firstSentAt time.Time
	// maxGap is the longest time between two events of a stream, and gapCause what happened in
	// it.
	maxGap   time.Duration
	gapCause gapCause
}

// ServeHTTP serves one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, rc: http.NewResponseController(w), startedAt: g.now(), table: g.table.Load()}
	g.inFlight.Add(1)
	g.metrics.inFlight.Inc()
	defer func() {
		g.metrics.inFlight.Dec()
		g.inFlight.Add(-1)
	}()
	if g.stopping.Load() {
		// The connection is closed after this response, so that the caller
		// connects to another entry for its next request.
		w.Header().Set("Connection", "close")
	}
	savoryfront.Serving(r)
	begun := g.intake.Begin()
	if begun {
		defer g.intake.End()
	}
	err := c.accept(begun)
	if c.body != nil {
		defer c.body.Release()
	}
	if err != nil {
		c.fail(err)
		return
	}
	savoryfront.Known(r)
	if c.route.Kind == savoryrouting.Streaming && c.service.Engine != nil && c.service.Engine.Layers > 0 {
		c.serveStream()
		return
	}
	c.servePlain()
}

// accept checks the request, selects its route, customer and service, sets the
// deadline and reads the body. begun is false if too many requests are in flight.
func (c *call) accept(begun bool) *savoryverdict.Error {
	caller, err := c.g.Dialect.ReadCaller(c.r.Header)
	c.caller = caller
	c.sampled = c.g.sample(caller.ID)
	c.log = c.g.Log.WithField("request", caller.ID)
	if err != nil {
		return savoryverdict.Invalid("Header", "%v", err)
	}
	if !begun {
		return c.refusal(&savoryfront.RefusalError{Cause: savoryfront.Requests})
	}
	if c.table == nil || !c.g.view.hasList() {
		c.g.awaitStart(c.r.Context(), caller.Deadline)
		c.table = c.g.table.Load()
	}
	if c.table == nil {
		return savoryverdict.Unavailable("NoConfiguration", unavailableRetryDelay, "no configuration is known yet")
	}
	if err := c.selectRoute(); err != nil {
		return err
	}
	c.service = c.table.Service(c.route, caller.ID)
	if c.service == nil {
		return savoryverdict.Unavailable("NoService", unavailableRetryDelay, "route %s has no service", c.route.Name)
	}
	c.g.view.recordDemand(c.service.Name, c.startedAt)
	c.prompt = promptOf(caller, c.service.Name)
	c.deadline = c.startedAt.Add(c.route.Timeout)
	if caller.Deadline > 0 && caller.Deadline < c.route.Timeout {
		c.deadline = c.startedAt.Add(caller.Deadline)
	}
	if err := c.rc.SetWriteDeadline(c.deadline.Add(writeDeadlineMargin)); err != nil {
		c.log.WithError(err).Debug("write deadline not set")
	}
	if err := c.refuseIfStopping(); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.header = endToEndHeader(c.r.Header)
	// The body may have come slowly.
	return c.refuseIfStopping()
}

// match selects the route and the customer of the request in c.table.
func (c *call) match() *savoryverdict.Error {
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.table.Match(c.r.Host, path)
	if c.route == nil {
		return &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusNotFound, Code: "NoRoute", Message: "no route matches the host and path",
		}
	}
	if c.table.NeedsKey(c.route) {
		if c.customer = c.table.Customer(c.caller.Key); c.customer == nil {
			return &savoryverdict.Error{
				Verdict: savoryverdict.NotRun, Status: http.StatusUnauthorized, Code: "UnknownKey", Message: "the key is not known",
			}
		}
	}
	return nil
}

// maxBodyBytes returns the limit on bodies of a configuration.
func maxBodyBytes(cfg *savoryrouting.Config) int64 {
	if cfg == nil || cfg.Limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return cfg.Limits.MaxBodyBytes
}

// readBody reads the whole body, so that the request can be sent more than
// once.
func (c *call) readBody() *savoryverdict.Error {
	body, err := c.g.intake.ReadBody(c.r, c.rc, savoryfront.BodyLimits{Bytes: maxBodyBytes(c.table.Config), Deadline: c.deadline})
	c.body = body
	if err != nil {
		return c.refusal(err)
	}
	c.bodyRead = true
	return nil
}

// refusal returns the error response for a refusal of the entry's own bounds.
func (c *call) refusal(err error) *savoryverdict.Error {
	var refusal *savoryfront.RefusalError
	if !errors.As(err, &refusal) {
		return savoryverdict.Wrap(err)
	}
	var e *savoryverdict.Error
	switch refusal.Cause {
	case savoryfront.BodyTooLarge:
		e = &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusRequestEntityTooLarge, Code: "BodyTooLarge",
			Field: "Body", Message: "is larger than " + strconv.FormatInt(maxBodyBytes(c.table.Config), 10) + " bytes",
		}
	case savoryfront.BodyTooSlow, savoryfront.BodyIncomplete:
		e = &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusRequestTimeout, Code: "BodyIncomplete",
			Message: "the request body is incomplete",
		}
	default:
		e = savoryverdict.Unavailable("Memory", savoryfront.RetryDelay, "this entry has no memory for the request now")
	}
	e.Err = err
	return e
}

// unreadBodyTime is the time in which the rest of a refused request's body must arrive, so that its
// connection can be used again.
const unreadBodyTime = 500 * time.Millisecond

// leaveBody keeps a body that was not read from holding the connection of a refused request.
func (c *call) leaveBody(e *savoryverdict.Error) {
	if c.bodyRead || c.r.ContentLength == 0 {
		return
	}
	var refusal *savoryfront.RefusalError
	if errors.As(e, &refusal) {
		savoryfront.Abandon(c.w.Header(), c.rc)
		return
	}
	if err := c.rc.SetReadDeadline(c.g.now().Add(unreadBodyTime)); err != nil {
		c.log.WithError(err).Debug("read deadline not set")
	}
}

// context returns a context that ends when the caller leaves, the deadline
// passes or the entry cuts the request.
func (c *call) context() (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(c.r.Context(), c.deadline, errDeadline)
}

// wait waits for d and reports whether the caller still waits.
func (c *call) wait(d time.Duration) bool {
	ctx, cancel := c.context()
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// ended reports whether the caller has left, or the entry has cut the request.
func (c *call) ended() bool { return c.r.Context().Err() != nil }

// callerLeft reports whether the caller has left.
func (c *call) callerLeft() bool {
	return c.ended() && !errors.Is(context.Cause(c.r.Context()), errStopped)
}

// newServerRequest returns the request for a backend server. It sets the
// remaining time, the customer and the priority of f.
func (c *call) newServerRequest(f Forward) *savoryconn.Request {
	h := c.header.Clone()
	f.Remaining = max(time.Millisecond, c.deadline.Sub(c.g.now()))
	if c.customer != nil {
		f.Customer = c.customer.Name
	}
	f.Priority = savoryrouting.Priority(c.route, c.customer)
	c.g.Dialect.SetRequestHeader(h, f)
	return &savoryconn.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body.Blocks,
		ID: c.caller.ID, ResponseID: c.g.Dialect.ResponseID,
	}
}

// recordSent records a send to a backend server, whose response may become the first.
func (c *call) recordSent(now time.Time) {
	if c.sentAt.IsZero() {
		c.sentAt = now
	}
	if c.firstByteAt.IsZero() {
		c.firstSentAt = now
	}
}

// promisesNotRun reports whether a response with this status promises that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// fail ends the request with an error response of the entry itself. A status
// that promises that the request has not run is replaced by 502 once the
// request may have run. If the caller has left or the header is already
// written, fail panics with http.ErrAbortHandler, which closes the connection.
func (c *call) fail(e *savoryverdict.Error) {
	if c.callerLeft() {
		c.recordEnd("caller left", e)
		panic(http.ErrAbortHandler)
	}
	if c.headerWritten {
		c.recordEnd("cut", e)
		// The connection is closed before the end of the response, so that
		// the caller can tell that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	status := e.Status
	if c.mayHaveRun && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	retryAfter := e.RetryAfter
	if !promisesNotRun(status) {
		retryAfter = 0
	}
	h := c.w.Header()
	// The header of a server's response may have been copied, but not written.
	clear(h)
	c.leaveBody(e)
	if c.g.stopping.Load() {
		h.Set("Connection", "close")
	}
	c.g.Dialect.SetErrorHeader(h, c.caller.ID, retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := e.Code + ": " + e.Message + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, text) // the caller may have left
	c.headerWritten = true
	e.Status = status
	c.recordEnd("failed", e)
}

// recordEnd counts the end of the request, and logs it if the request is
// sampled, late or has an error.
func (c *call) recordEnd(outcome string, e *savoryverdict.Error) {
	kind, status := "none", "200"
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	code := ""
	if e != nil {
		status, code = strconv.Itoa(e.Status), e.Code
	}
	if e == nil && c.service != nil {
		c.g.durations.record(c.service.Name, c.g.now().Sub(c.startedAt))
	}
	c.g.metrics.requests.WithLabelValues(kind, outcome, code).Inc()
	c.g.metrics.duration.WithLabelValues(kind).Observe(c.g.now().Sub(c.startedAt).Seconds())
	late := c.late()
	if late {
		c.g.metrics.missedObjectives.WithLabelValues(kind).Inc()
	}
	if !c.logsEnd(e, late) {
		return
	}
	logger := c.log.WithFields(log.Fields{
		"outcome": outcome, "status": status, "sends": c.sends, "mayHaveRun": c.mayHaveRun, "tookMs": c.g.now().Sub(c.startedAt).Milliseconds(),
	})
	if c.table != nil {
		reading, age := c.g.configReading(c.g.bootNow())
		logger = logger.WithFields(log.Fields{
			"version": c.table.Config.Version, "inForce": c.g.configVersion(), "configAgeMs": age.Milliseconds(), "reading": readingName(reading),
		})
	}
	if c.route != nil {
		logger = logger.WithField("route", c.route.Name)
	}
	logger = logger.WithFields(c.times(late))
	if e != nil {
		logger = logger.WithFields(log.Fields{"code": code, "cause": e.Error(), "parts": partIDs(c.prompt)})
		if refused := (*refusedPartError)(nil); errors.As(e, &refused) {
			logger = logger.WithField("part", refused.part.ID)
		}
	}
	logger.Info("request ended")
}

// logsEnd reports whether the end of the request is logged. Refusals by the entry's own bounds are
// not, since a crowd must not fill the log; sweep logs their number.
func (c *call) logsEnd(e *savoryverdict.Error, late bool) bool {
	if e == nil {
		return c.sampled || late
	}
	var refusal *savoryfront.RefusalError
	return !errors.As(e, &refusal)
}

// times returns the fields of the log that tell where the time of the request went.
func (c *call) times(late bool) log.Fields {
	fields := log.Fields{}
	if !c.sentAt.IsZero() {
		fields["waitMs"] = c.sentAt.Sub(c.startedAt).Milliseconds()
	}
	if !c.firstByteAt.IsZero() {
		fields["firstMs"], fields["firstSentMs"] = c.firstByteAt.Sub(c.startedAt).Milliseconds(), c.firstSentAt.Sub(c.startedAt).Milliseconds()
		fields["maxGapMs"], fields["gapCause"], fields["late"] = c.maxGap.Milliseconds(), string(c.gapCause), late
	}
	return fields
}

// late reports whether the response missed a latency objective of its route.
func (c *call) late() bool {
	if c.route == nil || c.firstByteAt.IsZero() {
		return false
	}
	return c.route.Objective > 0 && c.firstByteAt.Sub(c.startedAt) > c.route.Objective ||
		c.route.GapObjective > 0 && c.maxGap > c.route.GapObjective
}

// logDecision logs a decision of a sampled request.
func (c *call) logDecision(fields log.Fields, message string) {
	if c.sampled {
		c.log.WithFields(fields).Info(message)
	}
}

// copyResponseHeader copies the end-to-end fields of the header of a backend
// server's response to the response for the caller.
func (c *call) copyResponseHeader(h http.Header) {
	out := c.w.Header()
	for name, values := range endToEndHeader(h) {
		out[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			// A nil value keeps net/http from adding the field.
			out[name] = nil
		}
	}
}

// hopByHopHeaders are the header fields that apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeader returns a copy of h without Content-Length and the hop-by-hop
// fields, which include those that Connection lists.
func endToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	delete(out, "Content-Length")
	return out
}
