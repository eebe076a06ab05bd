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
	// Doubt lists servers of chains that made no progress for this request; at
	// least one of each chain failed it.
	Doubt []string
	// Holds lists servers that still hold the state of an earlier attempt; they
	// need not run the prompt again.
	Holds []string
	// Patience is the part of the bound on the first token up to which the
	// request is admitted; 0 means all of it.
	Patience float64
	// Begun says that the request was admitted before; it is not refused for
	// lack of capacity any more.
	Begun bool
}

func (r *Request) patience() float64 {
	if r.Patience == 0 {
		return 1
	}
	return r.Patience
}

// Choice is a chain with its estimates.
type Choice struct {
	Chain []savoryengine.Hop
	// FirstToken and BetweenTokens are the estimated times.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// RunnerUp is the second best chain seen; it may be empty.
	RunnerUp []savoryengine.Hop
	// Looked is the number of engines that were weighed.
	Looked int

	// arrive is when the prompt is expected at each engine's queue.
	arrive []time.Duration
}

// Servers returns the names of a chain's servers, joined by ">".
func Servers(chain []savoryengine.Hop) string {
	names := make([]string, len(chain))
	for i, hop := range chain {
		names[i] = hop.Server
	}
	return strings.Join(names, ">")
}

// path is a partial chain that ends at one engine.
type path struct {
	state  *serverState
	before *path
	// arrive is when the prompt reaches this engine, prompt when it has run.
	arrive  time.Duration
	prompt  time.Duration
	between time.Duration
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
	avoidPenalty   = 30 * time.Second
	doubtPenalty   = 10 * time.Second
)

// cost is what Choose makes least: the time to the first token, and at a lower
// weight the time from there until the answer is whole.
func (p *path) cost(answerTokens int) time.Duration {
	answer := float64(answerTokens) * float64(p.between)
	return p.prompt + time.Duration(answerWeight*answer) + p.penalty
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
	careful := time.Duration(float64(choice.FirstToken) * t.pace.margin())
	bound := time.Duration(float64(req.Pipeline.FirstToken.AsDuration()) * req.patience())
	if !req.Begun && careful > bound {
		return Choice{}, &OverloadError{FirstToken: careful, Bound: bound}
	}
	return choice, nil
}

func (t *Table) choose(req Request, now time.Time) (Choice, error) {
	// ends holds the partial chains by the layer at which they end.
	ends := map[int][]*path{}
	looked := 0
	for _, g := range t.groups[modelKey{req.Pipeline.Model, req.Pipeline.Version}] {
		if g.layers.From != 0 && len(ends[g.layers.From]) == 0 {
			continue
		}
		for _, s := range t.candidates(g, req, now) {
			looked++
			p := t.extend(ends[g.layers.From], s, req, now)
			ends[g.layers.To] = append(ends[g.layers.To], p)
		}
	}
	whole := ends[req.Pipeline.Layers]
	if len(whole) == 0 {
		return Choice{}, fmt.Errorf("pipeline %s: %w", req.Pipeline.Name, ErrNoChain)
	}
	for i, p := range whole {
		whole[i] = t.finished(p)
	}
	slices.SortStableFunc(whole, func(a, b *path) int {
		return cmp.Compare(a.cost(req.AnswerTokens), b.cost(req.AnswerTokens))
	})
	best := whole[0]
	choice := Choice{
		Chain: best.hops(), FirstToken: best.prompt, BetweenTokens: best.between,
		Looked: looked, arrive: best.arrivals(),
	}
	if len(whole) > 1 {
		choice.RunnerUp = whole[1].hops()
	}
	return choice, nil
}

// penalty returns what counts against a server beyond its times.
func (s *serverState) penalty(req *Request, now time.Time) time.Duration {
	p := time.Duration(0)
	if s.suspect(now) {
		p += suspectPenalty
	}
	if slices.Contains(req.Avoid, s.server.Name) {
		p += avoidPenalty
	}
	if slices.Contains(req.Doubt, s.server.Name) {
		p += doubtPenalty
	}
	return p
}

