// Package savorychain chooses the backend servers that serve a request.
//
// A Table belongs to one entry. It holds the engines of the configuration,
// grouped by the layers that they hold, and the state of each engine: the work
// that the entry sent to it, the load reports of the engine, which lag, and its
// failures. Choose finds the chain over all layers with the least estimated
// time. It considers a few random engines of each group. So its cost does not
// grow with the number of engines, and entries that share no state do not all
// pick the same engine.
//
// The package does no I/O, reads no clock, and takes its random numbers from a
// generator that is passed to it. A Table is not safe for concurrent use.
package savorychain

import (
	"math/rand/v2"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savoryhash"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// DefaultSampleSize is the default number of engines of a group that one
	// choice considers.
	DefaultSampleSize = 6
	// DefaultSubsetSize is the default number of engines of a group that one
	// entry uses.
	DefaultSubsetSize = 24
	// minSuspectDuration and maxSuspectDuration bound the time for which a failed
	// server is avoided. The time doubles with each consecutive failure.
	minSuspectDuration = 500 * time.Millisecond
	maxSuspectDuration = 30 * time.Second
	// runningHalfLife and promptHalfLife are the times in which the two parts of
	// a load report lose half of their weight. Prompts are run within a fraction
	// of a second; answers take several seconds.
	runningHalfLife = 2 * time.Second
	promptHalfLife  = 500 * time.Millisecond
)

// Table holds the state of the engines for one entry. Its exported fields are
// set before its first use.
type Table struct {
	// Entry is the entry's name, which selects its subset of the engines.
	Entry string
	// Zone is the entry's availability zone.
	Zone string
	// Rand is the source of random numbers. It must not be nil.
	Rand *rand.Rand
	// SampleSize is the number of engines of a group that one choice considers.
	SampleSize int
	// SubsetSize is the number of engines of a group that the entry uses.
	SubsetSize int
	// Notices is what the servers state about themselves.
	Notices savorynotice.Board

	snapshot        *savoryconfig.Snapshot
	states          map[string]*serverState
	groups          map[modelKey][]*group
	prefixes        prefixIndex
	admissionMargin admissionMargin
	// onConsidered is called for each engine that a choice considers, if it is set.
	onConsidered func(*serverState)
}

// modelKey identifies a version of a model.
type modelKey struct {
	model   string
	version string
}

// group is the set of engines that hold the same layers of one model.
type group struct {
	layers  savoryworld.LayerRange
	members []*serverState
}

// serverState is the state of one server in a table.
type serverState struct {
	server      *savoryworld.BackendServer
	accelerator savoryworld.Accelerator
	leaving     bool

	// running is the number of the entry's requests in flight at the server.
	running int
	// pending lists the entry's prompts that no load report includes yet.
	pending []*pendingPrompt

	report   Work
	reportAt time.Time
	// runningAtReport is the value of running when the last report was received.
	runningAtReport int

	failures     int
	suspectUntil time.Time
}

// Work is an amount of work at one engine.
type Work struct {
	// Running is the number of requests that generate tokens.
	Running int
	// Prompt is the number of queued prompt tokens.
	Prompt int
}

// SetSnapshot sets the configuration snapshot. The state of servers that remain
// is kept.
func (t *Table) SetSnapshot(snapshot *savoryconfig.Snapshot) {
	old := t.states
	t.snapshot = snapshot
	t.states = make(map[string]*serverState, len(snapshot.Document.BackendServers))
	byModel := make(map[modelKey]map[savoryworld.LayerRange][]*serverState)
	for i := range snapshot.Document.BackendServers {
		server := &snapshot.Document.BackendServers[i]
		state := reuseState(old[server.Name], server)
		state.accelerator = snapshot.Accelerator(server.Accelerator)
		t.states[server.Name] = state
		if !server.IsEngine() {
			continue
		}
		key := modelKey{server.Model, server.Version}
		if byModel[key] == nil {
			byModel[key] = make(map[savoryworld.LayerRange][]*serverState)
		}
		byModel[key][server.Layers] = append(byModel[key][server.Layers], state)
	}
	t.groups = make(map[modelKey][]*group, len(byModel))
	for key, ranges := range byModel {
		t.groups[key] = t.makeGroups(ranges)
	}
}

// reuseState returns the state for server. It reuses old if its address shows
// that the server is the same process.
func reuseState(old *serverState, server *savoryworld.BackendServer) *serverState {
	if old == nil || old.server.Address != server.Address {
		return &serverState{server: server}
	}
	old.server = server
	return old
}

