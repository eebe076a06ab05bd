package savorynode

// This file defines pipelineRunner, which serves completions on chains of
// engines and continues a request on another chain after a failure.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorystream"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// maxAttempts bounds the attempts of a request whose answer has not begun,
	// and the attempts of a begun answer that follow one another at once. Each
	// attempt runs on one chain.
	maxAttempts = 6
	// minRetryDelay and maxRetryDelay bound the random delay before a further
	// attempt of a begun answer. Answers that stall together then do not
	// start again together.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// maxAnswerSilence is the time without a token after which a begun answer
	// ends. Callers state no deadline.
	maxAnswerSilence = 30 * time.Second
	// stallFactor is the number of between-token times without a token after
	// which a chain is considered stalled.
	stallFactor = 5
	// minStallTimeout is the lower bound of the stall timeout.
	minStallTimeout = 300 * time.Millisecond
	// firstStallFactor is the number of estimated first-token times, in
	// addition to minStallTimeout, after which an attempt without any token
	// is considered stalled.
	firstStallFactor = 4
	// maxFirstStallFactor bounds that timeout, as a multiple of the larger of
	// the estimate and the first-token time of the pipeline.
	maxFirstStallFactor = 2
	// probeTimeout bounds the probe of a server of a stalled chain, and the
	// call that cancels an attempt.
	probeTimeout = 300 * time.Millisecond
	// minOverloadRetryAfter is the minimum Retry-After time of an overloaded
	// or failed pipeline.
	minOverloadRetryAfter = 500 * time.Millisecond
)

// errStalled means that a chain made no progress within the stall timeout.
var errStalled = errors.New("the chain made no progress before the stall timeout")

// errInvalidToken means that a chain broke the protocol.
var errInvalidToken = errors.New("invalid token from the chain")

// errCallerLeft means that writing to the caller failed.
var errCallerLeft = errors.New("the caller left")

// pipelineRunner runs completions on the chains that savorychain chooses and
// assembles the answer with savorystream.
type pipelineRunner struct {
	callers *callers
	engines *savoryengine.Client
	// probes opens a new connection for each call, so that a dead connection
	// is not taken for a failed server.
	probes *savoryengine.Client
	gossip *gossiper
	pool   *workerPool
}

// generation is the state of one completion request while it is served.
type generation struct {
	*call
	c        *completion
	sequence *savorystream.Sequence
	// onToken sends an accepted token to the caller.
	onToken func(*savoryengine.Token) error

	// avoid lists the servers that failed, stalledServers the servers of
	// stalled chains.
	avoid          []string
	stalledServers []string
	// stateHolders lists the servers of the failed attempt that did not fail
	// themselves.
	stateHolders []string
	admission    *admission
	// mayHaveRun means that an attempt may have run.
	mayHaveRun bool
	// lastVerdict is the verdict of the last attempt, and attemptTokens the number of its
	// tokens. endsInRow is the number of attempts since the answer last went on during which
	// an engine ended.
	lastVerdict   savoryverdict.Verdict
	attemptTokens int
	endsInRow     int
	// trial means that the request tries a quarantined beginning.
	trial        bool
	startedAt    time.Time
	lastTokenAt  time.Time
	failedAt     time.Time
	finishReason string
}

func (p *pipelineRunner) serveCompletion(w http.ResponseWriter, r *http.Request, cl *call) error {
	return p.serve(w, r, cl, false)
}

func (p *pipelineRunner) serveChat(w http.ResponseWriter, r *http.Request, cl *call) error {
	return p.serve(w, r, cl, true)
}

