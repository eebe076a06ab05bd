package savorychain

// This file defines Choose, which chooses the chain for one request.

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

// ErrNoChain means that no chain of usable engines covers all layers.
var ErrNoChain = errors.New("no chain of backend servers covers all layers")

// OverloadError means that no chain is expected to give the first token in
// time.
type OverloadError struct {
	// FirstToken is the least estimated time to the first token.
	FirstToken time.Duration
	// Bound is the time that the pipeline allows for this request.
	Bound time.Duration
}

var _ error = (*OverloadError)(nil)

// Error returns a text with both times.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("the first token would take %s, the pipeline allows %s", e.FirstToken, e.Bound)
}

// RetryAfter returns the time after which the estimate is expected to be within
// the bound again.
func (e *OverloadError) RetryAfter() time.Duration { return e.FirstToken - e.Bound }

// Request holds the properties of a request that the choice of its chain
// depends on.
type Request struct {
	Pipeline *savoryworld.Pipeline
	// PromptTokens is the number of tokens to run before the first new token.
	PromptTokens int
	// AnswerTokens is the expected number of tokens of the answer.
	AnswerTokens int
	// Prefix is the fingerprint of the beginning of the prompt, for prefix
	// caches; 0 means none.
	Prefix uint64
	// PrefixTokens is the number of prompt tokens that Prefix covers.
	PrefixTokens int
	// Avoid lists servers that already failed this request.
	Avoid []string
	// StalledServers lists the servers of chains that made no progress for this
	// request. At least one server of each such chain failed.
	StalledServers []string
	// StateHolders lists servers that still hold the state of an earlier attempt.
	// They need not run the prompt again.
	StateHolders []string
	// AdmissionFraction is the fraction of the bound on the first token up to
	// which the request is admitted; 0 means 1.
	AdmissionFraction float64
	// Admitted states that the request was admitted before. Such a request is no
	// longer refused for lack of capacity.
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
	// RunnerUp is the second best chain that was considered; it may be empty.
	RunnerUp []savoryengine.Hop
	// Considered is the number of engines that were considered.
	Considered int

	// arrivals lists when the prompt is expected at the queue of each engine,
	// counted from the choice.
	arrivals []time.Duration
}

// ServerNames returns the names of the servers of a chain, joined by ">".
func ServerNames(chain []savoryengine.Hop) string {
	names := make([]string, len(chain))
	for i, hop := range chain {
		names[i] = hop.Server
	}
	return strings.Join(names, ">")
}

// partialChain is a chain up to one engine. Its times count from the choice.
type partialChain struct {
	state    *serverState
	previous *partialChain
	// promptArrival is when the prompt reaches this engine, promptEnd when the
	// engine has run it.
	promptArrival time.Duration
	promptEnd     time.Duration
	betweenTokens time.Duration
	// penalty is added to the cost of the chain but is not part of its times.
	penalty time.Duration
}

// answerWeight is the weight of the time from the first token to the last
// relative to the time to the first token. A weight below 1 gives slower
// engines their share of the load: an answer that keeps to the time between
// tokens gains little from an earlier end, while an answer that waits in a
// queue has a late first token.
const answerWeight = 0.25

// The penalties order the servers that failed. A suspected server, which may
// not answer at all, is chosen last; a server that was only part of a stalled
// chain is chosen first.
const (
	suspectPenalty = 100 * time.Second
	failedPenalty  = 30 * time.Second
	stalledPenalty = 10 * time.Second
)

// cost returns the value that Choose minimizes: the time to the first token,
// plus the time from the first token to the last at a lower weight, plus the
// penalty.
func (p *partialChain) cost(answerTokens int) time.Duration {
	answer := float64(answerTokens) * float64(p.betweenTokens)
	return p.promptEnd + time.Duration(answerWeight*answer) + p.penalty
}

// Choose returns the best chain for req at now. The error is ErrNoChain if no
// chain covers all layers, a *LimitedError if no first engine takes the request now, or an *OverloadError if no chain is expected to give
// the first token in time. Engines that are leaving are never chosen. Servers
// that are suspected, in req.Avoid or in req.StalledServers are chosen only for
// a stage that has no other server.
func (t *Table) Choose(req Request, now time.Time) (Choice, error) {
	choice, err := t.choose(req, now)
	if err != nil {
		return Choice{}, err
	}
	estimate := time.Duration(float64(choice.FirstToken) * t.admissionMargin.factor())
	bound := time.Duration(float64(req.Pipeline.FirstToken.AsDuration()) * req.admissionFraction())
	if !req.Admitted && estimate > bound {
		return Choice{}, &OverloadError{FirstToken: estimate, Bound: bound}
	}
	return choice, nil
}

