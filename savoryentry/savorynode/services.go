package savorynode

// This file defines serviceRunner, which forwards requests to plain services:
// services that are not pipelines of engines.

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryclaim"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savoryfront"
)

const (
	// defaultServiceTimeout bounds a request whose route has no timeout.
	defaultServiceTimeout = 30 * time.Second
	// maxServiceAttempts bounds the attempts of one request.
	maxServiceAttempts = 3
	// noServerRetryAfter is the Retry-After time if no server of the service
	// is available.
	noServerRetryAfter = 2 * time.Second
	// copyBufferBytes is the size of the buffer that copies a response to the
	// caller.
	copyBufferBytes = 32 << 10
)

// errHeaderLate means that an attempt was given up for another one because it
// did not receive the response header in its part of the route timeout.
var errHeaderLate = errors.New("no response header in the time of one attempt")

// serviceRunner serves requests to plain services on the servers that
// savorychain.Table.ChooseService selects.
type serviceRunner struct {
	callers *callers
	claims  *claimRunner
	region  string
	entry   string
	// pooled reuses connections. It carries the first attempt of an
	// idempotent request.
	pooled http.RoundTripper
	// fresh opens a new connection for each request. Requests that must not
	// be repeated use it: on a reused connection that the server has just
	// closed, the outcome would be unknown.
	fresh http.RoundTripper
	// markLeaving announces that a server is leaving by its own word.
	markLeaving func(server string)
}

// serviceCall is one request to a plain service.
type serviceCall struct {
	*call
	route  *savoryworld.Route
	method string
	target string
	header http.Header
	body   *savoryfront.Body
}

// serviceResponse is a response of a server whose header has been received.
type serviceResponse struct {
	resp *http.Response
	// bodyStart holds the part of the body that has been read.
	bodyStart []byte
	// bodyComplete means that bodyStart is the complete body.
	bodyComplete bool
	end          func()
}

// serve checks one request against its route and contract and forwards it.
func (s *serviceRunner) serve(w http.ResponseWriter, r *http.Request, cl *call) error {
	route, err := matchRoute(cl.snapshot, cl.customer, r.Method, r.URL.Path)
	if err != nil && savoryverdict.Wrap(err).Status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", strings.Join(route.Methods, ", "))
	}
	if err != nil {
		return err
	}
	key, err := idempotencyKey(r, route)
	if err != nil {
		return err
	}
	body, err := s.callers.readBody(w, r, cl)
	defer body.Release()
	if err != nil {
		return err
	}
	admitted, err := s.callers.tables.admitContract(cl.customer, 0, 0, s.callers.now())
	if err != nil {
		return err
	}
	defer admitted.end(true)
	cl.log = cl.log.WithField("route", route.Name)
	sc := &serviceCall{
		call: cl, route: route, method: r.Method, target: r.URL.RequestURI(),
		header: s.requestHeader(r, cl), body: body,
	}
	ctx, cancel := context.WithTimeout(r.Context(), routeTimeout(route))
	defer cancel()
	if key == "" || route.Idempotent {
		return s.servePlain(ctx, w, sc)
	}
	return s.serveWithKey(ctx, w, sc, key)
}

// matchRoute returns the route of a customer's request. The route is set with the error for a
// method that it does not serve or a customer that may not use it.
func matchRoute(snapshot *savoryconfig.Snapshot, customer *savoryworld.Customer, method, path string) (*savoryworld.Route, error) {
	route := snapshot.Route(path)
	if route == nil {
		return nil, notFound("Path", "no route serves %s", path)
	}
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, method) {
		return route, &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusMethodNotAllowed, Code: "MethodNotAllowed",
			Field: "Method", Message: fmt.Sprintf("route %s does not serve %s", route.Name, method),
		}
	}
	if !slices.Contains(customer.Routes, route.Name) {
		return route, notAllowed("Path", "the customer may not use route %s", route.Name)
	}
	return route, nil
}

