package savorynode

// This file defines the listener for callers: authentication, limits and the
// form of errors.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
)

// Headers of requests and answers.
const (
	headerRequestID = "X-Request-Id"
	headerVerdict   = savoryadmin.HeaderVerdict
	headerCustomer  = "Savorycart-Customer"
	headerReplayed  = "Idempotent-Replayed"
	headerKey       = "Idempotency-Key"
	ownHeaderPrefix = "Savorycart-"
)

const (
	// drainRetryAfter is when a caller may ask again at another entry.
	drainRetryAfter = time.Second
	// unreadyRetryAfter is when a caller may ask an entry without configuration
	// again.
	unreadyRetryAfter = 2 * time.Second
	// requestIDBytes is the length of a request ID before it is written in hex.
	requestIDBytes = 12
)

// callers serves the callers' listener.
type callers struct {
	settings         *Settings
	log              log.Interface
	now              func() time.Time
	keeper           *configKeeper
	tables           *tables
	metrics          *metrics
	requestsInFlight *inFlightCounter
	pipelines        *pipelineRunner
	services         *serviceRunner
}

// call is one request of a caller.
type call struct {
	id       string
	customer *savoryworld.Customer
	snapshot *savoryconfig.Snapshot
	kind     string
	log      log.Interface
}

// handler returns the handler of the callers' listener.
func (c *callers) handler() http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(c.serve("service", c.services.serve)),
		bunrouter.WithMethodNotAllowedHandler(c.serve("service", c.services.serve)),
	)
	router.POST("/v1/completions", c.serve("completion", c.pipelines.serveCompletion))
	router.POST("/v1/chat/completions", c.serve("chat", c.pipelines.serveChat))
	router.GET("/v1/models", c.serve("models", c.pipelines.serveModels))
	return router
}

// serve wraps a handler with what every request passes: request ID, drain,
// authentication, counting and the form of errors.
func (c *callers) serve(kind string, handle func(http.ResponseWriter, *http.Request, *call) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		out := &responseWriter{ResponseWriter: w, timeout: c.settings.Callers.WriteTimeout.AsDuration()}
		cl := &call{id: newRequestID(), kind: kind}
		cl.log = c.log.WithField("request", cl.id)
		out.Header().Set(headerRequestID, cl.id)
		err := c.admit(r.Request, cl, func() error { return handle(out, r.Request, cl) })
		c.finish(out, r.Request, cl, err)
		return nil
	}
}

// admit runs handle if the entry takes requests and the caller is known.
func (c *callers) admit(r *http.Request, cl *call, handle func() error) error {
	if !c.requestsInFlight.begin() {
		return savoryverdict.Unavailable("Draining", drainRetryAfter, "this entry is stopping; ask again")
	}
	defer c.requestsInFlight.end()
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
	cl.customer = customer
	cl.log = cl.log.WithField("customer", customer.Name)
	return handle()
}

// finish writes an error that a handler returned and counts the request.
func (c *callers) finish(w *responseWriter, r *http.Request, cl *call, err error) {
	verdict := savoryverdict.Ran
	if err != nil {
		e := savoryverdict.Wrap(err)
		verdict = e.Verdict
		if !w.started {
			writeError(w, e)
		}
		cl.log.WithFields(log.Fields{
			"method": r.Method, "path": r.URL.Path, "status": e.Status, "code": e.Code, "verdict": e.Verdict, "cause": e.Error(),
		}).Info("request failed")
	}
	c.metrics.requests.WithLabelValues(cl.kind, strconv.Itoa(w.status), string(verdict)).Inc()
	if w.truncated {
		// The answer was begun and cannot be made whole: closing the
		// connection keeps it from looking whole.
		panic(http.ErrAbortHandler)
	}
}

// authenticate returns the customer whose key the request carries.
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

// notAllowed is the 403 for something that the customer may not use.
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

// readBody reads a request's body within the limits of the settings.
func (c *callers) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := c.settings.Callers.MaxBodyBytes
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(c.settings.Callers.BodyTimeout.AsDuration())); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, savoryverdict.Invalid("Body", "cannot be read: %v", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusRequestEntityTooLarge, Code: "BodyTooLarge",
			Field: "Body", Message: fmt.Sprintf("has more than %d bytes", limit),
		}
	case err != nil:
		return nil, savoryverdict.Invalid("Body", "did not arrive whole: %v", err)
	}
	// The deadline was for the body; the connection lives on.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// newErrorBody returns the form in which e is written.
func newErrorBody(e *savoryverdict.Error) savoryadmin.ErrorBody {
	kind := "server_error"
	if e.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return savoryadmin.ErrorBody{Error: savoryadmin.ErrorDetail{Message: e.Message, Type: kind, Param: e.Field, Code: e.Code, Verdict: e.Verdict}}
}

// writeError writes e as the whole answer.
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

// responseWriter remembers what was written and bounds the time in which the
// caller takes each part.
type responseWriter struct {
	http.ResponseWriter
	timeout time.Duration
	started bool
	status  int
	// truncated says that the answer was begun but cannot be made whole.
	truncated bool
}

// WriteHeader sends the status.
func (w *responseWriter) WriteHeader(status int) {
	w.extendDeadline()
	if status >= http.StatusOK {
		w.started = true
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// flush hands what was written to the connection.
func (w *responseWriter) flush() error {
	w.extendDeadline()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) extendDeadline() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// newRequestID returns an ID that no other request has.
func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// inFlightCounter counts the requests in flight and refuses new ones once closed.
type inFlightCounter struct {
	mu     sync.Mutex
	n      int
	closed bool
	empty  chan struct{}
}

func newInFlightCounter() *inFlightCounter { return &inFlightCounter{empty: make(chan struct{})} }

// begin counts a request and reports whether it may run.
func (f *inFlightCounter) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.n++
	return true
}

// end takes a request off the count.
func (f *inFlightCounter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.closed && f.n == 0 {
		close(f.empty)
	}
}

// close refuses new requests and returns a channel that is closed once none is
// in flight.
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

// copyHeader copies the header fields that concern the other end.
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

// allowRetry takes one retry from the budget.
func (t *tables) allowRetry(now time.Time) bool {
	allowed := false
	t.limits.with(func(l *limitState) { allowed = l.budget.AllowRetry(now) })
	return allowed
}

// callerLeft reports whether the caller ended the request.
func callerLeft(ctx context.Context) bool { return ctx.Err() != nil }
