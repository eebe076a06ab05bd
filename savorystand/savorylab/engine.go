package savorylab

// This file defines the simulated engine, which runs a batch in virtual time.

import (
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savoryclock"
)

// engine is a simulated engine that runs queued work in steps. Each step takes
// first the waiting tokens of running answers, then prompts by priority and
// order of arrival, at most MaxTokens of the accelerator.
type engine struct {
	server      savoryworld.BackendServer
	accelerator savoryworld.Accelerator
	clock       *savoryclock.Clock

	// decode holds the waiting work of running answers, one token each; prompts
	// holds the waiting prompts.
	decode  []*work
	prompts []*work
	// busy reports whether a step is running.
	busy bool
	// slowdown is the factor on the time of each step; 1 is the configured speed.
	slowdown float64
	// failed reports whether the engine has failed; it then completes no further step.
	failed bool
	// sequences is the number of requests with state on this engine.
	sequences int
	prefixes  prefixCache
	// tokensRun is the number of tokens run.
	tokensRun int64
}

// work is the tokens of one request at one engine.
type work struct {
	// remaining is the number of tokens that are not yet part of a step.
	remaining int
	priority  int
	// done is called at the end of the step that runs the last token.
	done func()
}

// enqueue queues work and begins a step if the engine is idle. Work of one
// token counts as part of a running answer.
func (e *engine) enqueue(w *work) {
	if w.remaining == 1 {
		e.decode = append(e.decode, w)
	} else {
		e.enqueuePrompt(w)
	}
	e.beginStep()
}

// enqueuePrompt inserts a prompt behind the prompts of the same or a higher
// priority.
func (e *engine) enqueuePrompt(w *work) {
	at := len(e.prompts)
	for at > 0 && e.prompts[at-1].priority < w.priority {
		at--
	}
	e.prompts = append(e.prompts, nil)
	copy(e.prompts[at+1:], e.prompts[at:])
	e.prompts[at] = w
}

// beginStep starts a step if the engine is idle and work waits.
func (e *engine) beginStep() {
	if e.busy || e.failed {
		return
	}
	available := e.accelerator.MaxTokens
	var finished []*work
	n := min(available, len(e.decode))
	finished = append(finished, e.decode[:n]...)
	e.decode = e.decode[n:]
	available -= n
	for available > 0 && len(e.prompts) > 0 {
		w := e.prompts[0]
		taken := min(available, w.remaining)
		w.remaining -= taken
		available -= taken
		if w.remaining > 0 {
			break
		}
		finished = append(finished, w)
		e.prompts = e.prompts[1:]
	}
	tokens := e.accelerator.MaxTokens - available
	if tokens == 0 {
		return
	}
	e.busy = true
	e.tokensRun += int64(tokens)
	step := e.accelerator.StepTime(e.server.Layers.Count(), tokens)
	e.clock.After(scale(step, e.slowdown), func() { e.endStep(finished) })
}

// endStep completes the finished work of a step and begins the next step.
func (e *engine) endStep(finished []*work) {
	e.busy = false
	if e.failed {
		return
	}
	for _, w := range finished {
		w.done()
	}
	e.beginStep()
}

// load returns the current load report.
func (e *engine) load() savoryengine.Load {
	queued := 0
	for _, w := range e.prompts {
		queued += w.remaining
	}
	return savoryengine.Load{Server: e.server.Name, At: e.clock.Now, Running: e.sequences, Queued: queued}
}

// prefixCache is a cache of prompt prefixes with least-recently-used eviction.
type prefixCache struct {
	// capacity is the maximum number of prefixes; 0 disables the cache.
	capacity int
	// prefixes holds the cached prefixes, least recently used first.
	prefixes []uint64
}

// access reports whether the prefix was cached, and caches it. A prefix of 0
// stands for none.
func (p *prefixCache) access(prefix uint64) bool {
	if prefix == 0 || p.capacity == 0 {
		return false
	}
	for i, cached := range p.prefixes {
		if cached == prefix {
			p.prefixes = append(append(p.prefixes[:i:i], p.prefixes[i+1:]...), prefix)
			return true
		}
	}
	p.prefixes = append(p.prefixes, prefix)
	if len(p.prefixes) > p.capacity {
		p.prefixes = p.prefixes[1:]
	}
	return false
}
