package main

// This file defines the load tool: a bounded load of completions and callouts
// on running entries.

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savorysite"
)

const (
	// loadMaxRequests bounds one run.
	loadMaxRequests = 1_000_000
	// loadTimeout bounds one request.
	loadTimeout = 60 * time.Second
	// highestLatency and latencyDigits set the range and the precision of the
	// histograms, in microseconds.
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// load is one run of the load tool. Its exported fields are set before run.
type load struct {
	// Entries are the callers' addresses.
	Entries []netip.AddrPort
	Key     string
	Model   string
	// Rate is the number of requests that begin in a second.
	Rate float64
	Time time.Duration
	// Tokens is the length of each answer.
	Tokens int
	// Callouts is the part of the requests that are callouts under keys.
	Callouts float64
	// Layers, if set, is the number of layers of the stand-in model, whose
	// answers are then checked word for word.
	Layers  int
	Version string
	Seed    uint64

	client *http.Client
	mu     sync.Mutex
	result loadResult
}

// loadResult is what a run saw.
type loadResult struct {
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	callout  *hdrhistogram.Histogram
	outcomes map[string]int
	tokens   int
	wrong    int
	took     time.Duration
}

func runLoad(args []string) error {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	entries := flags.String("entry", "127.0.0.1:8081", "callers' `addresses` of entries, joined by commas")
	l := &load{}
	flags.StringVar(&l.Key, "key", savorysite.CustomerKey("musina-guards"), "the customer's `key`")
	flags.StringVar(&l.Model, "model", savorysite.ModelName, "`model` to ask for")
	flags.Float64Var(&l.Rate, "rate", 20, "`requests` that begin in a second")
	flags.DurationVar(&l.Time, "time", 10*time.Second, "`time` for which requests begin")
	flags.IntVar(&l.Tokens, "tokens", 40, "`tokens` of each answer")
	flags.Float64Var(&l.Callouts, "callouts", 0.1, "`part` of the requests that are callouts")
	flags.IntVar(&l.Layers, "check-layers", 0, "`layers` of the stand-in model whose answers are checked; 0 checks none")
	flags.StringVar(&l.Version, "check-version", savorysite.ModelVersion, "`version` of the model whose answers are checked")
	flags.Uint64Var(&l.Seed, "seed", 1, "`seed` of the arrivals")
	if err := flags.Parse(args); err != nil {
		return err
	}
	for _, text := range strings.Split(*entries, ",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("-entry: %w", err)
		}
		l.Entries = append(l.Entries, address)
	}
	if l.Rate <= 0 || l.Rate*l.Time.Seconds() > loadMaxRequests {
		return fmt.Errorf("-rate: must be above 0, and at most %d requests in all", loadMaxRequests)
	}
	if err := l.run(context.Background()); err != nil {
		return err
	}
	return l.result.print(os.Stdout)
}

// run begins requests at the rate, with random gaps, and waits for their ends.
func (l *load) run(ctx context.Context) error {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	l.result = loadResult{
		first: newHistogram(), between: newHistogram(), callout: newHistogram(), outcomes: make(map[string]int),
	}
	source := rand.New(rand.NewPCG(l.Seed, 7))
	begun := time.Now()
	var requests sync.WaitGroup
	next := begun
	for i := 0; ; i++ {
		next = next.Add(time.Duration(source.ExpFloat64() / l.Rate * float64(time.Second)))
		if next.Sub(begun) > l.Time {
			break
		}
		time.Sleep(time.Until(next))
		isCallout := source.Float64() < l.Callouts
		requests.Go(func() { l.request(ctx, i, isCallout) })
	}
	requests.Wait()
	l.result.took = time.Since(begun)
	if l.result.wrong > 0 {
		return fmt.Errorf("%d answers were wrong", l.result.wrong)
	}
	return nil
}

func (l *load) request(ctx context.Context, i int, isCallout bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	caller := &savorysite.Caller{Entry: l.Entries[i%len(l.Entries)], Key: l.Key, Client: l.client}
	if isCallout {
		l.sendCallout(ctx, caller, i)
		return
	}
	l.generate(ctx, caller, i)
}

func (l *load) sendCallout(ctx context.Context, caller *savorysite.Caller, i int) {
	begun := time.Now()
	key := fmt.Sprintf("load-%d-%d-%d", l.Seed, begun.UnixNano(), i)
	reply, err := caller.Send(ctx, http.MethodPost, "/callouts", `{"Place":"culvert 9"}`, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.result.outcomes["callout: "+shortError(err)]++
		return
	}
	l.result.outcomes[fmt.Sprintf("callout: %d %s", reply.Status, reply.Verdict)]++
	record(l.result.callout, time.Since(begun))
}

func (l *load) generate(ctx context.Context, caller *savorysite.Caller, i int) {
	prompt := fmt.Sprintf("lot description %d of sleepers in yard %d", i, l.Seed)
	g, err := caller.Generate(ctx, l.Model, prompt, l.Tokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.tokens += len(g.Text)
	switch {
	case err != nil:
		l.result.outcomes["completion: "+shortError(err)]++
		return
	case !g.Whole:
		l.result.outcomes[fmt.Sprintf("completion: %d not whole", g.Status)]++
		return
	}
	l.result.outcomes["completion: whole"]++
	if l.Layers > 0 && !slices.Equal(g.Text, savorymodel.ExpectedWords(l.Model, l.Version, prompt, l.Layers, l.Tokens)) {
		l.result.wrong++
	}
	record(l.result.first, g.First)
	for _, gap := range g.Gaps {
		record(l.result.between, gap)
	}
}

// print writes percentiles and outcomes.
func (r *loadResult) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tp50\tp95\tp99\tMOST\tCOUNT")
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", r.first}, {"between tokens", r.between}, {"callout", r.callout}} {
		at := func(p float64) time.Duration {
			return time.Duration(row.h.ValueAtQuantile(p)) * time.Microsecond
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", row.name, at(50), at(95), at(99), at(100), row.h.TotalCount())
	}
	fmt.Fprintf(w, "tokens a second\t%.0f\n", float64(r.tokens)/r.took.Seconds())
	for _, name := range slices.Sorted(maps.Keys(r.outcomes)) {
		fmt.Fprintf(w, "%s\t%d\n", name, r.outcomes[name])
	}
	return w.Flush()
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), 1), highestLatency))
}

// shortError returns the last part of an error, which names its kind.
func shortError(err error) string {
	parts := strings.Split(err.Error(), ": ")
	return parts[len(parts)-1]
}