// makeGroups returns the groups sorted by their layers, each reduced to the
// entry's subset.
func (t *Table) makeGroups(ranges map[savoryworld.LayerRange][]*serverState) []*group {
	groups := make([]*group, 0, len(ranges))
	for layers, members := range ranges {
		key := t.Entry + " " + layers.String()
		subset := savoryhash.Top(key, members, func(s *serverState) string { return s.server.Name }, t.SubsetSize)
		groups = append(groups, &group{layers: layers, members: subset})
	}
	slices.SortFunc(groups, func(a, b *group) int {
		if a.layers.From != b.layers.From {
			return a.layers.From - b.layers.From
		}
		return a.layers.To - b.layers.To
	})
	return groups
}

// SetLeaving sets whether a server is leaving. A server that the configuration
// marks as leaving is leaving in either case.
func (t *Table) SetLeaving(server string, leaving bool) {
	if s := t.states[server]; s != nil {
		s.leaving = leaving
	}
}

// RecordFailure records that a server failed a request at now. The server is
// avoided for a time that doubles with each consecutive failure.
func (t *Table) RecordFailure(server string, now time.Time) {
	s := t.states[server]
	if s == nil {
		return
	}
	duration := min(minSuspectDuration<<min(s.failures, 10), maxSuspectDuration)
	s.failures++
	s.suspectUntil = now.Add(duration)
}

// RecordProgress records that a server made progress. The server is no longer
// suspected.
func (t *Table) RecordProgress(server string) {
	if s := t.states[server]; s != nil {
		s.failures = 0
		s.suspectUntil = time.Time{}
	}
}

// Flight is a request that was sent along a chain.
type Flight struct {
	// Chain is the chain that the request was sent along.
	Chain  []savoryengine.Hop
	prompt []*pendingPrompt
}

// pendingPrompt is a prompt that is in transit to an engine or queued there.
type pendingPrompt struct {
	tokens int
	// arrival is when the prompt is expected to reach the engine's queue. Reports
	// that are received from then on include it.
	arrival time.Time
	done    bool
}

// RecordSent records that the entry sent a request with a prompt of tokens
// along the chosen chain at now. Calls of RecordPromptDone and RecordFinished
// must follow.
func (t *Table) RecordSent(choice Choice, tokens int, now time.Time) *Flight {
	f := &Flight{Chain: choice.Chain}
	for i, hop := range choice.Chain {
		s := t.states[hop.Server]
		if s == nil {
			continue
		}
		if i == 0 {
			t.Notices.Reserve(hop.Server)
		}
		p := &pendingPrompt{tokens: tokens, arrival: now.Add(choice.arrivals[i])}
		s.running++
		s.pending = append(s.pending, p)
		f.prompt = append(f.prompt, p)
	}
	return f
}

// RecordPromptDone records that the prompt of a sent request was run, or that
// the request ended before that.
func (t *Table) RecordPromptDone(f *Flight) {
	for _, p := range f.prompt {
		p.done = true
	}
	f.prompt = nil
}

// RecordFirstToken records the time that a first token took and its bound.
func (t *Table) RecordFirstToken(took, bound time.Duration) { t.admissionMargin.observe(took, bound) }

// RecordFinished records that a sent request ended.
func (t *Table) RecordFinished(f *Flight) {
	t.RecordPromptDone(f)
	for _, hop := range f.Chain {
		if s := t.states[hop.Server]; s != nil {
			s.running = max(0, s.running-1)
			s.dropPending(func(*pendingPrompt) bool { return false })
		}
	}
}

// RecordLoad records a load report of an engine that was received at now.
func (t *Table) RecordLoad(load savoryengine.Load, now time.Time) {
	s := t.states[load.Server]
	if s == nil {
		return
	}
	s.report = Work{Running: load.Running, Prompt: load.Queued}
	s.reportAt = now
	s.runningAtReport = s.running
	s.dropPending(func(p *pendingPrompt) bool { return !p.arrival.After(now) })
}

// Usable reports whether a server may be given new work.
func (t *Table) Usable(server string) bool {
	s := t.states[server]
	return s != nil && !s.isLeaving()
}

// dropPending removes the prompts that are done or for which drop returns true.
func (s *serverState) dropPending(drop func(*pendingPrompt) bool) {
	s.pending = slices.DeleteFunc(s.pending, func(p *pendingPrompt) bool { return p.done || drop(p) })
}

func (s *serverState) isLeaving() bool { return s.leaving || s.server.Leaving }

func (s *serverState) isSuspected(now time.Time) bool { return now.Before(s.suspectUntil) }
