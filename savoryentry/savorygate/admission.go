package savorygate

// This file admits streams to the memory of engines by their urgency, where the routes of a
// service have different priorities.

import (
	"errors"
	"time"

	"savorycart.example/savorycore/savoryadmission"
	"savorycart.example/savorycore/savorypath"
)

// headroom returns the fraction of each engine's memory that the stream must leave free for
// more urgent ones.
func (s *stream) headroom() float64 {
	first, ranked := s.table.MostUrgent(s.service.Name)
	if !ranked {
		return 0
	}
	return savoryadmission.Headroom(s.priorityRank(), first.Objective, s.g.view.answerTime(s.service.Name))
}

// mayWaitForMemory reports whether a stream of which nothing has run may wait for memory that
// becomes free, given the error because of which it has no chain.
func (s *stream) mayWaitForMemory(err error, now time.Time) bool {
	if !errors.Is(err, savorypath.ErrFull) || now.Sub(s.startedAt) >= savoryadmission.Wait(s.route.Objective) {
		return false
	}
	_, ranked := s.table.MostUrgent(s.service.Name)
	return ranked
}

// recordMemoryWait counts the end of a wait for memory of a stream of which nothing has run.
func (s *stream) recordMemoryWait(polls int, outcome string) {
	if polls > 0 && !s.mayHaveRun {
		s.g.metrics.memoryWaits.WithLabelValues(outcome).Inc()
	}
}
