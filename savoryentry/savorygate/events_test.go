package savorygate

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Events must come out complete, once and in order, for any split of the bytes and
// any point at which the first server fails.
func TestEventsOnceInOrder(t *testing.T) {
	all := "id: 1\ndata: a\n\nid: 2\nversion: 3\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	rapid.Check(t, func(t *rapid.T) {
		var b eventBuffer
		var out strings.Builder
		feed := func(text string) {
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(t, "part")
				b.add([]byte(text[:n]))
				text = text[n:]
				whole, _ := b.takeComplete()
				out.Write(whole)
			}
		}
		feed(all[:rapid.IntRange(0, len(all)).Draw(t, "broken")])
		b.discardPartial()
		// The next server may begin anywhere at or before the next event.
		from := rapid.Int64Range(0, b.last).Draw(t, "from")
		rest := all
		for range from {
			rest = rest[strings.Index(rest, "\n\n")+2:]
		}
		feed(rest)
		if out.String() != all {
			t.Fatalf("events differ: got %q", out.String())
		}
		if b.hasPartial() {
			t.Fatal("incomplete event is left in the buffer")
		}
	})
}

// The last ID must be that of the last complete event, not of an incomplete one, and
// the fallback before any event.
func TestLastID(t *testing.T) {
	is := is.New(t)
	var b eventBuffer
	is.Equal(b.lastID("7"), "7")
	b.add([]byte("id: 8\ndata: x\n\nid: 9\nda"))
	_, n := b.takeComplete()
	is.Equal(n, 1)
	is.Equal(b.lastID("7"), "8")
	is.True(b.hasPartial())
}

// Guards against an event without an end that grows in memory.
func TestEndlessEventIsTooLarge(t *testing.T) {
	is := is.New(t)
	var b eventBuffer
	for range maxPartialEventBytes / 4 {
		b.add([]byte("abc\n"))
		out, _ := b.takeComplete()
		is.Equal(len(out), 0)
		is.True(!b.tooLarge())
	}
	b.add([]byte("x"))
	is.True(b.tooLarge())
	b.add([]byte("\n\n"))
	out, _ := b.takeComplete()
	is.Equal(len(out), maxPartialEventBytes+3)
}