// servePlain forwards a request without an idempotency key, or with an
// idempotent route, for which the key is not needed.
func (s *serviceRunner) servePlain(ctx context.Context, w http.ResponseWriter, sc *serviceCall) error {
	answer, err := s.send(ctx, sc)
	if err != nil {
		return err
	}
	defer answer.close()
	return s.forward(w, answer)
}

// serveWithKey forwards a request under its idempotency key, or replays the
// recorded answer.
func (s *serviceRunner) serveWithKey(ctx context.Context, w http.ResponseWriter, sc *serviceCall, key string) error {
	if sc.customer.HomeRegion != s.region {
		return &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusMisdirectedRequest, Code: "OtherHomeRegion", Field: headerKey,
			Message: fmt.Sprintf("the customer's idempotency keys are kept in region %s; this entry is in %s", sc.customer.HomeRegion, s.region),
		}
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, sc.body.Reader()); err != nil {
		return err
	}
	attempt := &savoryclaim.Attempt{
		Identity: savoryclaim.Identity{
			Customer: sc.customer.Name, Route: sc.route.Name, Method: sc.method, Target: sc.target,
			BodySHA256: hex.EncodeToString(sum.Sum(nil)),
		},
		Entry: s.entry, Nonce: newRequestID(), MaxCreateTries: maxClaimTries,
		ForwardWithoutStore: sc.route.WhenStoreOut == savoryworld.OutageForward,
	}
	var response *serviceResponse
	action := s.claims.run(ctx, savoryclaim.StoreKey(sc.customer.Name, key), attempt, func() savoryclaim.SendResult {
		var recorded savoryclaim.SendResult
		response, recorded = s.sendWithKey(ctx, sc)
		return recorded
	})
	if response != nil {
		defer response.close()
	}
	s.logClaim(sc, action)
	switch {
	case action.Err != nil:
		return action.Err
	case action.Replayed:
		return replay(w, action.Answer)
	default:
		return s.forward(w, response)
	}
}

// sendWithKey sends the request and reads the response up to the size that
// can be recorded.
func (s *serviceRunner) sendWithKey(ctx context.Context, sc *serviceCall) (*serviceResponse, savoryclaim.SendResult) {
	answer, err := s.send(ctx, sc)
	if err != nil {
		return nil, savoryclaim.SendResult{Err: savoryverdict.Wrap(err)}
	}
	if err := answer.readStart(savoryclaim.MaxAnswerBytes); err != nil {
		answer.close()
		return nil, savoryclaim.SendResult{Err: savoryverdict.Wrap(fmt.Errorf("read response: %w", err))}
	}
	if !answer.bodyComplete {
		return answer, savoryclaim.SendResult{TooLarge: true}
	}
	header := make(http.Header)
	copyHeader(header, answer.resp.Header)
	return answer, savoryclaim.SendResult{Answer: &savoryclaim.Answer{Status: answer.resp.StatusCode, Header: header, Body: answer.bodyStart}}
}

// send sends the request to a server. After a failure it tries another server
// if the verdict is NotRun or the route is idempotent, within
// maxServiceAttempts and the retry budget.
func (s *serviceRunner) send(ctx context.Context, sc *serviceCall) (*serviceResponse, error) {
	var avoid []string
	for try := 1; ; try++ {
		server, err := s.choose(sc, avoid)
		if err != nil && len(avoid) > 0 {
			// No other server is left. The failure may have been one of the
			// connection, so the servers that failed are tried again.
			server, err = s.choose(sc, nil)
		}
		if err != nil {
			return nil, err
		}
		answer, err := s.sendTo(ctx, sc, server, try)
		if err == nil {
			return answer, nil
		}
		if callerLeft(ctx) || try == maxServiceAttempts || !s.mayRepeat(sc, err) {
			return nil, err
		}
		s.callers.metrics.retries.WithLabelValues("service").Inc()
		avoid = append(avoid, server.Name)
	}
}

// mayRepeat reports whether a failed request may be sent to another server.
// It takes a retry from the budget, unless the attempt has taken it.
func (s *serviceRunner) mayRepeat(sc *serviceCall, err error) bool {
	if savoryverdict.Of(err) != savoryverdict.NotRun && !sc.route.Idempotent {
		return false
	}
	return errors.Is(err, errHeaderLate) || s.callers.tables.allowRetry(s.callers.now())
}

