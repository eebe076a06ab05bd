// Package savorylab measures routing policies in virtual time with simulated
// engines and links.
//
// A Lab simulates entries that share no state and engines on mixed accelerators
// in three zones, between which the bandwidths of the links differ by a factor
// of 100. A present site has 7 entries and 30 engines. The Lab offers load at a
// given ratio to the capacity of the hardware and reports throughput and
// latencies. Runs with the same seed and settings have equal results.
//
// The capacity follows from the accelerators alone: the capacity of a stage is
// the sum of the maximum rates of its engines, and the stage with the lowest
// capacity limits the tokens that pass through all stages. Links, queues and
// uneven batches can only reduce the throughput below the capacity.
package savorylab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savoryclock"
)

const (
	// modelName is the name of the only pipeline and of its model.
	modelName = "lab"
	// modelLayers is the number of layers of the model.
	modelLayers = 48
	// stageCount is the number of stages.
	stageCount = 3
	// tokensPerLoadReport is the number of tokens between two load reports of a
	// request.
	tokensPerLoadReport = 8
	// smallCustomers is the number of small customers.
	smallCustomers = 20
)

// Lab is one simulation run. Its exported fields are set before Run.
type Lab struct {
	Seed   uint64
	Policy Policy
	// OfferedLoad is the ratio of the offered load to the capacity.
	OfferedLoad float64
	// Entries is the number of entries.
	Entries int
	// EnginesPerStage is the number of engines of each stage.
	EnginesPerStage int
	// WarmUp is the time before the measurement, MeasuredTime the time of the
	// measurement.
	WarmUp       time.Duration
	MeasuredTime time.Duration
	// PromptTokens and AnswerTokens are the mean lengths of prompts, without
	// prefixes, and of answers.
	PromptTokens int
	AnswerTokens int
	// Prefixes is the number of different prompt prefixes; 0 means that prompts
	// have none.
	Prefixes int
	// PrefixTokens is the length of a prefix in tokens.
	PrefixTokens int
	// CachedPrefixes is the number of prefixes that an engine caches.
	CachedPrefixes int
	// HidePrefixes hides the prefixes from the policy; the engines still cache
	// them.
	HidePrefixes bool
	// LargeFraction is the fraction of the requests that one large customer sends.
	// The other requests come from smallCustomers small customers.
	LargeFraction float64

	clock    savoryclock.Clock
	rand     *rand.Rand
	snapshot *savoryconfig.Snapshot
	engines  map[string]*engine
	stages   [][]*engine
	choosers []*chooser
	zones    []string
	result   Result
	// begin and end bound the measured time; end is excluded.
	begin time.Time
	end   time.Time
	// These slices hold the measured times to the first token, the times between
	// tokens, and the times to the first token of small customers.
	firstTokenTimes      []time.Duration
	betweenTokensTimes   []time.Duration
	smallFirstTokenTimes []time.Duration
}

// Result holds the measurements of a run.
type Result struct {
	Policy      Policy
	OfferedLoad float64
	// Capacity is the maximum throughput of the hardware in tokens per second.
	Capacity float64
	// Throughput is the ratio to Capacity of the rate of prompt and answer tokens of
	// completed answers.
	Throughput float64
	// Goodput is Throughput of the answers that met both latency objectives: the
	// time to the first token and the mean time between tokens.
	Goodput float64
	// RefusedFraction is the fraction of the requests that were refused.
	RefusedFraction float64
	// FirstToken95 and BetweenTokens95 are the 95th percentiles of the time to the
	// first token and of the time between tokens over all answers.
	FirstToken95    time.Duration
	BetweenTokens95 time.Duration
	// SmallFirstToken95 is FirstToken95 of the requests of small customers.
	SmallFirstToken95 time.Duration
	// Requests is the number of requests that arrived in the measured time.
	Requests int
	// SmallRefusedFraction is the fraction of the requests of small customers that
	// were refused.
	SmallRefusedFraction float64
	// CacheHitFraction is the fraction of prompts, counted at each stage, whose
	// prefix was cached.
	CacheHitFraction float64

	tokens              int64
	goodTokens          int64
	refused             int
	small, smallRefused int
	hits                int
	prompts             int
}

