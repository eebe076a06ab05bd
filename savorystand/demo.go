package main

// This file defines the demo: it starts a site on loopback, sends a few requests
// of each kind and checks the guarantees that they exercise.

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
	demoPrompt     = "Write the briefing for the night shift at the north fence near culvert nine"
	demoTokens     = 40
	demoCallers    = 6
	demoTimeout    = 60 * time.Second
	maxChangeDelay = 6 * time.Second
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
	fault := flags.String("break", "", "`fault` to inject into every engine: skip, repeat or cross")
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
	if err := injectFault(site, *fault); err != nil {
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
		{"an engine fails while a briefing is generated", d.engineFailure},
		{"a roster is read", d.roster},
		{"a callout is sent twice with one key, at two entries", d.callout},
		{"a section of the configuration is changed", d.configurationChange},
		{"an entry drains and stops under load", d.plannedStop},
	}
	failed := 0
	for _, step := range steps {
		summary, err := step.run()
		if err != nil {
			failed++
			fmt.Printf("FAILED  %s: %v\n", step.name, err)
			continue
		}
		fmt.Printf("ok      %s: %s\n", step.name, summary)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d steps failed", failed, len(steps))
	}
	return nil
}

// injectFault sets a fault in every engine; the entries must detect it. An empty
// name sets none.
func injectFault(site *savorysite.Site, name string) error {
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

// generate requests a completion and compares it with the expected text.
func (d *demo) generate(i int) error {
	prompt := fmt.Sprintf("%s %d", demoPrompt, i)
	g, err := d.caller(i).Generate(d.ctx, savorysite.ModelName, prompt, demoTokens)
	if err != nil {
		return err
	}
	if !g.Complete {
		return fmt.Errorf("answer is incomplete: %s", g.ErrorMessage)
	}
	want := savorymodel.ExpectedWords(savorysite.ModelName, savorysite.ModelVersion, prompt, savorysite.Layers, demoTokens)
	if !slices.Equal(g.Text, want) {
		return errors.New("answer differs from the expected text")
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
	return fmt.Sprintf("%d answers of %d tokens, all correct", demoCallers, demoTokens), nil
}

// engineFailure stops an engine while completions are generated.
func (d *demo) engineFailure() (string, error) {
	done := make(chan error, demoCallers)
	for i := range demoCallers {
		go func() {
			done <- d.generate(100 + i)
		}()
	}
	time.Sleep(30 * time.Millisecond)
	engine := d.site.Engine("engine-1a")
	engine.SetFaults(savorymodel.Faults{AbortConnections: true})
	defer engine.SetFaults(savorymodel.Faults{})
	for range demoCallers {
		if err := <-done; err != nil {
			return "", err
		}
	}
	return "all answers are complete and correct", nil
}

func (d *demo) roster() (string, error) {
	response, err := d.caller(0).Send(d.ctx, http.MethodGet, "/rosters/tonight", "", "")
	if err != nil {
		return "", err
	}
	if response.Status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", response.Status, response.Body)
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
		return "", fmt.Errorf("responses: status %d, body %q and status %d, body %q", first.Status, first.Body, second.Status, second.Body)
	}
	if n := d.site.Executed(key); n != 1 {
		return "", fmt.Errorf("callout was executed %d times, want 1", n)
	}
	return "executed once; the second response is the recorded one", nil
}

func (d *demo) configurationChange() (string, error) {
	doc := *d.site.Document
	doc.Customers = slices.Clone(doc.Customers)
	doc.Customers[0].Contract.Concurrency++
	start := time.Now()
	if _, err := d.site.Nodes[0].Submit(d.ctx, savoryconfig.Customers, "desk", 1, &doc); err != nil {
		return "", err
	}
	if err := d.site.WaitRevision(2); err != nil {
		return "", err
	}
	took := time.Since(start)
	if took > maxChangeDelay {
		return "", fmt.Errorf("revision 2 took %s to be in force at every entry", took)
	}
	return fmt.Sprintf("revision 2 in force at every entry after %s", took.Round(time.Millisecond)), nil
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
			return "", fmt.Errorf("answer interrupted by the drain: %w", err)
		}
	}
	return "no answer was interrupted", nil
}
