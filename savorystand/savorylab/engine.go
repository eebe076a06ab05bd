package savorylab

// This file defines the fake engine: a batch in virtual time.

import (
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savoryclock"
)

// engine runs work in steps. Each step takes the waiting tokens of running
// answers first, then prompts by priority and order of arrival, up to the
// accelerator's bound.
type engine struct {
	server      savoryworld.BackendServer
	accelerator savoryworld.Accelerator
	clock       *savoryclock.Clock

	decode  []*work
	prompts []*work
	busy    bool
	// slowdown stretches each step; 1 is the configured speed.
	slowdown float64
	// dead engines finish no step.
	dead bool
	// sequences is the number of requests that have state here.
	sequences int
	prefixes  prefixCache
	// tokensRun counts the tokens that were run.
	tokensRun int64
}

// work is tokens of one request at one engine.
type work struct {
	remaining int
	priority  int
	done      func()
}

// enqueue queues work and begins a step if the engine is idle.
func (e *engine) enqueue(w *work) {
	if w.remaining == 1 {
		e.decode = append(e.decode, w)
	} else {
		e.enqueuePrompt(w)
	}
	e.beginStep()
}

// enqueuePrompt inserts a prompt behind those of the same or a higher priority.
func (e *engine) enqueuePrompt(w *work) {
	at := len(e.prompts)
	for at > 0 && e.prompts[at-1].priority < w.priority {
		at--
	}
	e.prompts = append(e.prompts, nil)
	copy(e.prompts[at+1:], e.prompts[at:])
	e.prompts[at] = w
}

// beginStep starts a step if there is work.
func (e *engine) beginStep() {
	if e.busy || e.dead {
		return
	}
	room := e.accelerator.MaxTokens
	var finished []*work
	n := min(room, len(e.decode))
	finished = append(finished, e.decode[:n]...)
	e.decode = e.decode[n:]
	room -= n
	for room > 0 && len(e.prompts) > 0 {
		w := e.prompts[0]
		taken := min(room, w.remaining)
		w.remaining -= taken
		room -= taken
		if w.remaining > 0 {
			break
		}
		finished = append(finished, w)
		e.prompts = e.prompts[1:]
	}
	tokens := e.accelerator.MaxTokens - room
	if tokens == 0 {
		return
	}
	e.busy = true
	e.tokensRun += int64(tokens)
	step := e.accelerator.StepTime(e.server.Layers.Count(), tokens)
	e.clock.After(scale(step, e.slowdown), func() { e.endStep(finished) })
}

func (e *engine) endStep(finished []*work) {
	e.busy = false
	if e.dead {
		return
	}
	for _, w := range finished {
		w.done()
	}
	e.beginStep()
}

// load returns what the engine reports.
func (e *engine) load() savoryengine.Load {
	queued := 0
	for _, w := range e.prompts {
		queued += w.remaining
	}
	return savoryengine.Load{Server: e.server.Name, At: e.clock.Now, Running: e.sequences, Queued: queued}
}

// prefixCache holds the prefixes that an engine has cached, oldest first.
type prefixCache struct {
	capacity int
	prefixes []uint64
}

// access reports whether the prefix is cached, and caches it.
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
