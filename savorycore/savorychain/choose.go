package savorychain

// This file defines Choose, the decision for one request.

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryhash"
	"savorycart.example/savorycore/savoryworld"
)

// ErrNoChain says that no chain of usable engines covers all layers.
var ErrNoChain = errors.New("no chain of backend servers covers all layers")

// OverloadError says that no chain would give the first token in time.
type OverloadError struct {
	// FirstToken is the least estimated time to the first token.
	FirstToken time.Duration
	// Bound is the time that the pipeline allows.
	Bound time.Duration
}

var _ error = (*OverloadError)(nil)

// Error names both times.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("the first token would take %s, the pipeline allows %s", e.FirstToken, e.Bound)
}

// RetryAfter returns the time in which the queue falls back to the bound.
func (e *OverloadError) RetryAfter() time.Duration { return e.FirstToken - e.Bound }

// Request is what a choice depends on.
type Request struct {
	Pipeline *savoryworld.Pipeline
	// PromptTokens is the number of tokens to run before the first new one.
	PromptTokens int
	// AnswerTokens is the number of tokens that the answer is expected to have.
	AnswerTokens int
	// Prefix names the beginning of the prompt for caches; 0 for none.
	Prefix uint64
	// PrefixTokens is the number of prompt tokens that Prefix stands for.
	PrefixTokens int
	// Avoid lists servers that already failed this request.
	Avoid []string
	// StalledServers lists servers of chains that made no progress for this request; at
	// least one of each chain failed it.
	StalledServers []string
	// StateHolders lists servers that still hold the state of an earlier attempt; they
	// need not run the prompt again.
	StateHolders []string
	// AdmissionFraction is the part of the bound on the first token up to which the
	// request is admitted; 0 means all of it.
	AdmissionFraction float64
	// Admitted says that the request was admitted before; it is not refused for
	// lack of capacity any more.
	Admitted bool
}

func (r *Request) admissionFraction() float64 {
	if r.AdmissionFraction == 0 {
		return 1
	}
	return r.AdmissionFraction
}

// Choice is a chain with its estimates.
type Choice struct {
	Chain []savoryengine.Hop
	// FirstToken and BetweenTokens are the estimated times.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// RunnerUp is the second best chain seen; it may be empty.
	RunnerUp []savoryengine.Hop
	// Considered is the number of engines that were weighed.
	Considered int

	// arrivals is when the prompt is expected at each engine's queue.
	arrivals []time.Duration
}

// Servers returns the names of a chain's servers, joined by ">".
func Servers(chain []savoryengine.Hop) string {
	names := make([]string, len(chain))
	for i, hop := range chain {
		names[i] = hop.Server
	}
	return strings.Join(names, ">")
}

// partialChain is a partial chain that ends at one engine.
type partialChain struct {
	state    *serverState
	previous *partialChain
	// promptArrival is when the prompt reaches this engine, prompt when it has run.
	promptArrival time.Duration
	promptEnd     time.Duration
	betweenTokens time.Duration
	// penalty counts against the chain but is no time.
	penalty time.Duration
}

// answerWeight is the weight of the time from the first token to the last
// beside the time to the first. Below 1 it lets slower engines take their part
// of the load: an answer that keeps the time between tokens gains little from
// ending sooner, while one that waits behind others loses its first token.
const answerWeight = 0.25

// Penalties order servers that failed: one that does not answer at all goes
// last, one that was merely part of a stalled chain goes first.
const (
	suspectPenalty = 100 * time.Second
	failedPenalty  = 30 * time.Second
	stalledPenalty = 10 * time.Second
)

// cost is what Choose makes least: the time to the first token, and at a lower
// weight the time from there until the answer is whole.
func (p *partialChain) cost(answerTokens int) time.Duration {
	answer := float64(answerTokens) * float64(p.betweenTokens)
	return p.promptEnd + time.Duration(answerWeight*answer) + p.penalty
}

