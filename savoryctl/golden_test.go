package main

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorypeer"
)

func TestGolden(t *testing.T) {
	// Guards against a renamed field: its key in the output of -json changes, and
	// operators' scripts no longer find it.
	f := savorygolden.JSON
	f.Encode = func(v any) ([]byte, error) {
		var body bytes.Buffer
		err := (&options{json: new(true)}).print(&session{out: &body}, v, nil)
		return body.Bytes(), err
	}
	address := netip.MustParseAddrPort("10.0.0.1:7001")
	savorygolden.Check(t, f, []savorygolden.Case{
		{Name: "entryStatus", Value: &entryStatus{
			Entry: "10.0.0.1:7003", Error: "no answer",
			Status: &savoryadmin.Status{
				Address: address, Zone: "north-1", Region: "north", Version: "1.2.3", Revision: 9,
				Sections: []savoryadmin.SectionStatus{{Section: savoryconfig.Routes, Revision: 8, Owner: "saws"}},
				Ready:    true, NotReady: "drains", Draining: true, Watcher: true, Keys: true, InFlight: 3,
				Peers: []savoryadmin.PeerStatus{{Address: address, Zone: "north-1", Live: true}},
				Servers: []savorychain.ServerStatus{{
					Server: "oak-1", Leaving: true, Suspected: true, Own: 2, Estimate: savorychain.Work{Running: 4, Prompt: 5},
				}},
				Leaving: []savorymember.Mark{{
					Server: "oak-1", Source: savorymember.FromServer, Leaving: true, At: time.Date(2026, 3, 4, 5, 6, 7, 8000000, time.UTC),
				}},
				Traffic: savorypeer.Traffic{SentBytes: 10, ReceivedBytes: 11, Messages: 12},
			},
		}},
		{Name: "checked", Value: &checkResult{Sections: []savoryconfig.Section{savoryconfig.Routes}}},
		{Name: "pipelineCover", Value: &pipelineCover{Pipeline: "cut", Layers: 24, Ranges: []rangeCover{{Layers: "0-11", Servers: 3, Usable: 2}}}},
	})
}
