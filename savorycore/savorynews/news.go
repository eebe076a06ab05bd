// Package savorynews decides whether the configuration that an entry has in force may be out
// of date, from the versions that the entry hears of and from the readings of the store that
// found none newer. It is pure: times are arguments.
package savorynews

import (
	"slices"
	"time"
)

// maxReadings bounds the IDs of readings that a Tracker remembers. Within the time that an ID
// travels among entries, a reader makes a few readings.
const maxReadings = 64

// Doubt is the reason why the configuration in force may be out of date.
type Doubt string

// The doubts.
const (
	// None: no version is newer, by a reading of the store that is recent enough.
	None Doubt = ""
	// Behind: a newer version exists.
	Behind Doubt = "Behind"
	// Unconfirmed: the last reading of the store that found no newer version is too old.
	Unconfirmed Doubt = "Unconfirmed"
)

// Tracker holds what an entry knows about newer versions. The zero value is ready for use. A
// Tracker is not safe for concurrent use.
type Tracker struct {
	inForce int64
	// newest is the newest version heard of, heardAt when it was first.
	newest  int64
	heardAt time.Time
	// confirmedAt is the time of the last known reading of the store that found no version
	// newer than inForce, reading its ID.
	confirmedAt time.Time
	reading     uint64
	// seen are the IDs of readings whose times were used, oldest first. A time that comes back
	// over other entries looks newer by the delays of the messages.
	seen []uint64
}

// Hear records that a version exists. It reports whether the entry did not know it and has
// none as new in force.
func (t *Tracker) Hear(version int64, now time.Time) bool {
	if version <= max(t.inForce, t.newest) {
		return false
	}
	t.newest, t.heardAt = version, now
	return true
}

// SetInForce records that a version is in force. It returns how long ago the entry heard of
// it first, 0 if it had not.
func (t *Tracker) SetInForce(version int64, now time.Time) time.Duration {
	t.inForce = max(t.inForce, version)
	if version != t.newest {
		return 0
	}
	return now.Sub(t.heardAt)
}

// Confirm records a reading of the store, at a time, that found no version newer than the
// one in force. The ID of a reading is never 0. Each ID counts once.
func (t *Tracker) Confirm(reading uint64, at time.Time) {
	if slices.Contains(t.seen, reading) {
		return
	}
	t.seen = append(t.seen, reading)
	if len(t.seen) > maxReadings {
		t.seen = t.seen[1:]
	}
	if at.After(t.confirmedAt) {
		t.confirmedAt, t.reading = at, reading
	}
}

// LastReading returns the ID of the last confirming reading and its age. The ID is 0 if
// there was none.
func (t *Tracker) LastReading(now time.Time) (reading uint64, age time.Duration) {
	if t.reading == 0 {
		return 0, 0
	}
	return t.reading, max(0, now.Sub(t.confirmedAt))
}

// Doubt reports whether the version in force may be out of date. maxAge is the time within
// which a new version must be in force.
func (t *Tracker) Doubt(now time.Time, maxAge time.Duration) Doubt {
	switch {
	case t.newest > t.inForce:
		return Behind
	case t.reading == 0 || now.Sub(t.confirmedAt) > maxAge:
		return Unconfirmed
	}
	return None
}

// BehindFor returns how long the entry has known that a newer version exists, 0 if it knows of
// none.
func (t *Tracker) BehindFor(now time.Time) time.Duration {
	if t.newest <= t.inForce {
		return 0
	}
	return now.Sub(t.heardAt)
}