// serve serves one completion request.
func (p *pipelineRunner) serve(w http.ResponseWriter, r *http.Request, cl *call, chat bool) error {
	body, err := p.callers.readBody(w, r, cl)
	defer body.Release()
	if err != nil {
		return err
	}
	text, err := body.Join()
	if err != nil {
		return p.callers.refusal(err)
	}
	c, err := parseCompletion(text, chat, cl)
	if err != nil {
		return err
	}
	if !slices.Contains(cl.customer.Pipelines, c.pipeline.Name) {
		return notAllowed("model", "the customer may not use model %s", c.pipeline.Name)
	}
	now := p.callers.now()
	admitted, err := p.callers.tables.admitContract(cl.customer, c.promptTokens, c.maxTokens, now)
	if err != nil {
		return err
	}
	g := &generation{
		call: cl, c: c, startedAt: now, lastTokenAt: now, admission: admitted,
		sequence: &savorystream.Sequence{Request: cl.id, Layers: c.pipeline.Layers},
	}
	defer func() { admitted.end(g.sequence.Finished()) }()
	builder := &responseBuilder{id: cl.id, created: now.Unix(), c: c}
	if c.stream {
		return p.stream(w, r, g, builder)
	}
	return p.collect(w, r, g, builder)
}

// collect serves a response that is not streamed.
func (p *pipelineRunner) collect(w http.ResponseWriter, r *http.Request, g *generation, builder *responseBuilder) error {
	g.onToken = func(*savoryengine.Token) error { return nil }
	if err := p.generate(r.Context(), g); err != nil {
		return err
	}
	tokens := g.sequence.Emitted()
	w.Header().Set(headerVerdict, string(savoryverdict.Ran))
	writeJSON(w, http.StatusOK, builder.response(strings.Join(tokens, ""), g.finishReason, len(tokens)))
	return nil
}

