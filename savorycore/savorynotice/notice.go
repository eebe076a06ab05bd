// Package savorynotice decides when an entry may send a request to a backend server, by what
// the server states about itself in its responses: the rate of requests that it accepts from
// all entries together, a pause that it asks of this entry, or that it is leaving.
//
// A Board makes no call for a request. Each entry has a share of each limit: its fraction of
// the demand for the service at all entries, which they announce to one another. Entries also
// exchange the limits that they were told, so that an entry knows one before its own first
// request. Where a limit is too low for all entries to hold a token, a few of them, the same
// in everybody's view, share it.
//
// The package does no I/O and reads no clock. A Board is not safe for concurrent use.
package savorynotice

import (
	"errors"
	"fmt"
	"math"
	"time"
)

const (
	// maxLimit bounds a stated limit, in requests per second. No server handles as many.
	maxLimit = 1e9
	// MaxPause bounds a pause. A server that asks for more is asked again after it.
	MaxPause = time.Hour
	// maxStates bounds the limits in one message and on a Board: twice the servers of the
	// largest fleet.
	maxStates = 16384
	// maxSharedStates is the number of limits that entries pass on: 80 KB in a message.
	maxSharedStates = 1024
)

// Notice is what one response states about the server that sent it.
type Notice struct {
	// Limit is the rate of requests, per second, that the server accepts from all entries
	// together; 0 if it states none.
	Limit float64
	// LimitUnknown is set if the stated limit is not valid. The last known one stays.
	LimitUnknown bool
	// Pause is how long the server wants no request from this entry; 0 if it states none.
	Pause time.Duration
	// Leaving is set if the server takes no new work.
	Leaving bool
	// InReport is set if the response is a report on the server's state, and not to a
	// request. Servers need not state their limit there.
	InReport bool
}

// CheckLimit returns an error unless v is above 0, in requests per second, and finite.
func CheckLimit(v float64) error {
	if math.IsNaN(v) || v <= 0 || v > maxLimit {
		return fmt.Errorf("%g is not a rate above 0 and up to %g requests per second", v, float64(maxLimit))
	}
	return nil
}

// PauseOf returns the pause of the given number of seconds, at most MaxPause. The error
// states that it is not a number of seconds, or below 0.
func PauseOf(seconds float64) (time.Duration, error) {
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, fmt.Errorf("%g is not a time of 0 or more seconds", seconds)
	}
	return time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second)), nil
}

// State is the limit of one server, as an entry was told by the server or by its peers.
type State struct {
	Server string
	// Born is the start of the server's incarnation; zero if it is not known.
	Born time.Time
	// Limit is 0 if the server has stated lately that it has none any more.
	Limit float64 `msgpack:",omitempty"`
	// InReports is set if the server states its limit in reports as well.
	InReports bool `msgpack:",omitempty"`
	// Age is the time since the response that stated it.
	Age time.Duration
}

// Check returns an error if the state is not well formed.
func (s *State) Check() error {
	if s.Server == "" {
		return errors.New("field Server is empty")
	}
	if s.Age < 0 {
		return fmt.Errorf("field Age: %s is below 0", s.Age)
	}
	if s.Limit != 0 {
		if err := CheckLimit(s.Limit); err != nil {
			return fmt.Errorf("field Limit: %w", err)
		}
	}
	return nil
}

// Demand is the rate of requests for one service, per second, from the callers of one or
// more entries.
type Demand struct {
	Service string
	Rate    float64
}

// CheckAll returns an error if the states or demands of a message are not well formed.
func CheckAll(states []State, demands []Demand) error {
	if len(states) > maxStates || len(demands) > maxStates {
		return fmt.Errorf("%d limits and %d demands, more than %d", len(states), len(demands), maxStates)
	}
	for i := range states {
		if err := states[i].Check(); err != nil {
			return fmt.Errorf("limit %d: %w", i, err)
		}
	}
	for i, d := range demands {
		if d.Service == "" || math.IsNaN(d.Rate) || d.Rate < 0 || d.Rate > maxLimit {
			return fmt.Errorf("demand %d: service %q with %g requests per second", i, d.Service, d.Rate)
		}
	}
	return nil
}
