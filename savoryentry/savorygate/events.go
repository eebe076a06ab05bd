package savorygate

// This file splits the byte stream of a server into events.

import (
	"bytes"
	"errors"
	"strconv"
)

// maxPartialEventBytes bounds the bytes of a server without the end of an event. Events
// carry a few tokens each.
const maxPartialEventBytes = 256 << 10

// errEventTooLarge is the failure of a server that does not end an event.
var errEventTooLarge = errors.New("the server sent too many bytes without the end of an event")

// eventBuffer collects bytes of an event stream and returns only complete events: a
// server may fail in the middle of one.
type eventBuffer struct {
	data []byte
	// last is the ID of the last event that was returned.
	last    int64
	hasLast bool
	// searched is the number of bytes of data that contain no separator.
	searched int
	// foreign is set if the current server sent an event without an ID after events with
	// IDs, such as the text of an error.
	foreign bool
}

var eventSeparator = []byte("\n\n")

// add appends bytes from a server.
func (b *eventBuffer) add(p []byte) { b.data = append(b.data, p...) }

// nextServer discards the incomplete event of a failed server: another one continues.
func (b *eventBuffer) nextServer() {
	b.data, b.searched, b.foreign = b.data[:0], 0, false
}

// tooLarge reports whether the incomplete event exceeds maxPartialEventBytes.
func (b *eventBuffer) tooLarge() bool { return len(b.data) > maxPartialEventBytes }

// takeComplete returns the complete events that were not returned before, and the
// number of those with an ID. The result is valid until the next call of add.
func (b *eventBuffer) takeComplete() ([]byte, int) {
	// The separator may begin with the last byte that was searched before.
	from := max(0, b.searched-1)
	end := bytes.LastIndex(b.data[from:], eventSeparator)
	if end < 0 {
		b.searched = len(b.data)
		return nil, 0
	}
	end += from
	complete := b.data[:end+len(eventSeparator)]
	rest := b.data[end+len(eventSeparator):]
	var out []byte
	n := 0
	for len(complete) > 0 {
		size := bytes.Index(complete, eventSeparator) + len(eventSeparator)
		event := complete[:size]
		complete = complete[size:]
		id, ok := eventID(event)
		if !ok && b.hasLast && !isComment(event) {
			b.foreign = true
			break
		}
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
	b.searched = len(b.data)
	return out, n
}

// hasPartial reports whether the buffer holds an incomplete event.
func (b *eventBuffer) hasPartial() bool { return len(b.data) > 0 }

// lastID returns the ID of the last event with an ID, or fallback if there was none.
func (b *eventBuffer) lastID(fallback string) string {
	if !b.hasLast {
		return fallback
	}
	return strconv.FormatInt(b.last, 10)
}

// isComment reports whether an event has only comments.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if text := bytes.TrimSpace(line); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the ID of an event, and false if it has no valid one.
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
