package savorynode

// This file defines the HTTP API for callers: routing, authentication, limits
// and error responses.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/uptrace/bunrouter"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savoryfront"
)

// Header fields of requests and responses.
const (
	headerRequestID = "X-Request-Id"
	headerVerdict   = savoryadmin.HeaderVerdict
	headerCustomer  = "Savorycart-Customer"
	headerReplayed  = "Idempotent-Replayed"
	headerKey       = "Idempotency-Key"
	ownHeaderPrefix = "Savorycart-"
)

const (
	// drainRetryAfter is the Retry-After time of a draining entry. The retry
	// reaches another entry.
	drainRetryAfter = time.Second
	// unreadyRetryAfter is the Retry-After time of an entry without a
	// configuration.
	unreadyRetryAfter = 2 * time.Second
	// requestIDBytes is the length of a request ID before the hex encoding.
	requestIDBytes = 12
)

// callers serves the requests of callers.
type callers struct {
	settings         *Settings
	log              log.Interface
	now              func() time.Time
	keeper           *configKeeper
	tables           *tables
	metrics          *metrics
	requestsInFlight *inFlightCounter
	// isolated is gossiper.isolated.
	isolated  func(now time.Time) bool
	intake    *savoryfront.Front
	pipelines *pipelineRunner
	services  *serviceRunner
}

// call is the request of a caller.
type call struct {
	id       string
	customer *savoryworld.Customer
	snapshot *savoryconfig.Snapshot
	kind     string
	// bodyRead is set if nothing is left of the body.
	bodyRead bool
	log      log.Interface
}

// handler returns the HTTP handler for callers. Paths outside the completion
// API belong to plain services.
func (c *callers) handler() http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(c.serve("service", c.services.serve)),
		bunrouter.WithMethodNotAllowedHandler(c.serve("service", c.services.serve)),
	)
	router.POST(completionsPath, c.serve("completion", c.pipelines.serveCompletion))
	router.POST(chatPath, c.serve("chat", c.pipelines.serveChat))
	router.GET("/v1/models", c.serve("models", c.pipelines.serveModels))
	return router
}

// serve wraps a handler with the steps common to all requests: request ID,
// drain check, authentication, metrics and error responses.
func (c *callers) serve(kind string, handle func(http.ResponseWriter, *http.Request, *call) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		out := &responseWriter{ResponseWriter: w, timeout: c.settings.Callers.WriteTimeout.AsDuration()}
		cl := &call{id: newRequestID(), kind: kind}
		cl.log = c.log.WithField("request", cl.id)
		out.Header().Set(headerRequestID, cl.id)
		err := c.admit(r.Request, cl, func() error { return handle(out, r.Request, cl) })
		c.finish(out, r.Request, cl, refuseInDoubt(err, c.isolated(c.now())))
		return nil
	}
}

// admit calls handle if the entry accepts requests and the caller is
// authenticated.
func (c *callers) admit(r *http.Request, cl *call, handle func() error) error {
	if !c.requestsInFlight.begin() {
		return savoryverdict.Unavailable("Draining", drainRetryAfter, "this entry is draining; retry the request")
	}
	defer c.requestsInFlight.end()
	savoryfront.Serving(r)
	if !c.intake.Begin() {
		return c.refusal(&savoryfront.RefusalError{Cause: savoryfront.Requests})
	}
	defer c.intake.End()
	c.metrics.inFlight.Inc()
	defer c.metrics.inFlight.Dec()
	cl.snapshot = c.keeper.snapshot()
	if cl.snapshot == nil {
		return savoryverdict.Unavailable("NoConfiguration", unreadyRetryAfter, "no configuration is in force at this entry yet")
	}
	customer, err := authenticate(cl.snapshot, r)
	if err != nil {
		return err
	}
	savoryfront.Known(r)
	cl.customer = customer
	cl.log = cl.log.WithField("customer", customer.Name)
	return handle()
}

