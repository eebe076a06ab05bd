package main

// This file defines the measurement of recovery times after faults of engines.

import (
	"context"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savorysite"
)

const (
	recoveryStreams = 12
	recoveryTokens  = 60
	recoveryRounds  = 5
	// recoveryStepDelay is added to each step, so that every answer is still being
	// generated when the fault occurs.
	recoveryStepDelay = 6 * time.Millisecond
	recoveryTimeout   = 60 * time.Second
)

// recoveryCase is one kind of fault and the engines into which it is injected.
type recoveryCase struct {
	name    string
	engines []string
	faults  savorymodel.Faults
}

func recoveryCases() []recoveryCase {
	zone := []string{"engine-0a", "engine-1a", "engine-2a"}
	return []recoveryCase{
		{"no fault", nil, savorymodel.Faults{}},
		{"an engine fails", []string{"engine-1b"}, savorymodel.Faults{AbortConnections: true}},
		{"an engine stops responding", []string{"engine-1b"}, savorymodel.Faults{Hang: true}},
		{"a link delays each step by 1 s", []string{"engine-1b"}, savorymodel.Faults{Delay: time.Second}},
		{"two engines fail", []string{"engine-0b", "engine-2b"}, savorymodel.Faults{AbortConnections: true}},
		{"all engines of a zone fail", zone, savorymodel.Faults{AbortConnections: true}},
		{"all engines of a zone stop responding", zone, savorymodel.Faults{Hang: true}},
	}
}

// measureRecovery injects each fault under load and prints the longest gaps between
// two tokens that callers observed.
func measureRecovery() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FAULT\tANSWERS\tCORRECT\tGAP p50\tGAP p95\tGAP MAX\tTOKENS REPEATED")
	for _, c := range recoveryCases() {
		var gaps []time.Duration
		correct := 0
		repeatedTokens := int64(0)
		for range recoveryRounds {
			r, err := recoveryRound(c)
			if err != nil {
				return err
			}
			gaps = append(gaps, r.gaps...)
			correct += r.correct
			repeatedTokens += r.repeatedTokens
		}
		slices.Sort(gaps)
		quantile := func(p float64) time.Duration {
			return gaps[min(len(gaps)-1, int(p*float64(len(gaps))))].Round(time.Millisecond)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%d\n", c.name, len(gaps), correct, quantile(0.5), quantile(0.95), quantile(1), repeatedTokens/recoveryRounds)
	}
	return w.Flush()
}

// recoveryResult is the result of one round.
type recoveryResult struct {
	// gaps holds the longest gap between two tokens of each answer.
	gaps []time.Duration
	// correct is the number of complete answers with the expected text.
	correct int
	// repeatedTokens is the number of tokens that engines ran beyond the number
	// needed without faults.
	repeatedTokens int64
}

func recoveryRound(c recoveryCase) (*recoveryResult, error) {
	site := &savorysite.Site{Entries: 3, EnginesPerStage: 3, ServiceServers: 1, Log: savorylog.Discard()}
	defer site.Stop()
	if err := site.Start(); err != nil {
		return nil, err
	}
	for _, e := range site.Engines {
		e.SetFaults(savorymodel.Faults{Delay: recoveryStepDelay})
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	answers := make(chan savorysite.Completion, recoveryStreams)
	needed := int64(0)
	for i := range recoveryStreams {
		prompt := fmt.Sprintf("handover summary %d for the south gate", i)
		needed += int64(savorysite.Stages * (savorymodel.CountTokens(prompt) + recoveryTokens - 1))
		go func() {
			caller := &savorysite.Caller{Entry: site.Nodes[i%3].Callers, Key: savorysite.CustomerKey("musina-guards")}
			g, _ := caller.Generate(ctx, savorysite.ModelName, prompt, recoveryTokens)
			want := savorymodel.ExpectedWords(savorysite.ModelName, savorysite.ModelVersion, prompt, savorysite.Layers, recoveryTokens)
			g.Complete = g.Complete && slices.Equal(g.Text, want)
			answers <- g
		}()
	}
	time.Sleep(30 * recoveryStepDelay)
	for _, name := range c.engines {
		site.Engine(name).SetFaults(c.faults)
	}
	r := new(recoveryResult)
	for range recoveryStreams {
		g := <-answers
		if g.Complete {
			r.correct++
		}
		if len(g.TokenGaps) > 0 {
			r.gaps = append(r.gaps, slices.Max(g.TokenGaps))
		}
	}
	for _, e := range site.Engines {
		r.repeatedTokens += e.Tokens()
	}
	r.repeatedTokens -= needed
	return r, nil
}
