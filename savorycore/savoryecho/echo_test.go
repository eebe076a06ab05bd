package savoryecho

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a message that counts as younger than it is, whatever is lost, late or
// out of order, and whatever the clock of the other side shows.
func TestMessageIsNotYounger(t *testing.T) {
	type message struct {
		stamp  Stamp
		madeAt time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		var peers [2]Peer
		var inbox [2][]message
		offsets := [2]time.Duration{0, time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			side := rapid.IntRange(0, 1).Draw(t, "side")
			if len(inbox[side]) == 0 || rapid.Bool().Draw(t, "send") {
				s := peers[side].Send(now.Add(offsets[side]))
				is.NoErr(s.Check())
				inbox[1-side] = append(inbox[1-side], message{s, now})
				continue
			}
			i := rapid.IntRange(0, len(inbox[side])-1).Draw(t, "message")
			m := inbox[side][i]
			inbox[side] = append(inbox[side][:i], inbox[side][i+1:]...)
			got := peers[side].Receive(m.stamp, now.Add(offsets[side]))
			is.True(!got.After(m.madeAt.Add(offsets[side])))
		}
	})
}

// Guards against ages that grow although exchanges are quick: a message counts as older
// only by the time that the messages travel.
func TestMessageIsHardlyOlder(t *testing.T) {
	is := is.New(t)
	const trip = time.Millisecond
	var a, b Peer
	now := start
	for i := range 100 {
		request := a.Send(now)
		requestMade := b.Receive(request, now.Add(trip))
		response := b.Send(now.Add(trip))
		responseMade := a.Receive(response, now.Add(2*trip))
		is.Equal(now.Add(2*trip).Sub(responseMade), 2*trip)
		if i > 0 {
			is.Equal(now.Add(trip).Sub(requestMade), 2*trip)
		}
		now = now.Add(250 * time.Millisecond)
	}
}

// Guards against an age from an echo of another process, or of a message of long ago.
func TestUnknownNumbers(t *testing.T) {
	is := is.New(t)
	var a, b Peer
	first := a.Send(start)
	b.Receive(first, start)
	late := b.Send(start)
	for range sentKept {
		a.Send(start)
	}
	is.True(a.Receive(late, start).IsZero())           // the sent time is no longer kept
	is.True(new(Peer).Receive(late, start).IsZero())   // a restarted receiver
	is.True(a.Receive(Stamp{}, start).IsZero())        // a peer that stamps nothing
	is.True(Stamp{Number: 1, Held: -1}.Check() != nil) // bad input
	is.True(Stamp{Echo: 1}.Check() != nil)
}