// finish writes the error of a handler, unless the response has begun, and
// counts the request.
func (c *callers) finish(w *responseWriter, r *http.Request, cl *call, err error) {
	verdict := savoryverdict.Ran
	if err != nil {
		e := savoryverdict.Wrap(err)
		verdict = e.Verdict
		if !w.started {
			leaveBody(w, r, cl, err)
			writeError(w, e)
		}
		c.logFailure(r, cl, e)
	}
	c.metrics.requests.WithLabelValues(cl.kind, strconv.Itoa(w.status), string(verdict)).Inc()
	if w.truncated {
		// The response has begun and cannot be completed. The connection is
		// closed so that the caller does not take it for complete.
		panic(http.ErrAbortHandler)
	}
}

// logFailure logs a failed request, unless the entry's own bounds refused it: a crowd must not
// fill the log, which states the number of those refusals.
func (c *callers) logFailure(r *http.Request, cl *call, e *savoryverdict.Error) {
	if refusal := (*savoryfront.RefusalError)(nil); errors.As(e, &refusal) {
		return
	}
	cl.log.WithFields(log.Fields{
		"method": r.Method, "path": r.URL.Path, "status": e.Status, "code": e.Code, "verdict": e.Verdict, "cause": e.Error(),
	}).Info("request failed")
}

// refuseInDoubt returns err, or a refusal in its place if it denies what may have been added while
// the entry was isolated. Callers do not ask again after a denial.
func refuseInDoubt(err error, isolated bool) error {
	var e *savoryverdict.Error
	if !isolated || !errors.As(err, &e) {
		return err
	}
	switch e.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		refusal := savoryverdict.Unavailable("ConfigurationUnconfirmed", unreadyRetryAfter, "the configuration may be out of date")
		refusal.Err = err
		return refusal
	}
	return err
}

// authenticate returns the customer for the request's key.
func authenticate(snapshot *savoryconfig.Snapshot, r *http.Request) (*savoryworld.Customer, error) {
	values := r.Header.Values("Authorization")
	refused := &savoryverdict.Error{
		Verdict: savoryverdict.NotRun, Status: http.StatusUnauthorized, Code: "UnknownKey",
		Field: "Authorization", Message: "a customer's key is required as a bearer token",
	}
	if len(values) != 1 {
		return nil, refused
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, refused
	}
	customer := snapshot.CustomerByKey(key)
	if customer == nil {
		refused.Message = "the key is not known"
		return nil, refused
	}
	return customer, nil
}

// notAllowed returns the 403 error for a resource that the customer may not
// use.
func notAllowed(field, format string, args ...any) error {
	return &savoryverdict.Error{
		Verdict: savoryverdict.NotRun, Status: http.StatusForbidden, Code: "NotAllowed",
		Field: field, Message: fmt.Sprintf(format, args...),
	}
}

func notFound(field, format string, args ...any) error {
	return &savoryverdict.Error{
		Verdict: savoryverdict.NotRun, Status: http.StatusNotFound, Code: "NotFound",
		Field: field, Message: fmt.Sprintf(format, args...),
	}
}

// readBody reads a request body within the size and time limits of the
// settings. Release must be called on the result.
func (c *callers) readBody(w http.ResponseWriter, r *http.Request, cl *call) (*savoryfront.Body, error) {
	body, err := c.intake.ReadBody(r, http.NewResponseController(w), savoryfront.BodyLimits{
		Bytes: c.settings.Callers.MaxBodyBytes, Deadline: time.Now().Add(c.settings.Callers.BodyTimeout.AsDuration()),
	})
	if err != nil {
		return body, c.refusal(err)
	}
	cl.bodyRead = true
	return body, nil
}

