package savorychain

// This file defines Choose, the decision for one request.

import (
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
}

// answerWeight is the weight of the time from the first token to the last
// beside the time to the first. Below 1 it lets slower engines take their part
// of the load: an answer that keeps the time between tokens gains little from
// ending sooner, while one that waits behind others loses its first token.
const answerWeight = 0.25

// cost is what Choose makes least: the time to the first token, and at a lower
// weight the time from there until the answer is whole.
func (p *path) cost(answerTokens int) time.Duration {
	answer := float64(answerTokens) * float64(p.between)
	return p.prompt + time.Duration(answerWeight*answer)
}

// Choose returns the best chain for req at now, or ErrNoChain, or an
// *OverloadError if no chain would give the first token in time. Engines that
// are leaving are never chosen; suspected and avoided ones only if no chain
// exists without them.
func (t *Table) Choose(req Request, now time.Time) (Choice, error) {
	choice, err := t.chooseAny(req, now)
	if err != nil {
		return Choice{}, err
	}
	careful := time.Duration(float64(choice.FirstToken) * t.pace.margin())
	bound := time.Duration(float64(req.Pipeline.FirstToken.D()) * req.patience())
	if !req.Begun && careful > bound {
		return Choice{}, &OverloadError{FirstToken: careful, Bound: bound}
	}
	return choice, nil
}

func (t *Table) chooseAny(req Request, now time.Time) (Choice, error) {
	usable := func(s *serverState) bool {
		return !s.leaves() && !s.suspect(now) && !slices.Contains(req.Avoid, s.server.Name)
	}
	choice, err := t.choose(req, now, usable)
	if err == nil {
		return choice, nil
	}
	// Suspicion may be wrong: a chain through a suspect beats none.
	fallback := func(s *serverState) bool { return !s.leaves() && !slices.Contains(req.Avoid, s.server.Name) }
	if choice, err = t.choose(req, now, fallback); err == nil {
		return choice, nil
	}
	return t.choose(req, now, func(s *serverState) bool { return !s.leaves() })
}

func (t *Table) choose(req Request, now time.Time, usable func(*serverState) bool) (Choice, error) {
	// ends holds the partial chains by the layer at which they end.
	ends := map[int][]*path{}
	looked := 0
	for _, g := range t.groups[modelKey{req.Pipeline.Model, req.Pipeline.Version}] {
		if g.layers.From != 0 && len(ends[g.layers.From]) == 0 {
			continue
		}
		for _, s := range t.candidates(g, req.Prefix, usable) {
			looked++
			p := t.extend(ends[g.layers.From], s, req, now)
			ends[g.layers.To] = append(ends[g.layers.To], p)
		}
	}
	whole := ends[req.Pipeline.Layers]
	if len(whole) == 0 {
		return Choice{}, fmt.Errorf("pipeline %s: %w", req.Pipeline.Name, ErrNoChain)
	}
	slices.SortStableFunc(whole, func(a, b *path) int {
		return int(t.finished(a).cost(req.AnswerTokens) - t.finished(b).cost(req.AnswerTokens))
	})
	best := t.finished(whole[0])
	choice := Choice{
		Chain: best.hops(), FirstToken: best.prompt, BetweenTokens: best.between,
		Looked: looked, arrive: best.arrivals(),
	}
	if len(whole) > 1 {
		choice.RunnerUp = whole[1].hops()
	}
	return choice, nil
}

// candidates returns the members of g that are weighed: a random sample, and
// the engines that entries send the prefix to by preference.
func (t *Table) candidates(g *group, prefix uint64, usable func(*serverState) bool) []*serverState {
	picked := t.sample(g, usable)
	if prefix == 0 {
		return picked
	}
	key := strconv.FormatUint(prefix, 16)
	home := savoryhash.Top(key, g.members, func(s *serverState) string { return s.server.Name }, prefixHomes)
	for _, s := range home {
		if usable(s) && !slices.Contains(picked, s) {
			picked = append(picked, s)
		}
	}
	return picked
}

// sample returns up to t.Sample usable members of g, picked at random.
func (t *Table) sample(g *group, usable func(*serverState) bool) []*serverState {
	picked := make([]*serverState, 0, t.Sample)
	start := 0
	if len(g.members) > 0 {
		start = t.Rand.IntN(len(g.members))
	}
	// A random start with a random odd stride visits members in an order that
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
	tokens := req.PromptTokens
	if t.prefixes.holds(req.Prefix, s.server.Name) {
		tokens = max(1, tokens-req.PrefixTokens)
	}
	prompt := s.promptTime(load, tokens, req.Pipeline.Layers)
	between := s.tokenTime(load, req.Pipeline.Layers)
	if len(before) == 0 {
		link := t.snapshot.Link(t.Zone, s.server.Zone)
		arrive := link.Delay.D()
		return &path{state: s, arrive: arrive, prompt: arrive + prompt, between: between}
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
		}
		if best == nil || p.cost(req.AnswerTokens) < best.cost(req.AnswerTokens) {
			best = p
		}
	}
	return best
}

// finished adds the way of each token from the last stage to the first, and
// from there to the entry.
func (t *Table) finished(p *path) *path {
	first := p
	for first.before != nil {
		first = first.before
	}
	back := t.snapshot.Link(p.state.server.Zone, first.state.server.Zone).Delay.D()
	home := t.snapshot.Link(first.state.server.Zone, t.Zone).Delay.D()
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