// choose selects a server and counts the request as sent to it.
func (s *serviceRunner) choose(sc *serviceCall, avoid []string) (*savoryworld.BackendServer, error) {
	var choice savorychain.ServiceChoice
	var err error
	now := s.callers.now()
	s.callers.tables.chains.with(func(t *savorychain.Table) {
		choice, err = t.ChooseService(sc.route.Service, avoid, now)
		if err == nil {
			t.RecordServiceSent(choice.Server.Name)
		}
	})
	if err != nil {
		return nil, noServerError(sc.route.Service, err)
	}
	runnerUp := ""
	if choice.RunnerUp != nil {
		runnerUp = choice.RunnerUp.Name
	}
	sc.log.WithFields(log.Fields{
		"server": choice.Server.Name, "runnerUp": runnerUp, "avoided": len(avoid), "reason": "fewest requests in flight",
	}).Info("service server chosen")
	return choice.Server, nil
}

// noServerError returns the refusal of a request after an error of ChooseService.
func noServerError(service string, err error) error {
	if limited := (*savorychain.LimitedError)(nil); errors.As(err, &limited) {
		return limitedError(limited)
	}
	failure := savoryverdict.Unavailable("NoServer", noServerRetryAfter, "no server of service %s is available", service)
	failure.Err = err
	return failure
}

// sendTo sends the request to one server. Only the first attempt of an
// idempotent request uses a reused connection, because such a connection may
// have failed unnoticed. An attempt of an idempotent request that has not
// received the response header within 1/maxServiceAttempts of the route timeout
// is given up if another one is allowed. The last one may take the whole
// timeout: a silent server may go on.
func (s *serviceRunner) sendTo(ctx context.Context, sc *serviceCall, server *savoryworld.BackendServer, try int) (*serviceResponse, error) {
	caller := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	finished := func() {
		cancel(nil)
		s.callers.tables.chains.with(func(t *savorychain.Table) { t.RecordServiceFinished(server.Name) })
	}
	req, err := s.request(ctx, sc, server)
	if err != nil {
		finished()
		return nil, savoryverdict.Invalid("Path", "%v", err)
	}
	transport := s.fresh
	if sc.route.Idempotent {
		headerTimer := time.AfterFunc(routeTimeout(sc.route)/maxServiceAttempts, func() {
			if try < maxServiceAttempts && s.callers.tables.allowRetry(s.callers.now()) {
				cancel(errHeaderLate)
			}
		})
		defer headerTimer.Stop()
		if try == 1 {
			transport = s.pooled
		}
	}
	sentAt := s.callers.now()
	resp, err := transport.RoundTrip(req) //nolint:bodyclose // closed by serviceAnswer.close
	if err != nil {
		if errors.Is(context.Cause(ctx), errHeaderLate) {
			err = errHeaderLate
		}
		finished()
		s.recordServerFailure(caller, server.Name)
		return nil, &savoryverdict.Error{
			Verdict: savoryverdict.OfDial(err), Status: http.StatusBadGateway, Code: "BackendServerFailed",
			Message: "backend server " + server.Name + " did not respond", Err: err,
		}
	}
	s.callers.tables.chains.with(func(t *savorychain.Table) { t.RecordProgress(server.Name) })
	s.observeNotice(server.Name, sentAt, resp)
	return &serviceResponse{resp: resp, end: finished}, nil
}

// recordServerFailure records a failure of the server, except if the caller
// canceled the request.
func (s *serviceRunner) recordServerFailure(ctx context.Context, server string) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	now := s.callers.now()
	s.callers.tables.chains.with(func(t *savorychain.Table) { t.RecordFailure(server, now) })
}

