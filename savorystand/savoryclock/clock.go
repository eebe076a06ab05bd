// Package savoryclock provides a virtual clock with a queue of events, for
// simulations that a seed makes reproducible.
package savoryclock

import (
	"container/heap"
	"time"
)

// Clock runs events in order of their times, and events of the same time in the
// order in which they were scheduled. The zero value is ready to use.
type Clock struct {
	// Now is the current virtual time.
	Now time.Time

	events eventHeap
	count  uint64
}

// event is a function that is scheduled for a virtual time.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// After schedules run at d after Now.
func (c *Clock) After(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: c.Now.Add(d), seq: c.count, run: run})
}

// RunUntil runs the events up to and including end and sets Now to end.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e, _ := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.run()
	}
	c.Now = end
}

type eventHeap []event

var _ heap.Interface = (*eventHeap)(nil)

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, then by the order in which they were scheduled.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap swaps two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(v any) {
	e, _ := v.(event)
	*h = append(*h, e)
}

// Pop removes and returns the last event.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
