// Package savoryecho tells two peers with different clocks how old a message may be. A
// message carries the number of the last message that its sender received, so its receiver
// knows that it was made after that one was sent.
package savoryecho

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Stamp goes with each message between two peers. Number identifies the message among
// those of its sender; 0 means that the sender stamps none. Echo is the Number of the last
// message that the sender received, 0 if there is none, and Held is how long before it
// received that one.
type Stamp struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	Number uint64
	Echo   uint64
	Held   time.Duration
}

// Check returns an error if the stamp is not well formed.
func (s Stamp) Check() error {
	if s.Held < 0 {
		return fmt.Errorf("Stamp.Held: %s is below 0", s.Held)
	}
	if s.Number == 0 && s.Echo != 0 {
		return fmt.Errorf("Stamp.Number: is 0 beside Echo %d", s.Echo)
	}
	return nil
}

// sentKept is the number of sent messages whose times are kept, in messages.
const sentKept = 16

// Peer stamps the messages to one peer and dates those from it. The zero value is ready
// for use. It isn't safe for concurrent use.
type Peer struct {
	number     uint64
	sent       [sentKept]sentMessage
	received   uint64
	receivedAt time.Time
}

type sentMessage struct {
	number uint64
	at     time.Time
}

// Send returns the stamp of a message that is made now.
func (p *Peer) Send(now time.Time) Stamp {
	if p.number == 0 {
		// An echo of a message of an earlier process at this address must not match.
		p.number = rand.Uint64N(1 << 63)
	}
	p.number++
	p.sent[p.number%sentKept] = sentMessage{number: p.number, at: now}
	s := Stamp{Number: p.number}
	if p.received != 0 {
		s.Echo, s.Held = p.received, max(0, now.Sub(p.receivedAt))
	}
	return s
}

// Receive records the stamp of a message that arrives now and returns a time before which
// the message wasn't made. It is the zero time if the stamp tells none.
func (p *Peer) Receive(s Stamp, now time.Time) time.Time {
	if s.Number == 0 {
		return time.Time{}
	}
	p.received, p.receivedAt = s.Number, now
	sent := p.sent[s.Echo%sentKept]
	if s.Echo == 0 || sent.number != s.Echo {
		return time.Time{}
	}
	if madeAt := sent.at.Add(s.Held); madeAt.Before(now) {
		return madeAt
	}
	return now
}
