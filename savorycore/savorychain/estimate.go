package savorychain

// This file defines the estimates of an engine's work and of its times.

import (
	"math"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// load estimates the work at the server now: the last report, faded with age,
// corrected by what this entry sent and saw finished since.
func (s *serverState) load(now time.Time) Work {
	if s.reportAt.IsZero() {
		return s.own
	}
	fade := math.Exp2(-now.Sub(s.reportAt).Seconds() / reportHalfLife.Seconds())
	return Work{
		Running: corrected(s.report.Running, s.own.Running, s.ownThen.Running, fade),
		Prompt:  corrected(s.report.Prompt, s.own.Prompt, s.ownThen.Prompt, fade),
	}
}

// corrected returns the estimate of one amount. Of the reported amount, the
// part beyond this entry's own work then belongs to other entries and fades.
func corrected(report, own, ownThen int, fade float64) int {
	others := max(0, report-ownThen)
	return own + int(math.Round(float64(others)*fade))
}

// stepTime returns the time of the engine's step when running requests take
// part in it.
func (s *serverState) stepTime(running int) time.Duration {
	tokens := min(max(running, 1), s.accelerator.MaxTokens)
	return s.accelerator.StepTime(s.server.Layers.Count(), tokens)
}

// tokenTime returns the time between two tokens of a request at this engine,
// with the request itself counted. With more requests than fit into one step a
// request takes part in only some of the steps.
func (s *serverState) tokenTime(load Work) time.Duration {
	running := load.Running + 1
	step := s.stepTime(running)
	if running <= s.accelerator.MaxTokens {
		return step
	}
	return time.Duration(float64(step) * float64(running) / float64(s.accelerator.MaxTokens))
}

// promptTime returns the time until a prompt of tokens has been run, behind
// the prompts that wait already. Running requests take their part of each
// step.
func (s *serverState) promptTime(load Work, tokens int) time.Duration {
	room := max(s.accelerator.MaxTokens-load.Running, s.accelerator.MaxTokens/8, 1)
	steps := (load.Prompt + tokens + room - 1) / room
	full := s.accelerator.StepTime(s.server.Layers.Count(), min(s.accelerator.MaxTokens, load.Running+load.Prompt+tokens))
	return time.Duration(max(steps, 1)) * full
}

// transferTime returns the time that tokens take over a link.
func transferTime(link savoryworld.Link, activationBytes int64, tokens int) time.Duration {
	t := link.Delay.D()
	if link.BytesPerSecond > 0 {
		bytes := float64(activationBytes) * float64(tokens)
		t += time.Duration(bytes / float64(link.BytesPerSecond) * float64(time.Second))
	}
	return t
}