// Choose returns the best chain for req at now, or ErrNoChain, or an
// *OverloadError if no chain would give the first token in time. Engines that
// are leaving are never chosen; suspected, avoided and doubted ones only where
// a stage has no other.
func (t *Table) Choose(req Request, now time.Time) (Choice, error) {
	choice, err := t.choose(req, now)
	if err != nil {
		return Choice{}, err
	}
	estimate := time.Duration(float64(choice.FirstToken) * t.admissionMargin.factor())
	bound := time.Duration(float64(req.Pipeline.FirstToken.D()) * req.admissionFraction())
	if !req.Admitted && estimate > bound {
		return Choice{}, &OverloadError{FirstToken: estimate, Bound: bound}
	}
	return choice, nil
}

func (t *Table) choose(req Request, now time.Time) (Choice, error) {
	// byEnd holds the partial chains by the layer at which they end.
	byEnd := map[int][]*partialChain{}
	considered := 0
	for _, g := range t.groups[modelKey{req.Pipeline.Model, req.Pipeline.Version}] {
		if g.layers.From != 0 && len(byEnd[g.layers.From]) == 0 {
			continue
		}
		for _, s := range t.candidates(g, req, now) {
			considered++
			p := t.extend(byEnd[g.layers.From], s, req, now)
			byEnd[g.layers.To] = append(byEnd[g.layers.To], p)
		}
	}
	complete := byEnd[req.Pipeline.Layers]
	if len(complete) == 0 {
		return Choice{}, fmt.Errorf("pipeline %s: %w", req.Pipeline.Name, ErrNoChain)
	}
	for i, p := range complete {
		complete[i] = t.withReturnDelays(p)
	}
	slices.SortStableFunc(complete, func(a, b *partialChain) int {
		return cmp.Compare(a.cost(req.AnswerTokens), b.cost(req.AnswerTokens))
	})
	best := complete[0]
	choice := Choice{
		Chain: best.hops(), FirstToken: best.promptEnd, BetweenTokens: best.betweenTokens,
		Considered: considered, arrivals: best.arrivals(),
	}
	if len(complete) > 1 {
		choice.RunnerUp = complete[1].hops()
	}
	return choice, nil
}

// penalty returns what counts against a server beyond its times.
func (s *serverState) penalty(req *Request, now time.Time) time.Duration {
	p := time.Duration(0)
	if s.isSuspected(now) {
		p += suspectPenalty
	}
	if slices.Contains(req.Avoid, s.server.Name) {
		p += failedPenalty
	}
	if slices.Contains(req.StalledServers, s.server.Name) {
		p += stalledPenalty
	}
	return p
}

// candidates returns the members of g that are weighed: a random sample, the
// engines that hold the request's state, and those that entries send the prefix
// to by preference.
func (t *Table) candidates(g *group, req Request, now time.Time) []*serverState {
	trusted := func(s *serverState) bool { return !s.isLeaving() && s.penalty(&req, now) == 0 }
	picked := t.sample(g, trusted)
	if len(picked) == 0 {
		return t.sample(g, func(s *serverState) bool { return !s.isLeaving() })
	}
	add := func(s *serverState) {
		if trusted(s) && !slices.Contains(picked, s) {
			picked = append(picked, s)
		}
	}
	for _, name := range req.StateHolders {
		if s := t.states[name]; s != nil && s.server.Layers == g.layers && slices.Contains(g.members, s) {
			add(s)
		}
	}
	if req.Prefix == 0 {
		return picked
	}
	key := strconv.FormatUint(req.Prefix, 16)
	for _, s := range savoryhash.Top(key, g.members, func(s *serverState) string { return s.server.Name }, enginesPerPrefix) {
		add(s)
	}
	return picked
}

