package savoryengine

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

var goldenAt = time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC)

func TestGolden(t *testing.T) {
	// Guards against a change of the bytes that engines and entries exchange,
	// such as by a renamed field without a tag or an enum with another text. A
	// process of another build would read zero values.
	layers := savoryworld.LayerRange{From: 3, To: 12}
	chain := []Hop{{Server: "oak-1", Address: netip.MustParseAddrPort("10.0.0.1:8001"), Layers: layers}}
	ran := []ExecutedHop{{Server: "oak-1", Layers: layers}}
	load := Load{Server: "oak-1", At: goldenAt, Running: 2, Queued: 3, Limit: 2.5}
	wanted := Assignment{Model: "saw", Version: "v2", Adapter: "fine", Layers: layers}
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{
		{Name: "run", Value: &Run{
			Request: "r1", Attempt: 2, Model: "saw", Version: "v2", Layers: 24, Chain: chain, Prompt: "cut",
			Emitted: []string{"a"}, MaxTokens: 16, Priority: 3,
			Sampling: Sampling{Temperature: new(0.5), TopP: new(0.9), Seed: new(int64(7)), Stop: []string{"."}},
		}},
		{Name: "token", Value: &Event{Token: &Token{
			Request: "r1", Attempt: 2, Index: 5, Text: "wood", Ran: ran, Loads: []Load{load}, Finish: "length",
		}}, Zero: []string{"Event.Fault"}},
		{Name: "fault", Value: &Event{Fault: &Error{
			Verdict: savoryverdict.MayHaveRun, Server: "oak-1", Leaving: true, PauseSeconds: 1.5, Message: "is full",
		}}, Zero: []string{"Event.Token"}},
		{Name: "step", Value: &Step{
			Request: "r1", Attempt: 2, Index: 5, Model: "saw", Version: "v2", Layers: 24, Chain: chain, Position: 1,
			Activation: 99, Tokens: 4, Ran: ran, Loads: []Load{load},
		}},
		{Name: "cancel", Value: &Cancel{Request: "r1", Attempt: 2}},
		{Name: "order", Value: &Order{Fence: 41, Wanted: wanted}},
		{Name: "status", Value: &Status{Server: "oak-1", Holds: wanted, Leaving: true, Loading: true, Load: load, Fence: 41}},
	})
}

func TestGoldenEvent(t *testing.T) {
	// Guards against a change of the framing of server-sent events: an entry of
	// another build would skip each token, since it finds no event.
	is := is.New(t)
	var body bytes.Buffer
	is.NoErr(EncodeEvent(&body, Event{Token: &Token{Request: "r1", Attempt: 2, Index: 5, Text: "wood"}}))
	is.Equal(body.String(), string(savorygolden.File(t, "event.txt", body.Bytes())))
}
