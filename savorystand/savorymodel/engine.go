package savorymodel

// This file defines Engine, which serves a range of layers.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// maxRequestBytes bounds one request.
	maxRequestBytes = 1 << 20
	// maxCachedRequests bounds the number of requests whose state is cached.
	maxCachedRequests = 1024
	// tokensPerLoadReport is the number of tokens between two load reports.
	tokensPerLoadReport = 8
)

// Engine is the stand-in. Its exported fields are set before its first use.
type Engine struct {
	Name        string
	Accelerator savoryworld.Accelerator
	// InitialAssignment is what the engine holds at first.
	InitialAssignment savoryengine.Assignment
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// LoadTime is how long it takes to load weights for an order.
	LoadTime time.Duration

	mu           sync.Mutex
	assignment   savoryengine.Assignment
	started      bool
	highestFence int64
	orders       int
	loading      bool
	leaving      bool
	faults       Faults
	batch        *batch
	cachedTokens map[string]int
	running      int
	cancels      map[string]context.CancelFunc
	tokens       int64
	client       http.Client
}

// Faults are the faults that are switched on.
type Faults struct {
	// AbortConnections cuts all connections off.
	AbortConnections bool
	// Hang stops all progress while connections stay open.
	Hang bool
	// Delay is added to each step.
	Delay time.Duration
	// SkipLastLayer leaves out the last layer, unsaid.
	SkipLastLayer bool
	// DuplicateTokens sends each token twice.
	DuplicateTokens bool
	// WrongRequestID answers with another request's ID.
	WrongRequestID bool
	// EndStreamEarly ends a stream before the last token.
	EndStreamEarly bool
}

// SetFaults replaces the faults that are switched on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving makes the engine refuse new work, or take it again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Tokens returns the number of tokens that the engine has run, prompts too.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Orders returns the number of orders carried out.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// Assignment returns what the engine holds.
func (e *Engine) Assignment() savoryengine.Assignment {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.assignment
}

