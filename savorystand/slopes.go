package main

// This file defines the measurement "slopes": how costs grow with the size of a
// deployment, for docs/CAPACITY.md.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"time"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savorystream"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savoryfleet"
	"savorycart.example/savorystand/savorysite"
	"savorycart.example/savorystand/savoryslope"
)

// Sizes of the deployment that is the target; docs/CAPACITY.md is written for it.
const (
	targetNodes     = 860
	targetZones     = 11
	targetWorkers   = 7200
	targetCustomers = 3200
	targetModels    = 8
	// targetBuckets is the number of buckets of the target's document.
	targetBuckets = 2048
	// targetActiveCustomers is the number of customers that one entry serves within
	// one second.
	targetActiveCustomers = 46
	// currentNodes is the number of entries of a present deployment.
	currentNodes = 7
)

// timedCalls is the number of calls over which timePerCall averages.
const timedCalls = 2000

// measureSlopes measures how the memory, processor time, message sizes and delays
// of the router grow with the number of records, workers, customers, stages and
// entries, and prints each series with its line. length is the wall-clock time for
// which each site of running entries is measured, after half of that time to settle.
func measureSlopes(length time.Duration) error {
	var series []*savoryslope.Series
	for _, measure := range []func() ([]*savoryslope.Series, error){
		measureDocument, measureDecision, measureToken, measureLimits, measureMembers, measureFleet,
		func() ([]*savoryslope.Series, error) { return measureNodes(length) },
	} {
		measured, err := measure()
		if err != nil {
			return err
		}
		series = append(series, measured...)
	}
	return savoryslope.Print(os.Stdout, series)
}