// choose returns the best chain for req at now, whatever its time to the first
// token.
func (t *Table) choose(req Request, now time.Time) (Choice, error) {
	// byEnd maps a layer to the partial chains that end there.
	byEnd := map[int][]*partialChain{}
	considered := 0
	key := modelKey{req.Pipeline.Model, req.Pipeline.Version}
	var refusing []*serverState
	for _, g := range t.groups[key] {
		if g.layers.From != 0 && len(byEnd[g.layers.From]) == 0 {
			continue
		}
		for _, s := range t.candidates(g, req, now) {
			if g.layers.From == 0 && !t.takes(key.demandKey(), s, now) {
				refusing = append(refusing, s)
				continue
			}
			considered++
			if t.onConsidered != nil {
				t.onConsidered(s)
			}
			p := t.extend(byEnd[g.layers.From], s, req, now)
			byEnd[g.layers.To] = append(byEnd[g.layers.To], p)
		}
	}
	complete := byEnd[req.Pipeline.Layers]
	if len(complete) == 0 && len(refusing) > 0 {
		return Choice{}, t.limited(req.Pipeline.Name, key.demandKey(), refusing, now, ErrNoChain)
	}
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

// penalty returns the cost of a server in addition to its times.
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

// candidates returns the members of g that are considered: a random sample, the
// engines that hold state of the request, and the engines that all entries
// prefer for its prefix.
func (t *Table) candidates(g *group, req Request, now time.Time) []*serverState {
	demand := modelKey{req.Pipeline.Model, req.Pipeline.Version}.demandKey()
	trusted := func(s *serverState) bool {
		return !s.isLeaving() && s.penalty(&req, now) == 0 && (g.layers.From != 0 || t.takes(demand, s, now))
	}
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

// sample returns up to t.SampleSize members of g for which usable returns true,
// picked at random.
func (t *Table) sample(g *group, usable func(*serverState) bool) []*serverState {
	picked := make([]*serverState, 0, t.SampleSize)
	start := 0
	if len(g.members) > 0 {
		start = t.Rand.IntN(len(g.members))
	}
	// A random start and a random stride give a different order for each choice
	// without a shuffle of the group.
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

// stride returns a random positive number below n that is coprime to n, or 1 if
// n is at most 2.
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

// gcd returns the greatest common divisor of a and b.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// extend returns the cheapest partial chain that ends with s. Its other hops
// are one of the given partial chains, or none if there are none.
func (t *Table) extend(before []*partialChain, s *serverState, req Request, now time.Time) *partialChain {
	work := s.estimatedWork(now)
	tokens := t.tokensToRun(s, req)
	prompt := s.promptTime(work, tokens, req.Pipeline.Layers)
	between := s.tokenTime(work, req.Pipeline.Layers)
	penalty := s.penalty(&req, now)
	if len(before) == 0 {
		arrival := t.snapshot.Link(t.Zone, s.server.Zone).Delay.AsDuration()
		return &partialChain{state: s, promptArrival: arrival, promptEnd: arrival + prompt, betweenTokens: between, penalty: penalty}
	}
	var best *partialChain
	for _, b := range before {
		link := t.snapshot.Link(b.state.server.Zone, s.server.Zone)
		arrival := b.promptEnd + transferTime(link, req.Pipeline.ActivationBytes, tokens)
		p := &partialChain{
			state:         s,
			previous:      b,
			promptArrival: arrival,
			promptEnd:     arrival + prompt,
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

// withReturnDelays returns a copy of p with the delays of each token from the
// last stage back to the first stage and from there to the entry.
func (t *Table) withReturnDelays(p *partialChain) *partialChain {
	first := p
	for first.previous != nil {
		first = first.previous
	}
	toFirst := t.snapshot.Link(p.state.server.Zone, first.state.server.Zone).Delay.AsDuration()
	toEntry := t.snapshot.Link(first.state.server.Zone, t.Zone).Delay.AsDuration()
	result := *p
	result.promptEnd += toFirst + toEntry
	result.betweenTokens += toFirst
	return &result
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
	var arrivals []time.Duration
	for q := p; q != nil; q = q.previous {
		arrivals = append(arrivals, q.promptArrival)
	}
	slices.Reverse(arrivals)
	return arrivals
}

// RecordPrefix records that a chain ran a prompt with the prefix.
func (t *Table) RecordPrefix(prefix uint64, chain []savoryengine.Hop) {
	names := make([]string, len(chain))
	for i, hop := range chain {
		names[i] = hop.Server
	}
	t.prefixes.add(prefix, names)
}