// request is the state of a request in flight. Lengths are in tokens.
type request struct {
	chooser   *chooser
	prompt    int
	answer    int
	prefix    uint64
	priority  int
	large     bool
	customer  string
	chain     []savoryengine.Hop
	flight    *savorychain.Flight
	arrivedAt time.Time
	lastAt    time.Time
	// betweenTokensSum is the sum of the times between tokens.
	betweenTokensSum time.Duration
	firstTokenTime   time.Duration
	tokens           int
}

// Run runs the simulation and returns its measurements.
func (l *Lab) Run() Result {
	l.build()
	l.result = Result{Policy: l.Policy, OfferedLoad: l.OfferedLoad, Capacity: l.capacity()}
	perRequest := float64(l.PromptTokens + l.AnswerTokens)
	rate := l.OfferedLoad * l.result.Capacity / perRequest
	l.begin = l.clock.Now.Add(l.WarmUp)
	l.end = l.begin.Add(l.MeasuredTime)
	l.scheduleArrival(rate)
	l.clock.RunUntil(l.end)
	return l.summary()
}

// build creates the configuration, the engines and the entries.
func (l *Lab) build() {
	l.rand = rand.New(rand.NewPCG(l.Seed, 2))
	l.clock.Now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	doc := l.document()
	l.snapshot = savoryconfig.NewSnapshot(&savoryconfig.Root{Revision: 1}, doc)
	l.engines = make(map[string]*engine)
	l.stages = make([][]*engine, stageCount)
	for _, server := range doc.BackendServers {
		e := &engine{
			server: server, accelerator: l.snapshot.Accelerator(server.Accelerator),
			clock: &l.clock, slowdown: 1, prefixes: prefixCache{capacity: l.CachedPrefixes},
		}
		l.engines[server.Name] = e
		stage := server.Layers.From / (modelLayers / stageCount)
		l.stages[stage] = append(l.stages[stage], e)
	}
	for i := range l.Entries {
		name := fmt.Sprintf("entry-%d", i)
		zone := l.zones[i%len(l.zones)]
		l.choosers = append(l.choosers, newChooser(l.Policy, name, zone, l.snapshot, l.stages, l.Seed*1000+uint64(i)))
	}
}

// document returns the configuration document of the site.
func (l *Lab) document() *savoryconfig.Document {
	us := func(n int) savoryworld.Duration {
		return savoryworld.Duration(n) * savoryworld.Duration(time.Microsecond)
	}
	l.zones = []string{"a", "b", "c"}
	doc := &savoryconfig.Document{
		Accelerators: []savoryworld.Accelerator{
			{Name: "fast", StepBase: us(150), StepToken: us(8), MaxTokens: 64},
			{Name: "middle", StepBase: us(250), StepToken: us(14), MaxTokens: 48},
			{Name: "slow", StepBase: us(350), StepToken: us(24), MaxTokens: 32},
		},
		Links: []savoryworld.Link{
			{From: "a", To: "b", Delay: us(500), BytesPerSecond: 1_250_000_000},
			{From: "a", To: "c", Delay: us(500), BytesPerSecond: 125_000_000},
			{From: "b", To: "c", Delay: us(500), BytesPerSecond: 12_500_000},
		},
		Pipelines: []savoryworld.Pipeline{{
			Name: modelName, Model: modelName, Version: "v1", Layers: modelLayers, ActivationBytes: 16 << 10,
			FirstToken: us(770_000), BetweenTokens: us(72_000), MaxTokens: 4096,
		}},
	}
	for _, zone := range l.zones {
		doc.Zones = append(doc.Zones, savoryworld.AvailabilityZone{Name: zone, Region: "r"})
	}
	width := modelLayers / stageCount
	port := uint16(1)
	for stage := range stageCount {
		for i := range l.EnginesPerStage {
			port++
			doc.BackendServers = append(doc.BackendServers, savoryworld.BackendServer{
				Name:    fmt.Sprintf("e%d-%d", stage, i),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
				Zone:    l.zones[i%len(l.zones)], Model: modelName, Version: "v1",
				Layers:      savoryworld.LayerRange{From: stage * width, To: (stage + 1) * width},
				Accelerator: doc.Accelerators[(i/len(l.zones)+stage)%len(doc.Accelerators)].Name,
			})
		}
	}
	return doc
}

