package main

// This file defines the measurement of the delay until a leaving backend server
// receives no new requests.

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savorynode"
	"savorycart.example/savorystand/savorysite"
)

const (
	leavingRounds = 5
	// leavingTimeout bounds the wait until all entries have the server as leaving.
	leavingTimeout = 30 * time.Second
	// leavingPollInterval is the time between two status reads.
	leavingPollInterval = 2 * time.Millisecond
)

// leavingSignal is one source of the report that a backend server is leaving.
type leavingSignal struct {
	name   string
	server string
	send   func(*savorysite.Site) error
}

func leavingSignals() []leavingSignal {
	return []leavingSignal{
		{"operator", "engine-0a", func(s *savorysite.Site) error {
			_, err := s.Nodes[0].Operator(savorysite.TeamToken("models")).SetLeaving(context.Background(), "engine-0a", true)
			return err
		}},
		{"document", "engine-1a", func(s *savorysite.Site) error {
			for i := range s.Document.BackendServers {
				if s.Document.BackendServers[i].Name == "engine-1a" {
					s.Document.BackendServers[i].Leaving = true
				}
			}
			_, err := s.Nodes[1].Submit(context.Background(), savoryconfig.BackendServers, "models", 1, s.Document)
			return err
		}},
		{"VM list", "engine-2a", func(s *savorysite.Site) error {
			for _, server := range s.Document.BackendServers {
				if server.Name == "engine-2a" {
					s.Platform.SetVM(savoryworld.VM{Address: server.Address, Zone: server.Zone, Region: "limpopo", State: savoryworld.VMLeaving})
				}
			}
			return nil
		}},
		{"engine's own status", "engine-2b", func(s *savorysite.Site) error {
			s.Engine("engine-2b").SetLeaving(true)
			return nil
		}},
	}
}

// measureLeaving prints the time from each signal until every entry has the server
// marked as leaving, so that it receives no new requests.
func measureLeaving() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SIGNAL\tROUNDS\tMEAN\tMOST")
	for _, signal := range leavingSignals() {
		var sum, longest time.Duration
		for range leavingRounds {
			took, err := leavingRound(signal)
			if err != nil {
				return err
			}
			sum += took
			longest = max(longest, took)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", signal.name, leavingRounds, (sum / leavingRounds).Round(time.Millisecond), longest.Round(time.Millisecond))
	}
	return w.Flush()
}

func leavingRound(signal leavingSignal) (time.Duration, error) {
	site := &savorysite.Site{
		Entries: currentNodes, EnginesPerStage: 3, ServiceServers: 1, Log: savorylog.Discard(),
		EditSettings: func(s *savorynode.Settings) { s.Orders.Enabled = true },
	}
	defer site.Stop()
	if err := site.Start(); err != nil {
		return 0, err
	}
	// The entries exchange state before the signal is sent.
	time.Sleep(2 * time.Second)
	start := time.Now()
	if err := signal.send(site); err != nil {
		return 0, err
	}
	for time.Since(start) < leavingTimeout {
		if isLeavingEverywhere(site, signal.server) {
			return time.Since(start), nil
		}
		time.Sleep(leavingPollInterval)
	}
	return 0, fmt.Errorf("signal %q: server is not leaving at every entry after %s", signal.name, leavingTimeout)
}

// isLeavingEverywhere reports whether every entry that lists the server has it as
// leaving. It returns false if an entry's status cannot be read.
func isLeavingEverywhere(site *savorysite.Site, server string) bool {
	for _, e := range site.Nodes {
		status, err := e.Operator("").Status(context.Background())
		if err != nil {
			return false
		}
		for _, s := range status.Servers {
			if s.Server == server && !s.Leaving {
				return false
			}
		}
	}
	return true
}
