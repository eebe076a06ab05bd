package savoryintake

// This file decides which connection gives way to a new one.

import (
	"iter"
	"time"
)

// quietTime is how long a connection on which a request was served must have been quiet before it
// gives way: its caller may be about to use it again.
const quietTime = time.Second

// Conn is what is known of a connection.
type Conn struct {
	// Serving is set while a request is served on it.
	Serving bool
	// Known is set once a request on it was accepted.
	Known bool
	// Closing is set once it gave way.
	Closing bool
	// ReadAt is when bytes last arrived, or when it was opened.
	ReadAt time.Time
}

// Quietest returns the connection that gives way to a new one: of those on which no request was
// accepted yet, the one that was quiet for longest, otherwise of the quiet ones between two
// requests. The result is false if there is none.
func Quietest[K any](conns iter.Seq2[K, Conn], now time.Time) (K, bool) {
	var key K
	var chosen *Conn
	for k, c := range conns {
		if c.Serving || c.Closing || c.Known && now.Sub(c.ReadAt) < quietTime {
			continue
		}
		if chosen == nil || chosen.Known && !c.Known || chosen.Known == c.Known && c.ReadAt.Before(chosen.ReadAt) {
			key, chosen = k, &c
		}
	}
	return key, chosen != nil
}