// capacity returns the maximum throughput of the hardware in tokens per second.
func (l *Lab) capacity() float64 {
	lowest := math.Inf(1)
	for _, stage := range l.stages {
		sum := 0.0
		for _, e := range stage {
			sum += e.accelerator.TokensPerSecond(e.server.Layers.Count())
		}
		lowest = min(lowest, sum)
	}
	return lowest
}

// scheduleArrival schedules the next arrival at a random entry. Arrivals are a
// Poisson process with the given rate per second.
func (l *Lab) scheduleArrival(rate float64) {
	interval := time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second))
	l.clock.After(interval, func() {
		l.admit(l.newRequest())
		l.scheduleArrival(rate)
	})
}

func (l *Lab) newRequest() *request {
	r := &request{
		chooser:   l.choosers[l.rand.IntN(len(l.choosers))],
		prompt:    2 + int(l.rand.Float64()*2*float64(l.PromptTokens-2)),
		answer:    1 + int(l.rand.Float64()*2*float64(l.AnswerTokens-1)),
		arrivedAt: l.clock.Now, lastAt: l.clock.Now, priority: 1,
	}
	if l.Prefixes > 0 {
		r.prompt += l.PrefixTokens
		r.prefix = 1 + uint64(l.rand.IntN(l.Prefixes))
	}
	r.customer = fmt.Sprintf("small-%d", l.rand.IntN(smallCustomers))
	if l.rand.Float64() < l.LargeFraction {
		r.large, r.customer = true, "large"
	}
	return r
}

// admit chooses a chain for a request and starts it, or counts the request as
// refused.
func (l *Lab) admit(r *request) {
	if l.inMeasuredTime(r.arrivedAt) {
		l.result.Requests++
		if !r.large {
			l.result.small++
		}
	}
	pipeline := l.snapshot.Pipeline(modelName)
	choice, err := r.chooser.choose(savorychain.Request{
		Pipeline: pipeline, PromptTokens: r.prompt, AnswerTokens: r.answer, Prefix: l.visiblePrefix(r), PrefixTokens: l.PrefixTokens,
		AdmissionFraction: r.chooser.fairness.AdmissionFraction(r.customer),
	}, l.clock.Now)
	if err != nil {
		if l.inMeasuredTime(r.arrivedAt) {
			l.result.refused++
			if !r.large {
				l.result.smallRefused++
			}
		}
		return
	}
	r.chain = choice.Chain
	if r.chooser.fairness.AdmissionFraction(r.customer) < 1 {
		r.priority = 0
	}
	r.chooser.fairness.Begin(r.customer, 1)
	r.flight = r.chooser.recordSent(choice, r.prompt, l.clock.Now)
	for _, hop := range r.chain {
		l.engines[hop.Server].sequences++
	}
	l.clock.After(l.delay(r, -1, 0), func() { l.runStage(r, 0, r.prompt) })
}

// visiblePrefix returns the prefix that the policy receives; 0 means none.
func (l *Lab) visiblePrefix(r *request) uint64 {
	if l.HidePrefixes {
		return 0
	}
	return r.prefix
}

// runStage runs tokens of a request at one stage of its chain.
func (l *Lab) runStage(r *request, position, tokens int) {
	e := l.engines[r.chain[position].Server]
	tokensToRun := tokens
	if tokens > 1 {
		l.result.prompts++
		if e.prefixes.access(r.prefix) {
			l.result.hits++
			tokensToRun = max(1, tokens-l.PrefixTokens)
		}
	}
	e.enqueue(&work{remaining: tokensToRun, priority: r.priority, done: func() {
		next := position + 1
		if next < len(r.chain) {
			l.clock.After(l.delay(r, position, tokensToRun), func() { l.runStage(r, next, tokens) })
			return
		}
		l.clock.After(l.delay(r, position, 0), func() { l.receiveToken(r) })
	}})
}

