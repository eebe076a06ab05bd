package savorymodel

// This file defines the batch of an engine, which runs queued tokens in steps.

import (
	"context"
	"sync"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// batch runs queued work in steps. Each step takes tokens from the waiting work
// in order of arrival, at most MaxTokens of the accelerator, and lasts StepTime
// of the accelerator.
type batch struct {
	accelerator savoryworld.Accelerator
	layers      int

	mu      sync.Mutex
	waiting []*work
	// running reports whether a goroutine runs steps.
	running bool
}

// work is the tokens of one request at one stage.
type work struct {
	// remaining is the number of tokens that are not yet part of a step.
	remaining int
	// done is closed after the step that runs the last token.
	done chan struct{}
}

// run queues tokens and waits until they have been run. It returns the error of
// ctx if ctx ends first; the tokens stay queued.
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

// queued returns the numbers of waiting requests and of their remaining tokens.
func (b *batch) queued() (int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := 0
	for _, w := range b.waiting {
		tokens += w.remaining
	}
	return len(b.waiting), tokens
}

// runSteps runs steps until no work waits.
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

// takeStep removes the tokens of one step from the waiting work, in order of
// arrival. It returns the work that the step completes and the number of tokens
// in the step; 0 means that no work waits.
func (b *batch) takeStep() ([]*work, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	available := b.accelerator.MaxTokens
	var finished, rest []*work
	for _, w := range b.waiting {
		taken := min(available, w.remaining)
		available -= taken
		w.remaining -= taken
		if w.remaining == 0 {
			finished = append(finished, w)
			continue
		}
		rest = append(rest, w)
	}
	b.waiting = rest
	tokens := b.accelerator.MaxTokens - available
	b.running = tokens > 0
	return finished, tokens
}