// candidates returns the members of g that are weighed: a random sample, the
// engines that hold the request's state, and those that entries send the prefix
// to by preference.
func (t *Table) candidates(g *group, req Request, now time.Time) []*serverState {
	good := func(s *serverState) bool { return !s.leaves() && s.penalty(&req, now) == 0 }
	picked := t.sample(g, good)
	if len(picked) == 0 {
		return t.sample(g, func(s *serverState) bool { return !s.leaves() })
	}
	add := func(s *serverState) {
		if good(s) && !slices.Contains(picked, s) {
			picked = append(picked, s)
		}
	}
	for _, name := range req.Holds {
		if s := t.states[name]; s != nil && s.server.Layers == g.layers && slices.Contains(g.members, s) {
			add(s)
		}
	}
	if req.Prefix == 0 {
		return picked
	}
	key := strconv.FormatUint(req.Prefix, 16)
	for _, s := range savoryhash.Top(key, g.members, func(s *serverState) string { return s.server.Name }, prefixHomes) {
		add(s)
	}
	return picked
}

// sample returns up to t.Sample members of g that usable accepts, picked at
// random.
func (t *Table) sample(g *group, usable func(*serverState) bool) []*serverState {
	picked := make([]*serverState, 0, t.Sample)
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
		if len(picked) == t.Sample {
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
func (t *Table) extend(before []*path, s *serverState, req Request, now time.Time) *path {
	load := s.load(now)
	tokens := t.promptLeft(s, req)
	prompt := s.promptTime(load, tokens, req.Pipeline.Layers)
	between := s.tokenTime(load, req.Pipeline.Layers)
	penalty := s.penalty(&req, now)
	if len(before) == 0 {
		arrive := t.snapshot.Link(t.Zone, s.server.Zone).Delay.AsDuration()
		return &path{state: s, arrive: arrive, prompt: arrive + prompt, between: between, penalty: penalty}
	}
	var best *path
	for _, b := range before {
		link := t.snapshot.Link(b.state.server.Zone, s.server.Zone)
		arrive := b.prompt + transferTime(link, req.Pipeline.ActivationBytes, tokens)
		p := &path{
			state:   s,
			before:  b,
			arrive:  arrive,
			prompt:  arrive + prompt,
			between: b.between + between + transferTime(link, req.Pipeline.ActivationBytes, 1),
			penalty: b.penalty + penalty,
		}
		if best == nil || p.cost(req.AnswerTokens) < best.cost(req.AnswerTokens) {
			best = p
		}
	}
	return best
}

// promptLeft returns the number of prompt tokens that an engine is expected to
// run for req.
func (t *Table) promptLeft(s *serverState, req Request) int {
	switch {
	case slices.Contains(req.Holds, s.server.Name):
		return 1
	case t.prefixes.holds(req.Prefix, s.server.Name):
		return max(1, req.PromptTokens-req.PrefixTokens)
	default:
		return req.PromptTokens
	}
}

// finished adds the way of each token from the last stage to the first, and
// from there to the entry.
func (t *Table) finished(p *path) *path {
	first := p
	for first.before != nil {
		first = first.before
	}
	back := t.snapshot.Link(p.state.server.Zone, first.state.server.Zone).Delay.AsDuration()
	home := t.snapshot.Link(first.state.server.Zone, t.Zone).Delay.AsDuration()
	done := *p
	done.prompt += back + home
	done.between += back
	return &done
}

func (p *path) hops() []savoryengine.Hop {
	var hops []savoryengine.Hop
	for q := p; q != nil; q = q.before {
		server := q.state.server
		hops = append(hops, savoryengine.Hop{Server: server.Name, Address: server.Address, Layers: server.Layers})
	}
	slices.Reverse(hops)
	return hops
}

func (p *path) arrivals() []time.Duration {
	var arrive []time.Duration
	for q := p; q != nil; q = q.before {
		arrive = append(arrive, q.arrive)
	}
	slices.Reverse(arrive)
	return arrive
}

// Ran records that a chain ran a prompt with the prefix.
func (t *Table) Ran(prefix uint64, chain []savoryengine.Hop) {
	names := make([]string, len(chain))
	for i, hop := range chain {
		names[i] = hop.Server
	}
	t.prefixes.add(prefix, names)
}
