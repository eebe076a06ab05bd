// Package savoryadmission decides which requests get the memory of engines that is
// left when it runs short.
//
// Entries do not count together. Each applies the same rule to the loads that all of
// them exchange, so they refuse the same kinds of requests at the same load: less
// urgent requests are admitted only while memory is left for the more urgent ones that
// may come until the entries know of each other's.
//
// The package does no I/O and reads no clock.
package savoryadmission

import "time"

const (
	// maxHeadroom bounds the fraction of the memory that is kept free from one rank.
	// Beyond it, memory that nobody uses would cost the less urgent callers more than it
	// gives to the others.
	maxHeadroom = 0.15
	// maxRank bounds the ranks that differ, so that the least urgent requests keep
	// more than half of the memory.
	maxRank = 3
	// waitFraction is the fraction of the latency objective for which a request waits
	// for memory. The rest is for the reading of its prompt.
	waitFraction = 0.5
)

// Headroom returns the fraction of an engine's memory that a new request must leave
// free. rank is by how much it is less urgent than the most urgent requests of its
// service, objective their latency objective, and answerTime the time for which a
// request holds its memory.
//
// In the time of the objective the fraction objective/answerTime of the memory becomes
// free. A more urgent request that finds none can wait no longer than that, so that
// much is kept for it.
func Headroom(rank int, objective, answerTime time.Duration) float64 {
	if rank <= 0 || objective <= 0 || answerTime <= 0 {
		return 0
	}
	return float64(min(rank, maxRank)) * min(maxHeadroom, objective.Seconds()/answerTime.Seconds())
}

// Wait returns for how long a request may wait for memory and still be in time. A
// request that gets none within it is refused: it would only be late, and keep the
// memory from requests that can still be in time.
func Wait(objective time.Duration) time.Duration {
	return time.Duration(waitFraction * float64(max(0, objective)))
}
