package main

// This file defines the subcommand that runs the measurements and prints their
// results.

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"savorycart.example/savorystand/savorylab"
)

// measurement is a measurement with its name on the command line.
type measurement struct {
	name string
	run  func(newLab func() savorylab.Lab) error
}

func runMeasure(args []string) error {
	flags := flag.NewFlagSet("measure", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "`seed` of the run")
	warm := flags.Duration("warm", 10*time.Second, "virtual warm-up `time` before the measurement")
	length := flags.Duration("time", 20*time.Second, "measured virtual `time`")
	realTime := flags.Duration("real", 6*time.Second, "wall-clock `time` for the measurement slopes")
	if err := flags.Parse(args); err != nil {
		return err
	}
	newLab := func() savorylab.Lab {
		return savorylab.Lab{
			Seed: *seed, Entries: 7, EnginesPerStage: 10, WarmUp: *warm, MeasuredTime: *length,
			PromptTokens: 160, AnswerTokens: 80,
		}
	}
	measurements := []measurement{
		{"routing", measureRouting},
		{"prefixes", measurePrefixes},
		{"customers", measureCustomers},
		{"contracts", func(func() savorylab.Lab) error { return measureContracts(*seed) }},
		{"recovery", func(func() savorylab.Lab) error { return measureRecovery() }},
		{"messages", func(func() savorylab.Lab) error { return measureMessages() }},
		{"leaving", func(func() savorylab.Lab) error { return measureLeaving() }},
		{"slopes", func(func() savorylab.Lab) error { return measureSlopes(*realTime) }},
	}
	if name := flags.Arg(0); name != "" {
		i := slices.IndexFunc(measurements, func(m measurement) bool { return m.name == name })
		if i < 0 {
			return fmt.Errorf("measurement %q does not exist", name)
		}
		measurements = measurements[i : i+1]
	}
	for _, m := range measurements {
		fmt.Println("#", m.name, "seed", *seed)
		if err := m.run(newLab); err != nil {
			return err
		}
	}
	return nil
}

// prefixCount is the number of prefixes in use; an engine caches cachedPrefixes of
// them.
const (
	prefixCount    = 200
	cachedPrefixes = 30
)

// measurePrefixes compares routing with and without hints about cached prefixes.
func measurePrefixes(newLab func() savorylab.Lab) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tPREFIX LENGTH\tPREFIXES\tHINTS\tCACHE HITS\tTHROUGHPUT\tFIRST TOKEN p95")
	for _, load := range []float64{0.5, 0.8} {
		for _, length := range []int{64, 400} {
			for _, hints := range []bool{false, true} {
				l := newLab()
				l.Policy, l.OfferedLoad = savorylab.Estimate, load
				l.Prefixes, l.PrefixTokens, l.CachedPrefixes, l.HidePrefixes = prefixCount, length, cachedPrefixes, !hints
				r := l.Run()
				fmt.Fprintf(w, "%.2f\t%d\t%d\t%t\t%.3f\t%.3f\t%s\n", load, length, prefixCount, hints, r.CacheHitFraction, r.Throughput, r.FirstToken95.Round(time.Millisecond))
			}
		}
	}
	return w.Flush()
}

// measureCustomers measures the effect of a large customer's load on small
// customers.
func measureCustomers(newLab func() savorylab.Lab) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tLARGE CUSTOMER\tSMALL FIRST TOKEN p95\tSMALL REFUSED\tREFUSED\tGOODPUT")
	for _, mix := range []struct{ load, large float64 }{{0.3, 0}, {1.2, 0.75}, {2, 0.85}} {
		l := newLab()
		l.Policy, l.OfferedLoad, l.LargeFraction = savorylab.Estimate, mix.load, mix.large
		r := l.Run()
		fmt.Fprintf(w, "%.2f\t%.2f\t%s\t%.3f\t%.3f\t%.3f\n", mix.load, mix.large, r.SmallFirstToken95.Round(time.Millisecond), r.SmallRefusedFraction, r.RefusedFraction, r.Goodput)
	}
	return w.Flush()
}

// measureRouting compares the routing policies at several loads.
func measureRouting(newLab func() savorylab.Lab) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOAD\tPOLICY\tTHROUGHPUT\tGOODPUT\tREFUSED\tFIRST TOKEN p95\tBETWEEN TOKENS p95\tREQUESTS")
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		for _, policy := range savorylab.Policies() {
			l := newLab()
			l.Policy, l.OfferedLoad = policy, load
			r := l.Run()
			fmt.Fprintf(w, "%.2f\t%s\t%.3f\t%.3f\t%.3f\t%s\t%s\t%d\n", load, policy, r.Throughput, r.Goodput, r.RefusedFraction,
				r.FirstToken95.Round(time.Millisecond), r.BetweenTokens95.Round(100*time.Microsecond), r.Requests)
		}
	}
	return w.Flush()
}