// Handler serves the engine's interface.
func (e *Engine) Handler() http.Handler {
	e.mu.Lock()
	e.start()
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+savoryengine.PathRun, e.serveRun)
	mux.HandleFunc("POST "+savoryengine.PathStep, e.serveStep)
	mux.HandleFunc("POST "+savoryengine.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+savoryengine.PathStatus, e.serveStatus)
	mux.HandleFunc("POST "+savoryengine.PathOrder, e.serveOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := e.currentFaults()
		if faults.AbortConnections {
			panic(http.ErrAbortHandler)
		}
		if faults.Hang {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) start() {
	if e.started {
		return
	}
	e.started = true
	e.assignment = e.InitialAssignment
	e.cachedTokens = make(map[string]int)
	e.cancels = make(map[string]context.CancelFunc)
	e.batch = &batch{accelerator: e.Accelerator, layers: e.InitialAssignment.Layers.Count()}
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// serveRun streams the tokens of one attempt.
func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	var run savoryengine.Run
	if !readJSON(w, r, &run) {
		return
	}
	if fault := e.checkRun(&run); fault != nil {
		writeFault(w, fault)
		return
	}
	ctx, end := e.beginRun(r.Context(), run.Request, run.Attempt)
	defer end()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for index := len(run.Emitted); index < run.MaxTokens; index++ {
		event := e.nextToken(ctx, &run, index)
		if event == nil {
			panic(http.ErrAbortHandler)
		}
		if e.writeEvent(w, event) != nil || event.Fault != nil {
			return
		}
		if event.Token.Finish != "" || e.currentFaults().EndStreamEarly {
			return
		}
		run.Emitted = append(run.Emitted, event.Token.Text)
	}
}

// writeEvent sends an event, twice if that fault is switched on.
func (e *Engine) writeEvent(w http.ResponseWriter, event *savoryengine.Event) error {
	if err := savoryengine.EncodeEvent(w, *event); err != nil {
		return err
	}
	if e.currentFaults().DuplicateTokens {
		if err := savoryengine.EncodeEvent(w, *event); err != nil {
			return err
		}
	}
	flush(w)
	return nil
}

// nextToken runs one token through the chain. It returns nil if the engine
// died meanwhile.
func (e *Engine) nextToken(ctx context.Context, run *savoryengine.Run, index int) *savoryengine.Event {
	step := &savoryengine.Step{
		Request: run.Request, Attempt: run.Attempt, Index: index,
		Model: run.Model, Version: run.Version, Layers: run.Layers, Chain: run.Chain,
		Activation: Embed(run.Model, run.Version, run.Prompt, run.Emitted),
		Tokens:     CountTokens(run.Prompt) + index,
	}
	done, fault := e.runStep(ctx, step)
	if fault != nil {
		return &savoryengine.Event{Fault: fault}
	}
	faults := e.currentFaults()
	if faults.AbortConnections {
		return nil
	}
	token := &savoryengine.Token{
		Request: run.Request, Attempt: run.Attempt, Index: index,
		Text: Word(done.Activation), Ran: done.Ran, Loads: done.Loads,
	}
	if slices.Contains(run.Sampling.Stop, strings.TrimSpace(token.Text)) {
		token.Finish = "stop"
	} else if index == run.MaxTokens-1 {
		token.Finish = "length"
	}
	if faults.WrongRequestID {
		token.Request += "-other"
	}
	return &savoryengine.Event{Token: token}
}

// runStep runs the engine's own layers and hands the activation on.
func (e *Engine) runStep(ctx context.Context, step *savoryengine.Step) (*savoryengine.Step, *savoryengine.Error) {
	hop := step.Chain[step.Position]
	if fault := e.checkAssignment(step.Model, step.Version, hop.Layers); fault != nil {
		return nil, fault
	}
	if err := e.compute(ctx, step); err != nil {
		return nil, e.fault(savoryverdict.MayHaveRun, err.Error())
	}
	layers := hop.Layers
	if e.currentFaults().SkipLastLayer {
		layers.To--
	}
	step.Activation = Apply(step.Activation, layers)
	step.Ran = append(step.Ran, savoryengine.ExecutedHop{Server: e.Name, Layers: layers})
	if step.Index%tokensPerLoadReport == 0 {
		step.Loads = append(step.Loads, e.load())
	}
	if step.Position == len(step.Chain)-1 {
		return step, nil
	}
	step.Position++
	return e.forward(ctx, step)
}

// compute takes part in the batch with the tokens that are not cached.
func (e *Engine) compute(ctx context.Context, step *savoryengine.Step) error {
	e.mu.Lock()
	tokens := max(1, step.Tokens-e.cachedTokens[step.Request])
	if len(e.cachedTokens) >= maxCachedRequests {
		clear(e.cachedTokens)
	}
	e.cachedTokens[step.Request] = step.Tokens
	e.tokens += int64(tokens)
	delay, hang := e.faults.Delay, e.faults.Hang
	e.mu.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return e.batch.run(ctx, tokens)
}

// forward hands the step to the next stage.
func (e *Engine) forward(ctx context.Context, step *savoryengine.Step) (*savoryengine.Step, *savoryengine.Error) {
	next := step.Chain[step.Position]
	failed := func(err error) *savoryengine.Error {
		return &savoryengine.Error{Verdict: savoryverdict.MayHaveRun, Server: next.Server, Message: err.Error()}
	}
	body, err := json.Marshal(step)
	if err != nil {
		return nil, failed(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+next.Address.String()+savoryengine.PathStep, bytes.NewReader(body))
	if err != nil {
		return nil, failed(err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, failed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		fault := new(savoryengine.Error)
		if err := json.NewDecoder(resp.Body).Decode(fault); err != nil {
			return nil, failed(err)
		}
		// This stage has run, whatever the next one says of itself.
		fault.Verdict = savoryverdict.MayHaveRun
		return nil, fault
	}
	done := new(savoryengine.Step)
	if err := json.NewDecoder(resp.Body).Decode(done); err != nil {
		return nil, failed(err)
	}
	return done, nil
}

func (e *Engine) serveStep(w http.ResponseWriter, r *http.Request) {
	step := new(savoryengine.Step)
	if !readJSON(w, r, step) {
		return
	}
	if step.Position <= 0 || step.Position >= len(step.Chain) {
		http.Error(w, "Position is not in the chain", http.StatusBadRequest)
		return
	}
	if fault := e.checkStep(step); fault != nil {
		writeFault(w, fault)
		return
	}
	done, fault := e.runStep(r.Context(), step)
	if e.currentFaults().AbortConnections {
		panic(http.ErrAbortHandler)
	}
	if fault != nil {
		writeFault(w, fault)
		return
	}
	writeJSON(w, done)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var cancel savoryengine.Cancel
	if !readJSON(w, r, &cancel) {
		return
	}
	e.mu.Lock()
	if stop := e.cancels[attemptKey(cancel.Request, cancel.Attempt)]; stop != nil {
		stop()
	}
	e.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	load := e.load()
	e.mu.Lock()
	status := savoryengine.Status{
		Server: e.Name, Holds: e.assignment, Leaving: e.leaving, Loading: e.loading, Load: load, Fence: e.highestFence,
	}
	e.mu.Unlock()
	writeJSON(w, status)
}

// serveOrder carries an order out. An engine that checks fencing numbers
// refuses one that is lower than the highest seen.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order savoryengine.Order
	if !readJSON(w, r, &order) {
		return
	}
	fence, err := strconv.ParseInt(r.Header.Get(savoryengine.HeaderFence), 10, 64)
	if err != nil {
		http.Error(w, savoryengine.HeaderFence+" is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && fence < e.highestFence {
		writeFault(w, e.fault(savoryverdict.NotRun, fmt.Sprintf("fencing number %d is older than %d", fence, e.highestFence)))
		return
	}
	if e.ChecksFence {
		e.highestFence = fence
	}
	if order.Wanted != e.assignment {
		e.orders++
		e.loading = true
		time.AfterFunc(e.LoadTime, func() { e.finishLoading(order.Wanted) })
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) finishLoading(wanted savoryengine.Assignment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.assignment = wanted
	e.batch = &batch{accelerator: e.Accelerator, layers: wanted.Layers.Count()}
}

// checkRun returns the fault for a run that the engine does not begin.
func (e *Engine) checkRun(run *savoryengine.Run) *savoryengine.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		fault := e.fault(savoryverdict.NotRun, "the engine is leaving")
		fault.Leaving = true
		return fault
	}
	if len(run.Chain) == 0 || run.Request == "" {
		return e.fault(savoryverdict.NotRun, "Chain or Request is empty")
	}
	return nil
}

// checkStep returns the fault for a step of a request that a leaving engine
// does not know.
func (e *Engine) checkStep(step *savoryengine.Step) *savoryengine.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.cachedTokens[step.Request]; known || !e.leaving {
		return nil
	}
	fault := e.fault(savoryverdict.NotRun, "the engine is leaving")
	fault.Leaving = true
	return fault
}

func (e *Engine) checkAssignment(model, version string, layers savoryworld.LayerRange) *savoryengine.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.assignment.Model != model || e.assignment.Version != version || e.assignment.Layers != layers {
		return e.fault(savoryverdict.NotRun, fmt.Sprintf("holds %s %s layers %s", e.assignment.Model, e.assignment.Version, e.assignment.Layers))
	}
	return nil
}

// beginRun counts a run and makes it cancelable.
func (e *Engine) beginRun(ctx context.Context, request string, attempt int) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	key := attemptKey(request, attempt)
	e.mu.Lock()
	e.running++
	e.cancels[key] = cancel
	e.mu.Unlock()
	return ctx, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		delete(e.cancels, key)
	}
}

func (e *Engine) load() savoryengine.Load {
	waiting, tokens := e.batch.queued()
	e.mu.Lock()
	defer e.mu.Unlock()
	return savoryengine.Load{Server: e.Name, At: time.Now(), Running: max(e.running, waiting), Queued: tokens}
}

func (e *Engine) fault(verdict savoryverdict.Verdict, message string) *savoryengine.Error {
	return &savoryengine.Error{Verdict: verdict, Server: e.Name, Message: message}
}

func attemptKey(request string, attempt int) string {
	return request + "#" + strconv.Itoa(attempt)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeFault(w http.ResponseWriter, fault *savoryengine.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(fault)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
