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
		b.nextServer()
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

// Guards against the text of an error, or its head, in the middle of a stream.
func TestForeignEventsAreNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		text, want string
		foreign    bool
	}{
		{"id: 2\ndata: b\n\n", "id: 2\ndata: b\n\n", false},
		{": still there\n\nid: 2\ndata: b\n\n", ": still there\n\nid: 2\ndata: b\n\n", false},
		{"internal error\n\n", "", true},
		{"data: {\"error\":\"no memory\"}\n\n", "", true},
		{"id: 2\ndata: b\n\nHTTP/1.1 500 Error\nContent-Length: 5\n\nerror\n\n", "id: 2\ndata: b\n\n", true},
		{"id: two\ndata: b\n\n", "", true},
	} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			var b eventBuffer
			b.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
			b.takeComplete()
			b.nextServer()
			b.add([]byte(c.text))
			out, _ := b.takeComplete()
			is.Equal(string(out), c.want)
			is.Equal(b.foreign, c.foreign)
			b.nextServer()
			is.True(!b.foreign)
		})
	}
}
