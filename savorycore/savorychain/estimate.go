package savorychain

// This file defines the estimates of an engine's work and of its times.

import (
	"math"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// minPromptShareDivisor is the inverse of the fraction of each step that is
// reserved for prompts, whatever the number of running requests.
const minPromptShareDivisor = 8

// estimatedWork estimates the work of all entries at the server now. It adds
// the last load report, decayed with its age, and the work that this entry sent
// and the report does not include.
func (s *serverState) estimatedWork(now time.Time) Work {
	own := 0
	for _, p := range s.pending {
		if !p.done {
			own += p.tokens
		}
	}
	if s.reportAt.IsZero() {
		return Work{Running: s.running, Prompt: own}
	}
	age := now.Sub(s.reportAt).Seconds()
	others := float64(max(0, s.report.Running-s.runningAtReport)) * math.Exp2(-age/runningHalfLife.Seconds())
	waiting := float64(s.report.Prompt) * math.Exp2(-age/promptHalfLife.Seconds())
	return Work{Running: s.running + int(math.Round(others)), Prompt: own + int(math.Round(waiting))}
}

// batchSize returns the number of running requests that take part in one step
// at this engine. Each request has one token in flight, and the token is at
// this stage for about the stage's fraction of the model's layers.
func (s *serverState) batchSize(running, layers int) int {
	layerFraction := float64(s.server.Layers.Count()) / float64(layers)
	return max(1, int(math.Round(float64(running)*layerFraction)))
}

// tokenTime returns the time between two tokens of a further request at this
// engine, for a model of layers. If more requests run than fit into one step, a
// request takes part in only some of the steps.
func (s *serverState) tokenTime(work Work, layers int) time.Duration {
	batch := s.batchSize(work.Running+1, layers)
	maxBatch := s.accelerator.MaxTokens
	if work.Prompt > 0 {
		// Queued prompts fill the steps.
		return s.accelerator.StepTime(s.server.Layers.Count(), maxBatch) * time.Duration(1+batch/maxBatch)
	}
	step := s.accelerator.StepTime(s.server.Layers.Count(), min(batch, maxBatch))
	if batch <= maxBatch {
		return step
	}
	return time.Duration(float64(step) * float64(batch) / float64(maxBatch))
}

// promptTime returns the time until a prompt of tokens has been run after the
// prompts that are already queued, for a model of layers. Running requests take
// their share of each step first.
func (s *serverState) promptTime(work Work, tokens, layers int) time.Duration {
	batch := s.batchSize(work.Running, layers)
	maxBatch := s.accelerator.MaxTokens
	promptCapacity := max(maxBatch-batch, maxBatch/minPromptShareDivisor, 1)
	waiting := work.Prompt + tokens
	full := waiting / promptCapacity
	rest := waiting % promptCapacity
	t := time.Duration(full) * s.accelerator.StepTime(s.server.Layers.Count(), min(maxBatch, batch+promptCapacity))
	if rest > 0 {
		t += s.accelerator.StepTime(s.server.Layers.Count(), min(maxBatch, batch+rest))
	}
	return t
}

// transferTime returns the time to send the activations of tokens over a link.
func transferTime(link savoryworld.Link, activationBytes int64, tokens int) time.Duration {
	t := link.Delay.AsDuration()
	if link.BytesPerSecond > 0 {
		bytes := float64(activationBytes) * float64(tokens)
		t += time.Duration(bytes / float64(link.BytesPerSecond) * float64(time.Second))
	}
	return t
}