func (s *serviceRunner) request(ctx context.Context, sc *serviceCall, server *savoryworld.BackendServer) (*http.Request, error) {
	// The body is never nil and has no GetBody: otherwise http.Transport
	// resends some requests by itself.
	body := onceBody{sc.body.Reader()}
	req, err := http.NewRequestWithContext(ctx, sc.method, "http://"+server.Address.String()+sc.target, body)
	if err != nil {
		return nil, err
	}
	req.Header = sc.header.Clone()
	if sc.body.Len() > 0 {
		req.ContentLength = sc.body.Len()
	}
	return req, nil
}

// requestHeader returns the header to send to the server. It does not include
// the customer's key.
func (s *serviceRunner) requestHeader(r *http.Request, cl *call) http.Header {
	header := make(http.Header)
	copyHeader(header, r.Header)
	header.Del("Authorization")
	header.Del("Expect")
	header.Set(headerRequestID, cl.id)
	header.Set(headerCustomer, cl.customer.Name)
	return header
}

// forward copies a server's response to the caller. If the response ends
// early, the caller's connection is closed.
func (s *serviceRunner) forward(w http.ResponseWriter, answer *serviceResponse) error {
	out, _ := w.(*responseWriter)
	copyHeader(w.Header(), answer.resp.Header)
	w.Header().Set(headerVerdict, string(savoryverdict.Ran))
	if answer.resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(answer.resp.ContentLength, 10))
	}
	w.WriteHeader(answer.resp.StatusCode)
	if err := answer.copyTo(out); err != nil {
		out.truncated = true
		return &savoryverdict.Error{
			Verdict: savoryverdict.MayHaveRun, Status: http.StatusBadGateway, Code: "AnswerBroken",
			Message: "the response of the backend server ended early", Err: err,
		}
	}
	return nil
}

// replay writes a recorded answer.
func replay(w http.ResponseWriter, answer *savoryclaim.Answer) error {
	copyHeader(w.Header(), answer.Header)
	w.Header().Set(headerReplayed, "true")
	w.Header().Set(headerVerdict, string(savoryverdict.Ran))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, err := w.Write(answer.Body)
	return err
}

func (s *serviceRunner) logClaim(sc *serviceCall, action savoryclaim.Action) {
	outcome := "sent"
	switch {
	case action.Err != nil:
		outcome = action.Err.Code
	case action.Replayed:
		outcome = "replayed"
	}
	s.callers.metrics.claims.WithLabelValues(outcome).Inc()
	sc.log.WithField("outcome", outcome).Info("idempotency key handled")
}

// readStart reads the body up to limit bytes. It reads one byte more to find
// out whether the body is complete.
func (a *serviceResponse) readStart(limit int) error {
	first, err := io.ReadAll(io.LimitReader(a.resp.Body, int64(limit)+1))
	if err != nil {
		return err
	}
	a.bodyStart = first
	a.bodyComplete = len(first) <= limit
	return nil
}

// copyTo copies the body to w and flushes each part when it is received.
func (a *serviceResponse) copyTo(w *responseWriter) error {
	if len(a.bodyStart) > 0 {
		if _, err := w.Write(a.bodyStart); err != nil {
			return err
		}
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			if err := w.flush(); err != nil {
				return err
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

func (a *serviceResponse) close() {
	_ = a.resp.Body.Close()
	a.end()
}

// onceBody is a request body that the transport cannot rewind.
type onceBody struct{ io.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }

// idempotencyKey returns the request's idempotency key, or an empty string if
// it has none.
func idempotencyKey(r *http.Request, route *savoryworld.Route) (string, error) {
	values := r.Header.Values(headerKey)
	switch {
	case len(values) > 1:
		return "", savoryverdict.Invalid(headerKey, "is given %d times", len(values))
	case len(values) == 0 && route.KeyRequired:
		return "", savoryverdict.Invalid(headerKey, "is required by route %s", route.Name)
	case len(values) == 0:
		return "", nil
	}
	if err := savoryclaim.CheckKey(values[0]); err != nil {
		return "", savoryverdict.Invalid(headerKey, "%v", err)
	}
	return values[0], nil
}

func routeTimeout(route *savoryworld.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout.AsDuration()
	}
	return defaultServiceTimeout
}
