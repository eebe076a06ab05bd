package savorychain

// This file defines the estimates of an engine's work and of its times.

import (
	"math"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// minPromptPart is the part of a step, as its inverse, that is left to prompts
// however many requests run.
const minPromptPart = 8

// load estimates the work at the server now: the last report, faded with age,
// and what this entry sent that the report does not include.
func (s *serverState) load(now time.Time) Work {
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
	others := float64(max(0, s.report.Running-s.runningThen)) * math.Exp2(-age/runningHalfLife.Seconds())
	waiting := float64(s.report.Prompt) * math.Exp2(-age/promptHalfLife.Seconds())
	return Work{Running: s.running + int(math.Round(others)), Prompt: own + int(math.Round(waiting))}
}

// batchOf returns the number of running requests that take part in one step
// here. Each request has one token under way, which is at this stage for about
// the stage's part of the model's layers.
func (s *serverState) batchOf(running, layers int) int {
	part := float64(s.server.Layers.Count()) / float64(layers)
	return max(1, int(math.Round(float64(running)*part)))
}

// tokenTime returns the time between two tokens of a request at this engine,
// with the request itself counted, for a model of layers. With more requests
// than fit into one step a request takes part in only some of the steps.
func (s *serverState) tokenTime(load Work, layers int) time.Duration {
	batch := s.batchOf(load.Running+1, layers)
	room := s.accelerator.MaxTokens
	if load.Prompt > 0 {
		// Waiting prompts fill the steps.
		return s.accelerator.StepTime(s.server.Layers.Count(), room) * time.Duration(1+batch/room)
	}
	step := s.accelerator.StepTime(s.server.Layers.Count(), min(batch, room))
	if batch <= room {
		return step
	}
	return time.Duration(float64(step) * float64(batch) / float64(room))
}

// promptTime returns the time until a prompt of tokens has been run, behind
// the prompts that wait already, for a model of layers. Running requests take
// their part of each step first.
func (s *serverState) promptTime(load Work, tokens, layers int) time.Duration {
	batch := s.batchOf(load.Running, layers)
	most := s.accelerator.MaxTokens
	room := max(most-batch, most/minPromptPart, 1)
	waiting := load.Prompt + tokens
	full := waiting / room
	rest := waiting % room
	t := time.Duration(full) * s.accelerator.StepTime(s.server.Layers.Count(), min(most, batch+room))
	if rest > 0 {
		t += s.accelerator.StepTime(s.server.Layers.Count(), min(most, batch+rest))
	}
	return t
}

// transferTime returns the time that tokens take over a link.
func transferTime(link savoryworld.Link, activationBytes int64, tokens int) time.Duration {
	t := link.Delay.AsDuration()
	if link.BytesPerSecond > 0 {
		bytes := float64(activationBytes) * float64(tokens)
		t += time.Duration(bytes / float64(link.BytesPerSecond) * float64(time.Second))
	}
	return t
}
