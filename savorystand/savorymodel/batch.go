package savorymodel

// This file defines the batch: the steps that an engine runs.

import (
	"context"
	"sync"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// batch runs work in steps. Each step takes tokens from the waiting work, up to
// the accelerator's bound, and lasts the accelerator's step time.
type batch struct {
	accelerator savoryworld.Accelerator
	layers      int

	mu      sync.Mutex
	waiting []*work
	running bool
}

// work is the tokens of one request at one stage.
type work struct {
	remaining int
	done      chan struct{}
}

// run waits until tokens have been run, or ctx ends.
func (b *batch) run(ctx context.Context, tokens int) error {
	w := &work{remaining: tokens, done: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	if !b.running {
		b.running = true
		go b.runSteps()
	}
	b.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// queued returns the number of requests and of tokens that wait.
func (b *batch) queued() (int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := 0
	for _, w := range b.waiting {
		tokens += w.remaining
	}
	return len(b.waiting), tokens
}

// runSteps runs runSteps until no work waits.
func (b *batch) runSteps() {
	for {
		finished, tokens := b.takeStep()
		if tokens == 0 {
			return
		}
		time.Sleep(b.accelerator.StepTime(b.layers, tokens))
		for _, w := range finished {
			close(w.done)
		}
	}
}

// takeStep takes the tokens of one step, in order of arrival, and returns the
// work that the step finishes.
func (b *batch) takeStep() ([]*work, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := b.accelerator.MaxTokens
	var finished, rest []*work
	for _, w := range b.waiting {
		taken := min(room, w.remaining)
		room -= taken
		w.remaining -= taken
		if w.remaining == 0 {
			finished = append(finished, w)
			continue
		}
		rest = append(rest, w)
	}
	b.waiting = rest
	tokens := b.accelerator.MaxTokens - room
	b.running = tokens > 0
	return finished, tokens
}