// largeDocument returns a document with workers and customers spread evenly over
// the target's zones and models.
func largeDocument(workers, customers int) *savoryconfig.Document {
	const layers, stages = 48, 3
	doc := &savoryconfig.Document{Accelerators: []savoryworld.Accelerator{}}
	for i := range 7 {
		doc.Accelerators = append(doc.Accelerators, savoryworld.Accelerator{
			Name: fmt.Sprintf("kind-%d", i), StepBase: savoryworld.Duration(time.Duration(100+50*i) * time.Microsecond),
			StepToken: savoryworld.Duration(time.Duration(2+i) * time.Microsecond), MaxTokens: 256 >> (i / 3),
		})
	}
	for i := range targetZones {
		doc.Zones = append(doc.Zones, savoryworld.AvailabilityZone{Name: zoneName(i), Region: fmt.Sprintf("region-%d", i/4)})
	}
	team := savoryworld.Team{Name: "all", TokenSHA256: savorysite.Digest("all")}
	for _, s := range savoryconfig.Sections() {
		team.Sections = append(team.Sections, string(s))
	}
	doc.Teams = []savoryworld.Team{team}
	for i := range targetModels {
		model := fmt.Sprintf("model-%d", i)
		doc.Pipelines = append(doc.Pipelines, savoryworld.Pipeline{
			Name: model, Model: model, Version: "v1", Layers: layers, ActivationBytes: 16 << 10,
			FirstToken: savoryworld.Duration(770 * time.Millisecond), BetweenTokens: savoryworld.Duration(72 * time.Millisecond), MaxTokens: 4096,
		})
	}
	for i := range workers {
		stage := i / targetModels % stages
		doc.BackendServers = append(doc.BackendServers, savoryworld.BackendServer{
			Name:    fmt.Sprintf("worker-%05d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(1 + i%250)}), 6000),
			Zone:    zoneName(i % targetZones), Model: fmt.Sprintf("model-%d", i%targetModels), Version: "v1",
			Layers:      savoryworld.LayerRange{From: stage * layers / stages, To: (stage + 1) * layers / stages},
			Accelerator: doc.Accelerators[i%len(doc.Accelerators)].Name,
		})
	}
	for i := range customers {
		doc.Customers = append(doc.Customers, savoryworld.Customer{
			Name: fmt.Sprintf("customer-%04d", i), KeySHA256: []string{savorysite.Digest(fmt.Sprint("key", i))},
			HomeRegion: "region-0", Pipelines: []string{"model-0", "model-1"},
			Contract: savoryworld.Contract{RequestsPerSecond: 20, TokensPerSecond: 8000, Concurrency: 50},
		})
	}
	return doc
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

// assembledDocument is a configuration in the form that an entry keeps in memory.
type assembledDocument struct {
	root     *savoryconfig.Root
	buckets  map[savoryconfig.BucketID]savoryconfig.Bucket
	snapshot *savoryconfig.Snapshot
}

func assemble(doc *savoryconfig.Document) (*assembledDocument, error) {
	a := &assembledDocument{buckets: make(map[savoryconfig.BucketID]savoryconfig.Bucket)}
	change := savoryconfig.Change{SubmissionID: "slopes"}
	for _, s := range savoryconfig.Sections() {
		sectionChange, err := savoryconfig.NewSectionChange(new(savoryconfig.Root), doc, s, 0, "slopes")
		if err != nil {
			return nil, err
		}
		a.buckets[sectionChange.Manifest.ID] = sectionChange.Manifest
		for _, b := range sectionChange.Buckets {
			if err := b.Parse(); err != nil {
				return nil, err
			}
			a.buckets[b.ID] = b
		}
		change.SectionChanges = append(change.SectionChanges, sectionChange)
	}
	var err error
	if a.root, err = new(savoryconfig.Root).Apply(change, time.Now()); err != nil {
		return nil, err
	}
	return a, a.rebuildSnapshot()
}

// rebuildSnapshot assembles the snapshot from the buckets, as an entry does.
func (a *assembledDocument) rebuildSnapshot() error {
	var err error
	a.snapshot, err = savoryconfig.AssembleSnapshot(a.root, func(id savoryconfig.BucketID) (savoryconfig.Bucket, bool) {
		b, ok := a.buckets[id]
		return b, ok
	})
	return err
}

// measureDocument measures the memory and processor time that a document costs an
// entry, and the size of its root.
func measureDocument() ([]*savoryslope.Series, error) {
	memory := &savoryslope.Series{Name: "configuration held", Unit: "MB", Per: "records", Target: targetWorkers + targetCustomers}
	apply := &savoryslope.Series{Name: "revision put in force", Unit: "ms CPU", Per: "records", Target: targetWorkers + targetCustomers}
	root := &savoryslope.Series{Name: "encoded root", Unit: "bytes", Per: "records", Target: targetWorkers + targetCustomers}
	for _, divisor := range []int{16, 8, 4, 2, 1} {
		workers, customers := targetWorkers/divisor, targetCustomers/divisor
		records := float64(workers + customers)
		before := heapBytes()
		a, err := assemble(largeDocument(workers, customers))
		if err != nil {
			return nil, err
		}
		table := newTable(a.snapshot)
		memory.Add(records, float64(heapBytes()-before)/1e6)
		spent := cpuTime()
		for range 10 {
			if err := a.rebuildSnapshot(); err != nil {
				return nil, err
			}
			table.SetSnapshot(a.snapshot)
		}
		apply.Add(records, (cpuTime()-spent).Seconds()*1e3/10)
		body, err := savoryconfig.EncodeRoot(a.root)
		if err != nil {
			return nil, err
		}
		root.Add(records, float64(len(body)))
		runtime.KeepAlive(table)
		runtime.KeepAlive(a)
	}
	return []*savoryslope.Series{memory, apply, root}, nil
}

func newTable(s *savoryconfig.Snapshot) *savorychain.Table {
	t := &savorychain.Table{
		Entry: "127.0.0.1:7081", Zone: zoneName(0), Rand: rand.New(rand.NewPCG(1, 2)),
		SampleSize: savorychain.DefaultSampleSize, SubsetSize: savorychain.DefaultSubsetSize,
	}
	t.SetSnapshot(s)
	return t
}

// measureDecision measures the choice of a chain against the number of workers.
func measureDecision() ([]*savoryslope.Series, error) {
	took := &savoryslope.Series{Name: "choice of a chain", Unit: "µs CPU", Per: "workers", Target: targetWorkers}
	allocations := &savoryslope.Series{Name: "choice of a chain", Unit: "allocations", Per: "workers", Target: targetWorkers}
	for _, workers := range []int{450, 900, 1800, 3600, 7200} {
		a, err := assemble(largeDocument(workers, 10))
		if err != nil {
			return nil, err
		}
		table := newTable(a.snapshot)
		now := time.Unix(1000, 0)
		req := savorychain.Request{Pipeline: a.snapshot.Pipeline("model-0"), PromptTokens: 200, AnswerTokens: 325}
		work := func() error {
			choice, err := table.Choose(req, now)
			if err != nil {
				return err
			}
			flight := table.RecordSent(choice, req.PromptTokens, now)
			table.RecordLoad(savoryengine.Load{Server: choice.Chain[0].Server}, now)
			table.RecordFinished(flight)
			return nil
		}
		us, allocs, err := timePerCall(work)
		if err != nil {
			return nil, err
		}
		took.Add(float64(workers), us)
		allocations.Add(float64(workers), allocs)
	}
	return []*savoryslope.Series{took, allocations}, nil
}

// measureLimits measures admission against the number of customers, and an
// announcement of demands against the number of customers in use at an entry.
func measureLimits() ([]*savoryslope.Series, error) {
	admit := &savoryslope.Series{Name: "admission", Unit: "µs CPU", Per: "customers", Target: targetCustomers}
	announce := &savoryslope.Series{Name: "announcement", Unit: "µs CPU", Per: "customers in use", Target: targetActiveCustomers}
	for _, n := range []int{100, 400, 1600, 3200} {
		limiter := &savorylimit.Limiter{Entry: "e"}
		limiter.SetEntries([]string{"e", "f", "g"})
		customers := largeDocument(0, n).Customers
		now := time.Unix(1000, 0)
		i := 0
		us, _, err := timePerCall(func() error {
			i++
			now = now.Add(time.Millisecond)
			c := &customers[i%len(customers)]
			if limiter.Admit(c, 500, now) == nil {
				limiter.Done(c.Name, 0)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		admit.Add(float64(n), us)
	}
	for _, n := range []int{10, 100, 400, 1600} {
		limiter := &savorylimit.Limiter{Entry: "e"}
		now := time.Unix(1000, 0)
		for _, c := range largeDocument(0, n).Customers {
			_ = limiter.Admit(&c, 1, now)
		}
		us, _, err := timePerCall(func() error {
			limiter.AnnounceDemands(now)
			return nil
		})
		if err != nil {
			return nil, err
		}
		announce.Add(float64(n), us)
	}
	return []*savoryslope.Series{admit, announce}, nil
}

// measureFleet measures the spread of changes in virtual time up to the target's
// size.
func measureFleet() ([]*savoryslope.Series, error) {
	spread := &savoryslope.Series{Name: "change in force everywhere (virtual)", Unit: "s", Per: "nodes", Target: targetNodes}
	idle := &savoryslope.Series{Name: "heartbeats of a node (virtual)", Unit: "bytes/s", Per: "nodes", Target: targetNodes}
	changed := &savoryslope.Series{Name: "one change at a node (virtual)", Unit: "bytes", Per: "nodes", Target: targetNodes}
	busiest := &savoryslope.Series{Name: "busiest node, a change each 15 s (virtual)", Unit: "bytes/s", Per: "nodes", Target: targetNodes}
	reads := &savoryslope.Series{Name: "store reads (virtual)", Unit: "reads/s", Per: "nodes", Target: targetNodes}
	watches := &savoryslope.Series{Name: "store watches (virtual)", Unit: "watches", Per: "nodes", Target: targetNodes}
	const idleTime, changes, changeGap = 60 * time.Second, 4, 15 * time.Second
	for _, n := range []int{22, 55, 110, 215, 430, 860} {
		f := &savoryfleet.Fleet{Seed: 1, Nodes: n, Zones: targetZones, Buckets: targetBuckets, ListDelay: 30 * time.Second}
		f.Start()
		f.Run(10 * time.Second)
		f.ResetTraffic()
		f.Run(idleTime)
		before := f.Traffic(idleTime)
		calls := f.StoreCalls()
		f.ResetTraffic()
		slowest := time.Duration(0)
		for i := range changes {
			revision := f.AcceptChange((i * 37) % n)
			f.Run(changeGap)
			took, everywhere := f.PropagationTime(revision)
			if !everywhere {
				return nil, fmt.Errorf("fleet of %d nodes: revision %d is not in force everywhere after %s", n, revision, changeGap)
			}
			slowest = max(slowest, took)
		}
		after := f.Traffic(changes * changeGap)
		x := float64(n)
		spread.Add(x, slowest.Seconds())
		idle.Add(x, before.MeanBytes)
		changed.Add(x, (after.MeanBytes-before.MeanBytes)*changeGap.Seconds())
		busiest.Add(x, after.MaxBytes)
		reads.Add(x, float64(calls.Reads)/idleTime.Seconds())
		watches.Add(x, float64(calls.Watches))
	}
	return []*savoryslope.Series{spread, idle, changed, busiest, reads, watches}, nil
}

// nodeSeries holds the series of running entries in one process over loopback.
type nodeSeries struct {
	cpuUse      savoryslope.Series
	memory      savoryslope.Series
	bytes       savoryslope.Series
	changeDelay savoryslope.Series
}

func newNodeSeries(fleet string, target float64) *nodeSeries {
	return &nodeSeries{
		cpuUse:      savoryslope.Series{Name: "idle entry, " + fleet, Unit: "% of a core", Per: "nodes", Target: target},
		memory:      savoryslope.Series{Name: "idle entry, " + fleet, Unit: "MB", Per: "nodes", Target: target},
		bytes:       savoryslope.Series{Name: "idle entry, both directions, " + fleet, Unit: "bytes/s", Per: "nodes", Target: target},
		changeDelay: savoryslope.Series{Name: "change in force everywhere, " + fleet, Unit: "ms", Per: "nodes", Target: target},
	}
}

// measureNodes measures running entries: small fleets, in which every entry
// exchanges heartbeats with every other, and larger ones.
func measureNodes(length time.Duration) ([]*savoryslope.Series, error) {
	small := newNodeSeries("small fleet", currentNodes)
	large := newNodeSeries("large fleet", targetNodes)
	for _, n := range []int{3, 5, 7, 14, 28, 56, 84} {
		series := large
		if n <= currentNodes {
			series = small
		}
		if err := series.measure(n, length); err != nil {
			return nil, err
		}
	}
	return []*savoryslope.Series{
		&small.cpuUse, &small.memory, &small.bytes, &small.changeDelay,
		&large.cpuUse, &large.memory, &large.bytes, &large.changeDelay,
	}, nil
}

// measure adds a point for a site with n entries to each series.
func (s *nodeSeries) measure(n int, length time.Duration) error {
	before := heapBytes()
	site := &savorysite.Site{Entries: n, EnginesPerStage: 3, ServiceServers: 1, Log: savorylog.Discard()}
	defer site.Stop()
	if err := site.Start(); err != nil {
		return err
	}
	time.Sleep(length / 2)
	bytes, spent := site.PeerBytes(), cpuTime()
	time.Sleep(length)
	nodes := float64(n)
	s.cpuUse.Add(nodes, 100*(cpuTime()-spent).Seconds()/length.Seconds()/nodes)
	s.memory.Add(nodes, float64(heapBytes()-before)/1e6/nodes)
	// PeerBytes counts each byte once, but one entry sends it and another receives
	// it.
	s.bytes.Add(nodes, 2*float64(site.PeerBytes()-bytes)/length.Seconds()/nodes)
	doc := *site.Document
	doc.Customers = append([]savoryworld.Customer(nil), doc.Customers...)
	doc.Customers[0].Contract.Concurrency++
	start := time.Now()
	revision, err := site.Nodes[0].Submit(context.Background(), savoryconfig.Customers, "desk", 1, &doc)
	if err != nil {
		return err
	}
	if err := site.WaitRevision(revision); err != nil {
		return err
	}
	s.changeDelay.Add(nodes, time.Since(start).Seconds()*1e3)
	return nil
}

// measureToken measures the decoding and checking of one token of an answer, and
// its encoded size.
func measureToken() ([]*savoryslope.Series, error) {
	took := &savoryslope.Series{Name: "token decoded and checked", Unit: "µs CPU", Per: "stages", Target: 3}
	bytes := &savoryslope.Series{Name: "token of an engine", Unit: "bytes", Per: "stages", Target: 3}
	for _, stages := range []int{1, 2, 3, 6} {
		const layers = 48
		var chain []savoryengine.Hop
		token := &savoryengine.Token{Request: "0123456789abcdef01234567", Attempt: 1, Text: " culvert"}
		for i := range stages {
			r := savoryworld.LayerRange{From: i * layers / stages, To: (i + 1) * layers / stages}
			chain = append(chain, savoryengine.Hop{Server: fmt.Sprintf("worker-%05d", i), Layers: r})
			token.Ran = append(token.Ran, savoryengine.ExecutedHop{Server: chain[i].Server, Layers: r})
		}
		sequence := &savorystream.Sequence{Request: token.Request, Layers: layers}
		sequence.BeginAttempt(chain)
		size := 0
		us, _, err := timePerCall(func() error {
			token.Index = len(sequence.Emitted())
			data, err := json.Marshal(savoryengine.Event{Token: token})
			if err != nil {
				return err
			}
			size = len(data)
			event, err := savoryengine.DecodeEvent(data)
			if err != nil {
				return err
			}
			_, err = sequence.Receive(event.Token)
			return err
		})
		if err != nil {
			return nil, err
		}
		took.Add(float64(stages), us)
		bytes.Add(float64(stages), float64(size))
	}
	return []*savoryslope.Series{took, bytes}, nil
}

// measureMembers measures a round of an entry's membership table against the number
// of entries.
func measureMembers() ([]*savoryslope.Series, error) {
	round := &savoryslope.Series{Name: "membership round", Unit: "µs CPU", Per: "nodes", Target: targetNodes}
	for _, n := range []int{22, 110, 430, 860} {
		f := &savoryfleet.Fleet{Seed: 1, Nodes: n, Zones: targetZones, ListDelay: time.Second}
		f.Start()
		table := f.Table(0)
		vms := f.Listed()
		now := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)
		us, _, err := timePerCall(func() error {
			now = now.Add(time.Millisecond)
			table.SetListed(vms, now)
			table.HeartbeatTargets(now)
			table.IsWatcher(now)
			return nil
		})
		if err != nil {
			return nil, err
		}
		round.Add(float64(n), us)
	}
	return []*savoryslope.Series{round}, nil
}

// timePerCall returns the elapsed time in microseconds and the number of
// allocations per call of work.
func timePerCall(work func() error) (float64, float64, error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for range timedCalls {
		if err := work(); err != nil {
			return 0, 0, err
		}
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return took.Seconds() * 1e6 / timedCalls, float64(after.Mallocs-before.Mallocs) / timedCalls, nil
}

// heapBytes returns the bytes of heap and stacks in use after a collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpuTime returns the processor time that the process has used, or 0 if it cannot
// be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
