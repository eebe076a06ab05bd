package main

// This file defines the load generator, which sends a bounded number of completions
// and callouts to running entries.

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
	// maxLoadRequests bounds the number of requests in one run.
	maxLoadRequests = 1_000_000
	// loadTimeout bounds one request.
	loadTimeout = 60 * time.Second
	// maxLatencyMicroseconds and latencyDigits set the range and the precision of
	// the histograms, whose values are microseconds.
	maxLatencyMicroseconds = int64(time.Minute / time.Microsecond)
	latencyDigits          = 3
)

// load is one run of the load generator. Its exported fields are set before run.
type load struct {
	// Entries holds the addresses on which the entries accept callers.
	Entries []netip.AddrPort
	Key     string
	Model   string
	// Rate is the mean number of requests started per second.
	Rate float64
	// Duration is the time during which requests are started.
	Duration time.Duration
	// Tokens is the length of each completion.
	Tokens int
	// CalloutFraction is the fraction of the requests, 0 to 1, that are callouts
	// with idempotency keys.
	CalloutFraction float64
	// CheckLayers is the number of layers of the simulated model, whose answers
	// are compared with the expected text; 0 disables the check.
	CheckLayers int
	// CheckVersion is the model version of the expected answers.
	CheckVersion string
	// Seed is the seed of the arrival times.
	Seed uint64

	client *http.Client
	mu     sync.Mutex
	result loadResult
}

// loadResult holds the latencies and outcomes of a run.
type loadResult struct {
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	callout       *hdrhistogram.Histogram
	outcomes      map[string]int
	tokens        int
	wrongAnswers  int
	duration      time.Duration
}

func runLoad(args []string) error {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	entries := flags.String("entry", "127.0.0.1:8081", "comma-separated `addresses` of entries for callers")
	l := &load{}
	flags.StringVar(&l.Key, "key", savorysite.CustomerKey("musina-guards"), "API `key` of the customer")
	flags.StringVar(&l.Model, "model", savorysite.ModelName, "`model` to request")
	flags.Float64Var(&l.Rate, "rate", 20, "`requests` started per second")
	flags.DurationVar(&l.Duration, "time", 10*time.Second, "`time` during which requests are started")
	flags.IntVar(&l.Tokens, "tokens", 40, "`tokens` per answer")
	flags.Float64Var(&l.CalloutFraction, "callouts", 0.1, "`fraction` of the requests that are callouts, 0 to 1")
	flags.IntVar(&l.CheckLayers, "check-layers", 0, "number of `layers` of the simulated model whose answers are checked; 0 disables the check")
	flags.StringVar(&l.CheckVersion, "check-version", savorysite.ModelVersion, "`version` of the model whose answers are checked")
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
	if l.Rate <= 0 || l.Rate*l.Duration.Seconds() > maxLoadRequests {
		return fmt.Errorf("-rate must be above 0 and start at most %d requests in total", maxLoadRequests)
	}
	if err := l.run(context.Background()); err != nil {
		return err
	}
	return l.result.print(os.Stdout)
}

// run starts requests with exponentially distributed gaps at the rate and waits
// until all have ended.
func (l *load) run(ctx context.Context) error {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	l.result = loadResult{
		firstToken: newHistogram(), betweenTokens: newHistogram(), callout: newHistogram(), outcomes: make(map[string]int),
	}
	source := rand.New(rand.NewPCG(l.Seed, 7))
	start := time.Now()
	var requests sync.WaitGroup
	next := start
	for i := 0; ; i++ {
		next = next.Add(time.Duration(source.ExpFloat64() / l.Rate * float64(time.Second)))
		if next.Sub(start) > l.Duration {
			break
		}
		time.Sleep(time.Until(next))
		isCallout := source.Float64() < l.CalloutFraction
		requests.Go(func() { l.request(ctx, i, isCallout) })
	}
	requests.Wait()
	l.result.duration = time.Since(start)
	if l.result.wrongAnswers > 0 {
		return fmt.Errorf("%d answers differ from the expected text", l.result.wrongAnswers)
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
	start := time.Now()
	key := fmt.Sprintf("load-%d-%d-%d", l.Seed, start.UnixNano(), i)
	response, err := caller.Send(ctx, http.MethodPost, "/callouts", `{"Place":"culvert 9"}`, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.result.outcomes["callout: "+shortError(err)]++
		return
	}
	l.result.outcomes[fmt.Sprintf("callout: %d %s", response.Status, response.Verdict)]++
	record(l.result.callout, time.Since(start))
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
	case !g.Complete:
		l.result.outcomes[fmt.Sprintf("completion: %d incomplete", g.Status)]++
		return
	}
	l.result.outcomes["completion: complete"]++
	if l.CheckLayers > 0 && !slices.Equal(g.Text, savorymodel.ExpectedWords(l.Model, l.CheckVersion, prompt, l.CheckLayers, l.Tokens)) {
		l.result.wrongAnswers++
	}
	record(l.result.firstToken, g.FirstTokenTime)
	for _, gap := range g.TokenGaps {
		record(l.result.betweenTokens, gap)
	}
}

// print writes latency percentiles, the token throughput and the outcomes.
func (r *loadResult) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tp50\tp95\tp99\tMOST\tCOUNT")
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", r.firstToken}, {"between tokens", r.betweenTokens}, {"callout", r.callout}} {
		quantile := func(p float64) time.Duration {
			return time.Duration(row.h.ValueAtQuantile(p)) * time.Microsecond
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", row.name, quantile(50), quantile(95), quantile(99), quantile(100), row.h.TotalCount())
	}
	fmt.Fprintf(w, "tokens per second\t%.0f\n", float64(r.tokens)/r.duration.Seconds())
	for _, name := range slices.Sorted(maps.Keys(r.outcomes)) {
		fmt.Fprintf(w, "%s\t%d\n", name, r.outcomes[name])
	}
	return w.Flush()
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicroseconds, latencyDigits)
}

// record adds a latency, clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), 1), maxLatencyMicroseconds))
}

// shortError returns the text after the last colon of an error, which names the
// error's kind without addresses.
func shortError(err error) string {
	parts := strings.Split(err.Error(), ": ")
	return parts[len(parts)-1]
}
