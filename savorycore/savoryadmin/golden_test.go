package savoryadmin

import (
	"net/netip"
	"testing"
	"time"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

func TestGolden(t *testing.T) {
	// Guards against a change of the bytes that operators and callers receive,
	// such as by a renamed field without a tag or an enum with another text. A
	// process of another build would read zero values.
	address := netip.MustParseAddrPort("10.0.0.1:7001")
	ms, layers := savoryworld.Duration(time.Millisecond), savoryworld.LayerRange{From: 4, To: 12}
	savorygolden.Texts(t, "header", HeaderRevision, HeaderVerdict)
	savorygolden.Check(t, savorygolden.JSON, []savorygolden.Case{
		{Name: "status", Value: &Status{
			Address: address, Zone: "north-1", Region: "north", Version: "1.2.3", Revision: 9,
			Sections: []SectionStatus{{Section: savoryconfig.Routes, Revision: 8, Owner: "saws"}},
			Ready:    true, NotReady: "drains", Draining: true, Watcher: true, Keys: true, InFlight: 3,
			Peers: []PeerStatus{{Address: address, Zone: "north-1", Live: true}},
			Servers: []savorychain.ServerStatus{{
				Server: "oak-1", Leaving: true, Suspected: true, Own: 2, Estimate: savorychain.Work{Running: 4, Prompt: 5},
			}},
			Leaving: []savorymember.Mark{{
				Server: "oak-1", Source: savorymember.FromOperator, Leaving: true, At: time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC),
			}},
			Traffic: savorypeer.Traffic{SentBytes: 10, ReceivedBytes: 11, Messages: 12},
		}},
		{Name: "accepted", Value: &Accepted{Revision: 9}},
		{Name: "leave", Value: &LeaveRequest{Leaving: true}},
		{Name: "whereRequest", Value: &WhereRequest{
			Host: "h", Path: "/p/", Method: "GET", KeySHA256: "ab", Customer: "c", Request: "r", PromptTokens: 1, AnswerTokens: 2,
			Parts: []string{"first"}, Model: "m", Tried: []string{"oak-1"},
		}},
		{Name: "where", Value: &Where{
			Entry: "e", Zone: "z", Version: 3, Age: ms, Doubt: "Behind", Route: "r", Kind: "Streaming", Service: "s", Customer: "c",
			Shares: []WhereShare{{Service: "s", Weight: 9}}, Tokens: 50, Prompt: &WherePrompt{Decision: savoryquarantine.Send, Part: "first", Trial: true},
			Candidates: []WhereCandidate{{
				Server: "oak-1", Zone: "z", Layers: layers, Slots: 4, InFlight: 2, Pass: ms, Prompt: ms, Token: ms, Fill: 0.5, Delay: ms,
				Excluded: "tried", NotFirst: "slots full",
			}},
			Choice: &WhereChoice{
				Server: "oak-1", Chain: savorypath.Chain{{Server: "oak-1", Address: address, Layers: layers}}, RunnerUp: "oak-2",
				Pass: ms, FirstToken: ms, BetweenTokens: ms, Fill: 0.5, Zones: 2, Delay: ms,
			},
			Error:   &WhereError{Status: 503, Code: "Limited", Message: "is limited", Cause: "limit", RetryAfter: ms},
			Retries: &WhereRetries{Left: 7, Attempts: 2, Repeatable: true},
		}},
		{Name: "errorBody", Value: &ErrorBody{Error: ErrorDetail{
			Message: "is full", Type: "server_error", Param: "model", Code: "Full", Verdict: savoryverdict.NotRun,
		}}},
	})
}