// stream serves a response as server-sent events. The header is sent with the
// first token, so that an earlier failure has its own status. A later failure
// is sent as an error event, without the final [DONE] event.
func (p *pipelineRunner) stream(w http.ResponseWriter, r *http.Request, g *generation, builder *responseBuilder) error {
	out, _ := w.(*responseWriter)
	g.onToken = func(t *savoryengine.Token) error {
		first := !out.started
		if first {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-cache")
			w.WriteHeader(http.StatusOK)
		}
		if err := writeEvent(w, builder.chunk(t.Text, t.Finish, first)); err != nil {
			return err
		}
		return out.flush()
	}
	if err := p.generate(r.Context(), g); err != nil {
		if out.started {
			_ = writeEvent(w, newErrorBody(savoryverdict.Wrap(err)))
			_ = out.flush()
			out.truncated = true
		}
		return err
	}
	if g.c.usage {
		if err := writeEvent(w, builder.usageChunk(len(g.sequence.Emitted()))); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprint(w, "data: [DONE]\n\n"); err != nil {
		return err
	}
	return out.flush()
}

// generate runs attempts until the answer is complete or no further attempt
// is allowed.
func (p *pipelineRunner) generate(ctx context.Context, g *generation) error {
	for attempt := 1; ; attempt++ {
		if err := p.admitPrompt(ctx, g); err != nil {
			if callerLeft(ctx) {
				return callerLeftError(err)
			}
			return p.failureError(g, err)
		}
		choice, err := p.choose(g, attempt)
		if err != nil {
			p.returnTrial(g)
		}
		if err != nil && !g.begun() {
			return p.failureError(g, err)
		}
		if err == nil {
			err = p.runAttempt(ctx, g, choice, attempt)
			p.gossip.endAttempt(g.c)
			if err == nil {
				p.gossip.recordAnswerProgress(g.c)
				return nil
			}
			if errors.Is(err, errCallerLeft) || callerLeft(ctx) {
				return callerLeftError(err)
			}
			p.recordFailure(g, choice, err)
			if !p.recordEnded(ctx, g, choice.Chain) {
				return p.failureError(g, err)
			}
		}
		if !p.awaitRetry(ctx, g, attempt, err) {
			if callerLeft(ctx) {
				return callerLeftError(err)
			}
			return p.failureError(g, err)
		}
		p.callers.metrics.retries.WithLabelValues("pipeline").Inc()
	}
}

// awaitRetry reports whether the request gets another attempt after err, and
// waits until it may begin. A begun answer cannot be refused any more, so it
// does not depend on the retry budget: if the budget is used up or there is
// no chain, it waits.
func (p *pipelineRunner) awaitRetry(ctx context.Context, g *generation, attempt int, err error) bool {
	if !g.begun() || errors.Is(err, errInvalidToken) {
		return p.retryNow(attempt)
	}
	if p.callers.now().Sub(g.lastTokenAt) > maxAnswerSilence {
		return false
	}
	// The stall timer of a begun answer has taken a retry or has waited.
	if errors.Is(err, errStalled) {
		return true
	}
	if !errors.Is(err, savorychain.ErrNoChain) && p.retryNow(attempt) {
		return true
	}
	return sleepContext(ctx, retryDelay())
}

// retryNow reports whether a request may be sent again at once. It takes a
// retry from the budget.
func (p *pipelineRunner) retryNow(attempt int) bool {
	return attempt < maxAttempts && p.callers.tables.allowRetry(p.callers.now())
}

func retryDelay() time.Duration { return minRetryDelay + rand.N(maxRetryDelay-minRetryDelay) }

// choose selects the chain for the next attempt.
func (p *pipelineRunner) choose(g *generation, attempt int) (savorychain.Choice, error) {
	now := p.callers.now()
	emitted := len(g.sequence.Emitted())
	req := savorychain.Request{
		Pipeline:          g.c.pipeline,
		PromptTokens:      g.c.promptTokens + emitted,
		AnswerTokens:      g.c.maxTokens - emitted,
		Prefix:            g.c.prefix,
		PrefixTokens:      g.c.prefixTokens,
		Avoid:             g.avoid,
		StalledServers:    g.stalledServers,
		StateHolders:      g.stateHolders,
		AdmissionFraction: g.admission.admissionFraction,
		Admitted:          attempt > 1,
	}
	choice, err := p.callers.tables.chooseChain(req, now)
	if err != nil {
		return choice, err
	}
	g.log.WithFields(log.Fields{
		"pipeline": g.c.pipeline.Name, "chain": savorychain.ServerNames(choice.Chain), "runnerUp": savorychain.ServerNames(choice.RunnerUp),
		"firstToken": choice.FirstToken, "betweenTokens": choice.BetweenTokens, "looked": choice.Considered,
		"from": emitted, "avoided": strings.Join(g.avoid, ","), "doubted": strings.Join(g.stalledServers, ","), "reason": "least estimated time",
	}).Info("chain chosen")
	return choice, nil
}

// runAttempt runs one attempt on a chain. It returns nil if the answer is
// complete.
func (p *pipelineRunner) runAttempt(ctx context.Context, g *generation, choice savorychain.Choice, attempt int) error {
	tokens := g.c.promptTokens + len(g.sequence.Emitted())
	flight := p.callers.tables.recordSent(choice, tokens, p.callers.now())
	if flight == nil {
		return &savoryengine.Error{Verdict: savoryverdict.NotRun, Message: "a server of the chain is leaving"}
	}
	defer func() {
		p.callers.tables.chains.with(func(t *savorychain.Table) { t.RecordFinished(flight) })
	}()
	number := g.sequence.BeginAttempt(choice.Chain)
	g.attemptTokens = 0
	run := &savoryengine.Run{
		Request: g.id, Attempt: number, Model: g.c.pipeline.Model, Version: g.c.pipeline.Version,
		Layers: g.c.pipeline.Layers, Chain: choice.Chain, Prompt: g.c.prompt,
		Emitted: slices.Clone(g.sequence.Emitted()), MaxTokens: g.c.maxTokens,
		Priority: g.priority(), Sampling: g.c.sampling,
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := &stallTimer{
		begun: g.begun(), retryNow: func() bool { return p.retryNow(attempt) }, stalled: func() { cancel(errStalled) },
	}
	stall.start(p.firstTokenTimeout(g, choice))
	defer stall.stop()
	var rejected error
	err := p.engines.Run(ctx, run, func(e savoryengine.Event) bool {
		p.callers.tables.chains.with(func(t *savorychain.Table) { t.RecordPromptDone(flight) })
		// A caller that reads slowly is no sign of a stalled chain.
		stall.stop()
		rejected = p.receiveToken(g, e.Token)
		stall.reset(p.stallTimeout(g, choice))
		return rejected == nil
	})
	switch {
	case rejected != nil:
		err = rejected
	case errors.Is(context.Cause(ctx), errStalled):
		err = errStalled
	}
	if err == nil && !g.sequence.Finished() {
		err = errors.New("the engine ended the answer before the last token")
	}
	if err != nil {
		p.cancelAttempt(choice.Chain[0], savoryengine.Cancel{Request: g.id, Attempt: number})
	}
	return err
}

// receiveToken checks one token and sends it to the caller if it is accepted.
func (p *pipelineRunner) receiveToken(g *generation, t *savoryengine.Token) error {
	outcome, err := g.sequence.Receive(t)
	switch outcome {
	case savorystream.Drop:
		p.callers.metrics.tokens.WithLabelValues("dropped").Inc()
		return nil
	case savorystream.Reject:
		p.callers.metrics.tokens.WithLabelValues("rejected").Inc()
		g.log.WithError(err).Error("token rejected")
		return fmt.Errorf("%w: %w", errInvalidToken, err)
	default:
	}
	if g.attemptTokens++; g.attemptTokens == progressTokens {
		p.gossip.recordAnswerProgress(g.c)
	}
	g.admission.recordToken()
	p.observe(g, t)
	if err := g.onToken(t); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}

// observe records the timing and the load reports of an accepted token.
func (p *pipelineRunner) observe(g *generation, t *savoryengine.Token) {
	m := p.callers.metrics
	now := p.callers.now()
	m.tokens.WithLabelValues("accepted").Inc()
	if t.Index == 0 {
		m.observe(m.firstToken, now.Sub(g.startedAt))
	} else {
		m.observe(m.betweenTokens, now.Sub(g.lastTokenAt))
	}
	if !g.failedAt.IsZero() {
		m.observe(m.recovery, now.Sub(g.lastTokenAt))
		g.log.WithFields(log.Fields{"index": t.Index, "after": now.Sub(g.lastTokenAt), "sinceDetected": now.Sub(g.failedAt)}).Info("answer resumed")
		g.failedAt = time.Time{}
	}
	g.lastTokenAt = now
	g.finishReason = t.Finish
	var changes []savorynotice.Change
	defer func() { logNotices(p.callers.log, changes) }()
	p.callers.tables.chains.with(func(table *savorychain.Table) {
		for _, load := range t.Loads {
			table.RecordLoad(load, now)
			changes = append(changes, table.Observe(load.Server, now, now, load.Notice())...)
		}
		for _, stage := range t.Ran {
			table.RecordProgress(stage.Server)
		}
		if t.Index == 0 {
			table.RecordPrefix(g.c.prefix, g.sequence.Chain())
			table.RecordFirstToken(now.Sub(g.startedAt), g.c.pipeline.FirstToken.AsDuration())
		}
	})
}

// recordFailure records which server failed an attempt. If the error names a
// server, the server is avoided by this request and suspected by the entry.
// If the error names no server, as after a stall, this request avoids all
// servers of the chain, and each is probed on a new connection. Only servers
// that fail the probe are suspected.
func (p *pipelineRunner) recordFailure(g *generation, choice savorychain.Choice, err error) {
	now := p.callers.now()
	if g.failedAt.IsZero() {
		g.failedAt = now
	}
	var fault *savoryengine.Error
	server := ""
	if errors.As(err, &fault) {
		server = fault.Server
	}
	g.lastVerdict = savoryverdict.MayHaveRun
	if fault != nil {
		g.lastVerdict = fault.Verdict
	}
	if g.lastVerdict != savoryverdict.NotRun {
		g.mayHaveRun = true
	}
	g.log.WithError(err).WithFields(log.Fields{
		"chain": savorychain.ServerNames(choice.Chain), "server": server, "emitted": len(g.sequence.Emitted()),
	}).Warn("attempt failed")
	if fault != nil && fault.PauseSeconds != 0 {
		recordPause(p.callers, choice.Chain[0].Server, fault.PauseSeconds)
	}
	if fault != nil && fault.Leaving {
		p.gossip.markLeaving(server)
	}
	if server != "" {
		g.avoid = appendMissing(g.avoid, server)
		g.stateHolders = otherServers(choice.Chain, server)
		p.callers.tables.chains.with(func(t *savorychain.Table) { t.RecordFailure(server, now) })
		return
	}
	g.stateHolders = nil
	for _, hop := range choice.Chain {
		g.stalledServers = appendMissing(g.stalledServers, hop.Server)
		p.pool.submit(func() { p.probe(hop) })
	}
}

// probe reads the status of a server of a stalled chain on a new connection,
// and records a failure if the call fails.
func (p *pipelineRunner) probe(hop savoryengine.Hop) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if _, err := p.probes.Status(ctx, hop.Address); err == nil {
		return
	}
	now := p.callers.now()
	p.callers.tables.chains.with(func(t *savorychain.Table) { t.RecordFailure(hop.Server, now) })
	p.callers.log.WithField("server", hop.Server).Warn("backend server failed a probe")
}

// cancelAttempt sends a cancellation of an attempt to the first engine of the
// chain, on a new connection.
func (p *pipelineRunner) cancelAttempt(first savoryengine.Hop, cancel savoryengine.Cancel) {
	p.pool.submit(func() {
		ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
		defer stop()
		_ = p.probes.Cancel(ctx, first.Address, cancel)
	})
}

// firstTokenTimeout returns the time that an attempt may take to its first
// token.
func (p *pipelineRunner) firstTokenTimeout(g *generation, choice savorychain.Choice) time.Duration {
	bound := maxFirstStallFactor * max(g.c.pipeline.FirstToken.AsDuration(), choice.FirstToken)
	return min(bound, minStallTimeout+firstStallFactor*choice.FirstToken)
}

// begun reports whether a token of the answer was received.
func (g *generation) begun() bool { return len(g.sequence.Emitted()) > 0 }

// priority returns the priority at the engines: the priority of the contract,
// less one while the customer exceeds its fair share.
func (g *generation) priority() int {
	if g.admission.admissionFraction < 1 {
		return g.customer.Contract.Priority - 1
	}
	return g.customer.Contract.Priority
}

// stallTimeout returns the time that a chain may take between two tokens.
func (p *pipelineRunner) stallTimeout(g *generation, choice savorychain.Choice) time.Duration {
	return max(minStallTimeout, stallFactor*max(g.c.pipeline.BetweenTokens.AsDuration(), choice.BetweenTokens))
}

// otherServers returns the names of the servers of a chain except excluded.
func otherServers(chain []savoryengine.Hop, excluded string) []string {
	var names []string
	for _, hop := range chain {
		if hop.Server != excluded {
			names = append(names, hop.Server)
		}
	}
	return names
}

func appendMissing(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// stallTimer calls stalled if it is not reset in time. An answer that has
// begun stays on its chain for a while if it may not be sent again at once: a
// silent engine may go on.
type stallTimer struct {
	begun    bool
	retryNow func() bool
	stalled  func()

	mu    sync.Mutex
	timer *time.Timer
	// extended means that the chain got more time since its last token.
	extended bool
	stopped  bool
}

func (s *stallTimer) start(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(d, s.expire)
}

// reset starts the time anew after a token.
func (s *stallTimer) reset(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.extended, s.stopped = true, false, false
	s.timer.Reset(d)
}

func (s *stallTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if s.begun && !s.extended && !s.retryNow() {
		s.extended = true
		s.timer.Reset(retryDelay())
		return
	}
	s.stalled()
}

func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
	s.stopped = true
}
