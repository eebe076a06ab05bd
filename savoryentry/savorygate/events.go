package savorygate

// This file defines how the events of a stream are told apart.

import (
	"bytes"
	"strconv"
)

// eventBuffer collects bytes of an event stream and hands out whole events
// only: a server may break off in the middle of one.
type eventBuffer struct {
	data []byte
	// last is the ID of the last event that was handed out.
	last    int64
	hasLast bool
}

var eventSeparator = []byte("\n\n")

// add takes bytes from a server.
func (b *eventBuffer) add(p []byte) { b.data = append(b.data, p...) }

// discardPartial drops what is left of a broken server's events.
func (b *eventBuffer) discardPartial() { b.data = b.data[:0] }

// takeComplete returns the whole events that were not handed out before, and their
// number. The result is valid until the next call of add.
func (b *eventBuffer) takeComplete() ([]byte, int) {
	end := bytes.LastIndex(b.data, eventSeparator)
	if end < 0 {
		return nil, 0
	}
	whole := b.data[:end+len(eventSeparator)]
	rest := b.data[end+len(eventSeparator):]
	var out []byte
	n := 0
	for len(whole) > 0 {
		size := bytes.Index(whole, eventSeparator) + len(eventSeparator)
		event := whole[:size]
		whole = whole[size:]
		id, ok := eventID(event)
		if ok && b.hasLast && id <= b.last {
			continue
		}
		if ok {
			b.last, b.hasLast = id, true
			n++
		}
		out = append(out, event...)
	}
	b.data = append(b.data[:0], rest...)
	return out, n
}

// hasPartial reports whether bytes of an event without its end are left.
func (b *eventBuffer) hasPartial() bool { return len(b.data) > 0 }

// lastID returns the ID of the last event, or fallback.
func (b *eventBuffer) lastID(fallback string) string {
	if !b.hasLast {
		return fallback
	}
	return strconv.FormatInt(b.last, 10)
}

// eventID returns the ID of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
