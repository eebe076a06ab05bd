package main

// This file defines the measurement of recovery times.

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
	// recoveryStep lengthens each step, so that a fault falls into every
	// answer.
	recoveryStep = 6 * time.Millisecond
	recoveryWait = 60 * time.Second
)

// recoveryCase is one kind of fault.
type recoveryCase struct {
	name    string
	engines []string
	faults  savorymodel.Faults
}

func recoveryCases() []recoveryCase {
	zone := []string{"engine-0a", "engine-1a", "engine-2a"}
	return []recoveryCase{
		{"no fault", nil, savorymodel.Faults{}},
		{"an engine dies", []string{"engine-1b"}, savorymodel.Faults{AbortConnections: true}},
		{"an engine goes silent", []string{"engine-1b"}, savorymodel.Faults{Hang: true}},
		{"a link slows to 1 s a step", []string{"engine-1b"}, savorymodel.Faults{Delay: time.Second}},
		{"two engines die", []string{"engine-0b", "engine-2b"}, savorymodel.Faults{AbortConnections: true}},
		{"a zone dies", zone, savorymodel.Faults{AbortConnections: true}},
		{"a zone goes silent", zone, savorymodel.Faults{Hang: true}},
	}
}

// measureRecovery brings each fault about under load and prints the longest gap
// between two tokens that callers saw.
func measureRecovery() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FAULT\tANSWERS\tWHOLE AND RIGHT\tGAP p50\tGAP p95\tGAP MOST\tPROMPT TOKENS RUN AGAIN")
	for _, c := range recoveryCases() {
		var gaps []time.Duration
		right := 0
		again := int64(0)
		for range recoveryRounds {
			r, err := recoveryRound(c)
			if err != nil {
				return err
			}
			gaps = append(gaps, r.gaps...)
			right += r.right
			again += r.again
		}
		slices.Sort(gaps)
		at := func(p float64) time.Duration {
			return gaps[min(len(gaps)-1, int(p*float64(len(gaps))))].Round(time.Millisecond)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%d\n", c.name, len(gaps), right, at(0.5), at(0.95), at(1), again/recoveryRounds)
	}
	return w.Flush()
}

// recovery is what one round showed.
type recovery struct {
	// gaps holds the longest gap of each answer.
	gaps  []time.Duration
	right int
	// again is the number of tokens that engines ran beyond those of answers
	// without faults.
	again int64
}

func recoveryRound(c recoveryCase) (*recovery, error) {
	site := &savorysite.Site{Entries: 3, EnginesPerStage: 3, ServiceServers: 1, Log: savorylog.Discard()}
	defer site.Stop()
	if err := site.Start(); err != nil {
		return nil, err
	}
	for _, e := range site.Engines {
		e.SetFaults(savorymodel.Faults{Delay: recoveryStep})
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryWait)
	defer cancel()
	answers := make(chan savorysite.Generated, recoveryStreams)
	needed := int64(0)
	for i := range recoveryStreams {
		prompt := fmt.Sprintf("handover summary %d for the south gate", i)
		needed += int64(savorysite.Stages * (savorymodel.CountTokens(prompt) + recoveryTokens - 1))
		go func() {
			caller := &savorysite.Caller{Entry: site.Nodes[i%3].Callers, Key: savorysite.CustomerKey("musina-guards")}
			g, _ := caller.Generate(ctx, savorysite.ModelName, prompt, recoveryTokens)
			want := savorymodel.ExpectedWords(savorysite.ModelName, savorysite.ModelVersion, prompt, savorysite.Layers, recoveryTokens)
			g.Whole = g.Whole && slices.Equal(g.Text, want)
			answers <- g
		}()
	}
	time.Sleep(30 * recoveryStep)
	for _, name := range c.engines {
		site.Engine(name).SetFaults(c.faults)
	}
	r := new(recovery)
	for range recoveryStreams {
		g := <-answers
		if g.Whole {
			r.right++
		}
		if len(g.Gaps) > 0 {
			r.gaps = append(r.gaps, slices.Max(g.Gaps))
		}
	}
	for _, e := range site.Engines {
		r.again += e.Tokens()
	}
	r.again -= needed
	return r, nil
}
