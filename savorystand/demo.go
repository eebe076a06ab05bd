package main

// This file defines the demo: a site on loopback, a few requests of each kind,
// and a check of each promise that they touch.

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savorysite"
)

const (
	demoPrompt   = "Write the briefing for the night shift at the north fence near culvert nine"
	demoTokens   = 40
	demoCallers  = 6
	demoTimeout  = 60 * time.Second
	changeWithin = 6 * time.Second
)

// demo runs the steps of the demo on one site.
type demo struct {
	site *savorysite.Site
	ctx  context.Context
}

func runDemo(args []string) error {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	entries := flags.Int("entries", 3, "number of entries")
	level := flags.String("log", "error", "log `level` of the entries")
	broken := flags.String("break", "", "break a promise on purpose: `skip`, repeat or cross")
	if err := flags.Parse(args); err != nil {
		return err
	}
	logger, err := savorylog.New(os.Stderr, *level)
	if err != nil {
		return err
	}
	site := &savorysite.Site{Entries: *entries, EnginesPerStage: 3, ServiceServers: 2, Log: logger}
	defer site.Stop()
	if err := site.Start(); err != nil {
		return err
	}
	if err := breakPromise(site, *broken); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &demo{site: site, ctx: ctx}
	steps := []struct {
		name string
		run  func() (string, error)
	}{
		{"briefings through a three-stage pipeline", d.briefings},
		{"an engine dies in the middle of a briefing", d.engineDies},
		{"a roster is read", d.roster},
		{"a callout is sent twice with one key, at two entries", d.callout},
		{"a section of the configuration is changed", d.change},
		{"an entry stops as planned under load", d.plannedStop},
	}
	failed := 0
	for _, step := range steps {
		said, err := step.run()
		if err != nil {
			failed++
			fmt.Printf("FAILED  %s: %v\n", step.name, err)
			continue
		}
		fmt.Printf("ok      %s: %s\n", step.name, said)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d steps broke a promise", failed, len(steps))
	}
	return nil
}

// breakPromise switches a fault on that the entries must catch.
func breakPromise(site *savorysite.Site, name string) error {
	var faults savorymodel.Faults
	switch name {
	case "":
		return nil
	case "skip":
		faults.SkipLastLayer = true
	case "repeat":
		faults.DuplicateTokens = true
	case "cross":
		faults.WrongRequestID = true
	default:
		return fmt.Errorf("-break: %q is not skip, repeat or cross", name)
	}
	for _, e := range site.Engines {
		e.SetFaults(faults)
	}
	return nil
}

func (d *demo) caller(i int) *savorysite.Caller {
	entry := d.site.Nodes[i%len(d.site.Nodes)]
	return &savorysite.Caller{Entry: entry.Callers, Key: savorysite.CustomerKey("musina-guards")}
}

// generate asks for a briefing and checks each word of it.
func (d *demo) generate(i int) error {
	prompt := fmt.Sprintf("%s %d", demoPrompt, i)
	g, err := d.caller(i).Generate(d.ctx, savorysite.ModelName, prompt, demoTokens)
	if err != nil {
		return err
	}
	if !g.Whole {
		return fmt.Errorf("the answer is not whole: %s", g.Problem)
	}
	want := savorymodel.ExpectedWords(savorysite.ModelName, savorysite.ModelVersion, prompt, savorysite.Layers, demoTokens)
	if !slices.Equal(g.Text, want) {
		return errors.New("the answer is wrong")
	}
	return nil
}

func (d *demo) briefings() (string, error) {
	results := make(chan error, demoCallers)
	for i := range demoCallers {
		go func() {
			results <- d.generate(i)
		}()
	}
	for range demoCallers {
		if err := <-results; err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d answers of %d tokens, each right", demoCallers, demoTokens), nil
}

// engineDies kills engines one after the other while briefings are written.
func (d *demo) engineDies() (string, error) {
	done := make(chan error, demoCallers)
	for i := range demoCallers {
		go func() {
			done <- d.generate(100 + i)
		}()
	}
	time.Sleep(30 * time.Millisecond)
	victim := d.site.Engine("engine-1a")
	victim.SetFaults(savorymodel.Faults{AbortConnections: true})
	defer victim.SetFaults(savorymodel.Faults{})
	for range demoCallers {
		if err := <-done; err != nil {
			return "", err
		}
	}
	return "each answer is whole and right", nil
}

func (d *demo) roster() (string, error) {
	reply, err := d.caller(0).Send(d.ctx, http.MethodGet, "/rosters/tonight", "", "")
	if err != nil {
		return "", err
	}
	if reply.Status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", reply.Status, reply.Body)
	}
	return "status 200", nil
}

func (d *demo) callout() (string, error) {
	const key = "demo-callout-1"
	const body = `{"Place":"culvert 9","Reason":"cut wire"}`
	first, err := d.caller(0).Send(d.ctx, http.MethodPost, "/callouts", body, key)
	if err != nil {
		return "", err
	}
	second, err := d.caller(1).Send(d.ctx, http.MethodPost, "/callouts", body, key)
	if err != nil {
		return "", err
	}
	if first.Status != http.StatusCreated || second.Status != http.StatusCreated || first.Body != second.Body || !second.Replayed {
		return "", fmt.Errorf("answers %d %q and %d %q", first.Status, first.Body, second.Status, second.Body)
	}
	if n := d.site.Executed(key); n != 1 {
		return "", fmt.Errorf("the callout was carried out %d times", n)
	}
	return "carried out once, the second answer is the recorded one", nil
}

func (d *demo) change() (string, error) {
	doc := *d.site.Document
	doc.Customers = slices.Clone(doc.Customers)
	doc.Customers[0].Contract.Concurrency++
	begun := time.Now()
	if _, err := d.site.Nodes[0].Submit(d.ctx, savoryconfig.Customers, "desk", 1, &doc); err != nil {
		return "", err
	}
	if err := d.site.WaitRevision(2); err != nil {
		return "", err
	}
	took := time.Since(begun)
	if took > changeWithin {
		return "", fmt.Errorf("in force everywhere after %s", took)
	}
	return fmt.Sprintf("revision 2 in force everywhere after %s", took.Round(time.Millisecond)), nil
}

func (d *demo) plannedStop() (string, error) {
	last := len(d.site.Nodes) - 1
	done := make(chan error, demoCallers)
	for range demoCallers {
		go func() {
			done <- d.generate(last)
		}()
	}
	time.Sleep(20 * time.Millisecond)
	if err := d.site.Nodes[last].Drain(); err != nil {
		return "", err
	}
	for range demoCallers {
		if err := <-done; err != nil {
			return "", fmt.Errorf("cut off: %w", err)
		}
	}
	return "no answer was cut off", nil
}