// delay returns the time to send the activations of tokens from the stage at
// position to the next stage, or from the last stage to the first. Position -1
// is the entry, which counts as in the first zone.
func (l *Lab) delay(r *request, position, tokens int) time.Duration {
	next := r.chain[(position+1)%len(r.chain)]
	to := l.engines[next.Server].server.Zone
	from := l.zones[0]
	if position >= 0 {
		from = l.engines[r.chain[position].Server].server.Zone
	}
	link := l.snapshot.Link(from, to)
	d := link.Delay.AsDuration()
	if link.BytesPerSecond > 0 {
		bytes := float64(l.snapshot.Pipeline(modelName).ActivationBytes) * float64(tokens)
		d += time.Duration(bytes / float64(link.BytesPerSecond) * float64(time.Second))
	}
	return d
}

// receiveToken handles a token that is back at the first stage.
func (l *Lab) receiveToken(r *request) {
	now := l.clock.Now
	gap := now.Sub(r.lastAt)
	r.lastAt = now
	if r.tokens == 0 {
		r.firstTokenTime = gap
		r.chooser.recordPromptDone(r.flight, l.visiblePrefix(r), gap, l.snapshot.Pipeline(modelName).FirstToken.AsDuration())
	} else {
		r.betweenTokensSum += gap
		if l.inMeasuredTime(now) {
			l.betweenTokensTimes = append(l.betweenTokensTimes, gap)
		}
	}
	if r.tokens%tokensPerLoadReport == 0 {
		for _, hop := range r.chain {
			r.chooser.recordLoad(l.engines[hop.Server].load(), now)
		}
	}
	r.tokens++
	if r.tokens == r.answer {
		l.finish(r)
		return
	}
	l.runStage(r, 0, 1)
}

// finish counts a completed answer.
func (l *Lab) finish(r *request) {
	r.chooser.fairness.End(r.customer)
	r.chooser.recordFinished(r.flight)
	for _, hop := range r.chain {
		l.engines[hop.Server].sequences--
	}
	if l.inMeasuredTime(r.arrivedAt) {
		l.firstTokenTimes = append(l.firstTokenTimes, r.firstTokenTime)
		if !r.large {
			l.smallFirstTokenTimes = append(l.smallFirstTokenTimes, r.firstTokenTime)
		}
	}
	if !l.inMeasuredTime(l.clock.Now) {
		return
	}
	tokens := int64(r.prompt + r.answer)
	l.result.tokens += tokens
	pipeline := l.snapshot.Pipeline(modelName)
	mean := time.Duration(0)
	if r.answer > 1 {
		mean = r.betweenTokensSum / time.Duration(r.answer-1)
	}
	if r.firstTokenTime <= pipeline.FirstToken.AsDuration() && mean <= pipeline.BetweenTokens.AsDuration() {
		l.result.goodTokens += tokens
	}
}

// inMeasuredTime reports whether a time is within the measured time.
func (l *Lab) inMeasuredTime(at time.Time) bool { return !at.Before(l.begin) && at.Before(l.end) }

func (l *Lab) summary() Result {
	r := l.result
	capacityTokens := r.Capacity * l.MeasuredTime.Seconds()
	r.Throughput = float64(r.tokens) / capacityTokens
	r.Goodput = float64(r.goodTokens) / capacityTokens
	if r.Requests > 0 {
		r.RefusedFraction = float64(r.refused) / float64(r.Requests)
	}
	if r.small > 0 {
		r.SmallRefusedFraction = float64(r.smallRefused) / float64(r.small)
	}
	if r.prompts > 0 {
		r.CacheHitFraction = float64(r.hits) / float64(r.prompts)
	}
	r.FirstToken95 = percentile(l.firstTokenTimes, 0.95)
	r.BetweenTokens95 = percentile(l.betweenTokensTimes, 0.95)
	r.SmallFirstToken95 = percentile(l.smallFirstTokenTimes, 0.95)
	return r
}

// percentile returns the p quantile of times, 0 <= p <= 1, and sorts times. It
// returns 0 for no times.
func percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(p*float64(len(times))))]
}

// scale returns d multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