// refusal returns the error response for a refusal of the entry's own bounds.
func (c *callers) refusal(err error) error {
	var refusal *savoryfront.RefusalError
	if !errors.As(err, &refusal) {
		return err
	}
	var e *savoryverdict.Error
	switch refusal.Cause {
	case savoryfront.BodyTooLarge:
		e = &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusRequestEntityTooLarge, Code: "BodyTooLarge",
			Field: "Body", Message: fmt.Sprintf("has more than %d bytes", c.settings.Callers.MaxBodyBytes),
		}
	case savoryfront.BodyTooSlow:
		e = &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusRequestTimeout, Code: "BodyIncomplete",
			Field: "Body", Message: "was not received in time",
		}
	case savoryfront.BodyIncomplete:
		e = savoryverdict.Invalid("Body", "was not received completely: %v", refusal.Err)
	default:
		e = savoryverdict.Unavailable("Memory", savoryfront.RetryDelay, "this entry has no memory for the request now")
	}
	e.Err = err
	return e
}

// unreadBodyTime is the time in which the rest of a refused request's body must
// arrive, so that its connection can be used again.
const unreadBodyTime = 500 * time.Millisecond

// leaveBody keeps a body that was not read from holding the connection of a
// refused request.
func leaveBody(w http.ResponseWriter, r *http.Request, cl *call, err error) {
	if cl.bodyRead || r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	if refusal := (*savoryfront.RefusalError)(nil); errors.As(err, &refusal) {
		savoryfront.Abandon(w.Header(), control)
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTime)) // If it fails, the connection is closed.
}

// newErrorBody returns the response body for e.
func newErrorBody(e *savoryverdict.Error) savoryadmin.ErrorBody {
	kind := "server_error"
	if e.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return savoryadmin.ErrorBody{Error: savoryadmin.ErrorDetail{Message: e.Message, Type: kind, Param: e.Field, Code: e.Code, Verdict: e.Verdict}}
}

// writeError writes e as the complete response.
func writeError(w http.ResponseWriter, e *savoryverdict.Error) {
	w.Header().Set(headerVerdict, string(e.Verdict))
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, e.Status, newErrorBody(e))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// responseWriter records the progress of a response and bounds the time of
// each write to the caller.
type responseWriter struct {
	http.ResponseWriter
	timeout time.Duration
	started bool
	status  int
	// truncated means that the response has begun but cannot be completed.
	truncated bool
}

// WriteHeader writes the status and the header.
func (w *responseWriter) WriteHeader(status int) {
	w.extendDeadline()
	if status >= http.StatusOK {
		w.started = true
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// flush sends buffered data to the connection.
func (w *responseWriter) flush() error {
	w.extendDeadline()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) extendDeadline() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// newRequestID returns a random ID, unique in practice.
func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// inFlightCounter counts the requests in flight. After close it refuses new
// ones.
type inFlightCounter struct {
	mu     sync.Mutex
	n      int
	closed bool
	empty  chan struct{}
}

func newInFlightCounter() *inFlightCounter { return &inFlightCounter{empty: make(chan struct{})} }

// begin counts a request, or returns false if the counter is closed.
func (f *inFlightCounter) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.n++
	return true
}

// end removes a request from the count.
func (f *inFlightCounter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.closed && f.n == 0 {
		close(f.empty)
	}
}

// close refuses new requests and returns a channel that is closed when no
// request is in flight.
func (f *inFlightCounter) close() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.closed = true
		if f.n == 0 {
			close(f.empty)
		}
	}
	return f.empty
}

// count returns the number of requests in flight.
func (f *inFlightCounter) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// copyHeader copies the end-to-end header fields. It omits hop-by-hop fields,
// Content-Length and the fields of this project.
func copyHeader(to, from http.Header) {
	skip := []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	}
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			skip = append(skip, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range from {
		if slices.Contains(skip, name) || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		to[name] = slices.Clone(values)
	}
}

// allowRetry takes one retry from the budget, and reports whether it was
// available.
func (t *tables) allowRetry(now time.Time) bool {
	allowed := false
	t.limits.with(func(l *limitState) { allowed = l.budget.AllowRetry(now) })
	return allowed
}

// callerLeft reports whether the context of the request has ended.
func callerLeft(ctx context.Context) bool { return ctx.Err() != nil }
