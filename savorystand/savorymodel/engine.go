package savorymodel

// This file defines Engine, the HTTP server for a range of layers, and its
// injected faults.

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
	// maxRequestBytes is the maximum number of body bytes read of a request.
	maxRequestBytes = 1 << 20
	// maxCachedRequests is the maximum number of requests whose state is cached.
	maxCachedRequests = 1024
	// tokensPerLoadReport is the number of tokens between two load reports of a
	// request.
	tokensPerLoadReport = 8
)

// Engine is an engine of the test model. Its exported fields are set before the
// first call of Handler.
type Engine struct {
	Name        string
	Accelerator savoryworld.Accelerator
	// InitialAssignment is the assignment before the first order.
	InitialAssignment savoryengine.Assignment
	// ChecksFence makes the engine reject orders whose fencing token is below the
	// highest one received.
	ChecksFence bool
	// LoadTime is the time between the acceptance of an order and the end of its
	// loading.
	LoadTime time.Duration

	mu         sync.Mutex
	assignment savoryengine.Assignment
	started    bool
	// highestFence is the highest fencing token received; it stays 0 if ChecksFence
	// is false.
	highestFence int64
	// orders is the number of orders accepted that changed the assignment.
	orders  int
	loading bool
	leaving bool
	faults  Faults
	batch   *batch
	// cachedTokens holds, by request, the number of tokens whose state is cached.
	cachedTokens map[string]int
	// running is the number of runs in flight.
	running int
	// cancels holds the cancel functions of the runs in flight by attempt key.
	cancels map[string]context.CancelFunc
	// tokens is the number of tokens run, including prompt tokens.
	tokens int64
	client http.Client
}

// Faults selects the faults that an engine injects. The zero value injects
// none.
type Faults struct {
	// AbortConnections aborts the connection of each call, and of a call in
	// progress at its next token.
	AbortConnections bool
	// Hang stops all progress and keeps connections open.
	Hang bool
	// Delay is added to each step.
	Delay time.Duration
	// SkipLastLayer skips the last of the engine's layers of each step, without a
	// fault. The field Ran has the layers that ran.
	SkipLastLayer bool
	// DuplicateTokens sends each event of a stream twice.
	DuplicateTokens bool
	// WrongRequestID sends tokens with the ID of another request.
	WrongRequestID bool
	// EndStreamEarly ends a stream after one token, without a finish reason.
	EndStreamEarly bool
	// EndOnPrompt sets AbortConnections when the engine has sent EndAfter tokens of an
	// answer on a prompt that contains this text, as an engine does whose process ends.
	EndOnPrompt string
	EndAfter    int
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving sets whether the engine is leaving. A leaving engine rejects runs,
// and steps of requests without cached state.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Ended reports whether AbortConnections is set.
func (e *Engine) Ended() bool { return e.currentFaults().AbortConnections }

// Tokens returns the number of tokens that the engine has run, including prompt
// tokens.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Orders returns the number of accepted orders that changed the assignment.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// Assignment returns the current assignment of the engine.
func (e *Engine) Assignment() savoryengine.Assignment {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.assignment
}

// Handler returns the HTTP handler for the engine's interface.
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

// start initializes the state on the first call. The caller holds e.mu.
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
	first := len(run.Emitted)
	for index := first; index < run.MaxTokens; index++ {
		if f := e.currentFaults(); f.EndOnPrompt != "" && index == first+f.EndAfter && strings.Contains(run.Prompt, f.EndOnPrompt) {
			e.SetFaults(Faults{AbortConnections: true})
			panic(http.ErrAbortHandler)
		}
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

// writeEvent sends an event, or sends it twice with the fault DuplicateTokens.
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

// nextToken runs one token through the chain. It returns nil if the fault
// AbortConnections is set when the step ends.
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

// runStep runs the engine's own hop of a step and forwards the step to the next
// hop, if there is one.
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

// compute runs the tokens of a step that are not cached, at least one, in the
// batch.
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

// forward sends a step to the next hop and returns its result.
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
		// The hop of this engine has run, whatever verdict the next hop reports.
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
		http.Error(w, "field Position is outside the range from 1 to the last index of Chain", http.StatusBadRequest)
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

// serveOrder carries out an order. With ChecksFence, it rejects an order whose
// fencing token is lower than the highest one received.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order savoryengine.Order
	if !readJSON(w, r, &order) {
		return
	}
	fence, err := strconv.ParseInt(r.Header.Get(savoryengine.HeaderFence), 10, 64)
	if err != nil {
		http.Error(w, savoryengine.HeaderFence+" header is not an integer", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && fence < e.highestFence {
		writeFault(w, e.fault(savoryverdict.NotRun, fmt.Sprintf("fencing token %d is lower than the highest token received, %d", fence, e.highestFence)))
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

// finishLoading puts the ordered assignment in effect.
func (e *Engine) finishLoading(wanted savoryengine.Assignment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.assignment = wanted
	e.batch = &batch{accelerator: e.Accelerator, layers: wanted.Layers.Count()}
}

// checkRun returns the fault of a run that the engine rejects, or nil.
func (e *Engine) checkRun(run *savoryengine.Run) *savoryengine.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		fault := e.fault(savoryverdict.NotRun, "the engine is leaving")
		fault.Leaving = true
		return fault
	}
	if len(run.Chain) == 0 || run.Request == "" {
		return e.fault(savoryverdict.NotRun, "field Chain or Request is empty")
	}
	return nil
}

// checkStep returns the fault of a step that the engine rejects, or nil. A
// leaving engine rejects the steps of requests without cached state.
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

// checkAssignment returns a fault unless the engine holds exactly the given
// layers of the model version.
func (e *Engine) checkAssignment(model, version string, layers savoryworld.LayerRange) *savoryengine.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.assignment.Model != model || e.assignment.Version != version || e.assignment.Layers != layers {
		return e.fault(savoryverdict.NotRun, fmt.Sprintf("engine holds model %s version %s layers %s", e.assignment.Model, e.assignment.Version, e.assignment.Layers))
	}
	return nil
}

// beginRun registers a run in flight. It returns a context that a cancel
// request ends, and a function that unregisters the run.
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

// load returns the current load report.
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