// sample returns up to t.Sample members of g that usable accepts, picked at
// random.
func (t *Table) sample(g *group, usable func(*serverState) bool) []*serverState {
	picked := make([]*serverState, 0, t.SampleSize)
	start := 0
	if len(g.members) > 0 {
		start = t.Rand.IntN(len(g.members))
	}
	// A random start with a random stride visits members in an order that
	// differs from choice to choice without shuffling the group.
	stride := t.stride(len(g.members))
	for i := range g.members {
		s := g.members[(start+i*stride)%len(g.members)]
		if !usable(s) {
			continue
		}
		picked = append(picked, s)
		if len(picked) == t.SampleSize {
			break
		}
	}
	return picked
}

// stride returns a random number below n that has no divisor in common with n.
func (t *Table) stride(n int) int {
	if n <= 2 {
		return 1
	}
	for {
		s := 1 + t.Rand.IntN(n-1)
		if gcd(s, n) == 1 {
			return s
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// extend returns the best of the partial chains with s added at its end.
func (t *Table) extend(before []*partialChain, s *serverState, req Request, now time.Time) *partialChain {
	load := s.estimatedWork(now)
	tokens := t.tokensToRun(s, req)
	prompt := s.promptTime(load, tokens, req.Pipeline.Layers)
	between := s.tokenTime(load, req.Pipeline.Layers)
	penalty := s.penalty(&req, now)
	if len(before) == 0 {
		arrive := t.snapshot.Link(t.Zone, s.server.Zone).Delay.D()
		return &partialChain{state: s, promptArrival: arrive, promptEnd: arrive + prompt, betweenTokens: between, penalty: penalty}
	}
	var best *partialChain
	for _, b := range before {
		link := t.snapshot.Link(b.state.server.Zone, s.server.Zone)
		arrive := b.promptEnd + transferTime(link, req.Pipeline.ActivationBytes, tokens)
		p := &partialChain{
			state:         s,
			previous:      b,
			promptArrival: arrive,
			promptEnd:     arrive + prompt,
			betweenTokens: b.betweenTokens + between + transferTime(link, req.Pipeline.ActivationBytes, 1),
			penalty:       b.penalty + penalty,
		}
		if best == nil || p.cost(req.AnswerTokens) < best.cost(req.AnswerTokens) {
			best = p
		}
	}
	return best
}

// tokensToRun returns the number of prompt tokens that an engine is expected to
// run for req.
func (t *Table) tokensToRun(s *serverState, req Request) int {
	switch {
	case slices.Contains(req.StateHolders, s.server.Name):
		return 1
	case t.prefixes.holds(req.Prefix, s.server.Name):
		return max(1, req.PromptTokens-req.PrefixTokens)
	default:
		return req.PromptTokens
	}
}

// withReturnDelays adds the way of each token from the last stage to the first, and
// from there to the entry.
func (t *Table) withReturnDelays(p *partialChain) *partialChain {
	first := p
	for first.previous != nil {
		first = first.previous
	}
	back := t.snapshot.Link(p.state.server.Zone, first.state.server.Zone).Delay.D()
	toEntry := t.snapshot.Link(first.state.server.Zone, t.Zone).Delay.D()
	done := *p
	done.promptEnd += back + toEntry
	done.betweenTokens += back
	return &done
}

func (p *partialChain) hops() []savoryengine.Hop {
	var hops []savoryengine.Hop
	for q := p; q != nil; q = q.previous {
		server := q.state.server
		hops = append(hops, savoryengine.Hop{Server: server.Name, Address: server.Address, Layers: server.Layers})
	}
	slices.Reverse(hops)
	return hops
}

func (p *partialChain) arrivals() []time.Duration {
	var arrive []time.Duration
	for q := p; q != nil; q = q.previous {
		arrive = append(arrive, q.promptArrival)
	}
	slices.Reverse(arrive)
	return arrive
}

// RecordPrefix records that a chain ran a prompt with the prefix.
func (t *Table) RecordPrefix(prefix uint64, chain []savoryengine.Hop) {
	names := make([]string, len(chain))
	for i, hop := range chain {
		names[i] = hop.Server
	}
	t.prefixes.add(prefix, names)
}
