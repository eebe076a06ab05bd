package savorystream

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryworld"
)

// chainOf returns a chain of n hops that covers the layers.
func chainOf(n, layers, attempt int) []savoryengine.Hop {
	var chain []savoryengine.Hop
	for i := range n {
		chain = append(chain, savoryengine.Hop{
			Server: fmt.Sprintf("s%d-%d", attempt, i),
			Layers: savoryworld.LayerRange{From: i * layers / n, To: (i + 1) * layers / n},
		})
	}
	return chain
}

// validToken returns the token that the chain of s sends for the index.
func validToken(s *Sequence, attempt, index int) *savoryengine.Token {
	t := &savoryengine.Token{Request: s.Request, Attempt: attempt, Index: index, Text: fmt.Sprint(" w", index)}
	for _, hop := range s.chain {
		t.Ran = append(t.Ran, savoryengine.ExecutedHop{Server: hop.Server, Layers: hop.Layers})
	}
	return t
}

// Guards against lost, repeated or reordered tokens for any mix of valid and
// faulty tokens, and against tokens for which not every layer ran once and in
// order.
func TestSequenceAcceptsOnlyValidTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 12
		s := &Sequence{Request: "r", Layers: layers}
		attempt := s.BeginAttempt(chainOf(rapid.IntRange(1, 4).Draw(t, "stages"), layers, 1))
		next := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			token := validToken(s, attempt, next)
			fault := rapid.IntRange(0, 9).Draw(t, "fault")
			want := Reject
			switch fault {
			case 0:
				token.Request = "other"
			case 1:
				token.Index += rapid.SampledFrom([]int{-2, -1, 1, 2}).Draw(t, "by")
			case 2:
				token.Attempt = attempt + 1
			case 3:
				token.Ran = token.Ran[1:]
			case 4:
				token.Ran = append(token.Ran, token.Ran[len(token.Ran)-1])
			case 5:
				token.Ran[0].Layers.To--
			case 6:
				token.Ran[0].Server = "stranger"
			case 7:
				if attempt == 1 {
					continue
				}
				token.Attempt, want = attempt-1, Drop
			case 8:
				attempt = s.BeginAttempt(chainOf(rapid.IntRange(1, 4).Draw(t, "stages"), layers, attempt+1))
				continue
			default:
				want = Accept
			}
			got, err := s.Receive(token)
			if got != want || (err != nil) != (want == Reject) {
				t.Fatalf("fault %d: outcome %d, want %d, error %v", fault, got, want, err)
			}
			if got == Accept {
				next++
			}
			if len(s.Emitted()) != next {
				t.Fatalf("%d tokens emitted, want %d", len(s.Emitted()), next)
			}
		}
		for i, text := range s.Emitted() {
			if text != fmt.Sprint(" w", i) {
				t.Fatalf("token %d is %q", i, text)
			}
		}
	})
}

// Guards against a chain that leaves out a layer: its tokens are rejected
// although all its hops ran.
func TestChainWithGapIsRejected(t *testing.T) {
	s := &Sequence{Request: "r", Layers: 12}
	chain := chainOf(2, 12, 1)
	chain[1].Layers.From++
	attempt := s.BeginAttempt(chain)
	if got, err := s.Receive(validToken(s, attempt, 0)); got != Reject || err == nil {
		t.Fatalf("outcome %d, error %v", got, err)
	}
}
