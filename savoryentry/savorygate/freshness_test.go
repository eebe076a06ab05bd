package savorygate

// This file plays what entries know of configurations: readings of the store, exchanges and
// fetches that are slow, lost or late, entries that restart or stand still, and a store that
// comes back from a copy. Time is that of the test.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"savorycart.example/savorycore/savorynews"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savorystore"
)

const (
	freshnessConfigTime = 3 * time.Second
	freshnessEntries    = 3
	firstVersion        = 3 // as newPreparedGate has it
)

var errNoAnswer = errors.New("no answer")

// routePrefix is the prefix of the route that a version adds.
func routePrefix(version int64) string { return fmt.Sprintf("/v%d/", version) }

// writtenVersion is a version in the store and when it was acknowledged.
type writtenVersion struct {
	version int64
	ackedAt time.Duration
}

// freshness is a store with its entries.
type freshness struct {
	t     *testing.T
	draw  *rapid.T
	now   time.Duration
	gates []*Gate
	// highest are the highest versions that the running processes have had in force.
	highest []int64
	// asleepUntil is when an entry that stands still goes on.
	asleepUntil []time.Duration
	// written are the valid versions in the store, content is what it holds now.
	written  []writtenVersion
	content  savorystore.Value
	revision int64
	// copied is the state from which a restored store begins.
	copied savorystore.Value
	late   []lateMessage
	// settling is set once the operator writes nothing more.
	settling bool
}

// lateMessage is a message that was not delivered yet.
type lateMessage struct {
	to      int
	deliver func(g *Gate)
}

// clone returns a copy of a state for its receiver, which adds the delay to the ages.
func clone(s *savorypeer.SyncState) *savorypeer.SyncState {
	c := *s
	return &c
}

func (f *freshness) pass(name string, longest time.Duration) {
	f.now += time.Duration(rapid.Int64Range(0, int64(longest)).Draw(f.draw, name))
}

// start starts the process of an entry, which knows nothing but the first version.
func (f *freshness) start(i int) {
	g := newPreparedGate(f.t, &Settings{Zone: "a", Peers: address(i), ConfigTime: freshnessConfigTime})
	boot := time.Duration(i) * time.Hour
	g.SinceBoot = func() time.Duration { return boot + f.now }
	g.Store.ReadConfig = func(body []byte) (*savoryrouting.Config, error) {
		version, err := strconv.ParseInt(string(body), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("version: %w", err)
		}
		return f.config(version), nil
	}
	g.Store.Get = func(context.Context, string) (savorystore.Value, error) {
		f.pass("request", time.Second)
		v := f.content
		if !f.settling && rapid.IntRange(0, 3).Draw(f.draw, "written meanwhile") == 0 {
			f.write()
		}
		f.pass("answer", 2*time.Second)
		if rapid.IntRange(0, 4).Draw(f.draw, "lost") == 0 {
			return savorystore.Value{}, errNoAnswer
		}
		g.ObserveStoreEra(v.Era)
		return v, nil
	}
	for j := range freshnessEntries {
		g.relay.addEntries([]savorypeer.Entry{{Address: address(j), Zone: "a"}}, g.now())
	}
	g.fetch.begin(firstVersion) // the test fetches, not the entry
	f.gates[i], f.highest[i] = g, firstVersion
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i))
}

// config returns a version: each adds a route and keeps those before.
func (f *freshness) config(version int64) *savoryrouting.Config {
	cfg := versionWith(version)
	for _, w := range f.written {
		if w.version <= version {
			cfg.Routes = append(cfg.Routes, versionWith(version, routePrefix(w.version)).Routes...)
		}
	}
	return cfg
}

// write writes the next version, or bytes that are none, which the store doesn't acknowledge.
func (f *freshness) write() {
	f.revision++
	next := int64(firstVersion)
	if n := len(f.written); n > 0 {
		next = f.written[n-1].version
	}
	next += int64(rapid.IntRange(1, 3).Draw(f.draw, "step"))
	if rapid.IntRange(0, 9).Draw(f.draw, "invalid") == 0 {
		f.content.Revision, f.content.Body = f.revision, []byte("none")
		return
	}
	f.written = append(f.written, writtenVersion{version: next, ackedAt: f.now})
	f.content.Revision, f.content.Body = f.revision, []byte(strconv.FormatInt(next, 10))
}

// restore brings the store back from its copy. The operator writes the newest version again, at once
// or, if that was lost, when the entries have read the copy.
func (f *freshness) restore() {
	era := f.content.Era + 1
	f.content = f.copied
	f.content.Era = era
	// What was acknowledged after the copy is lost until it is written again.
	for i := range f.written {
		f.written[i].ackedAt = max(f.written[i].ackedAt, f.now)
	}
	f.step()
	f.revision = f.content.Revision + 1
	if n := len(f.written); n > 0 {
		f.content.Revision, f.content.Body = f.revision, []byte(strconv.FormatInt(f.written[n-1].version, 10))
		for i := range f.written {
			f.written[i].ackedAt = f.now
		}
	}
}

func (f *freshness) asleep(i int) bool { return f.now < f.asleepUntil[i] }

// exchange lets an entry call another one. Each of the two messages may be lost, or be delivered
// later and more than once.
func (f *freshness) exchange(from, to int) {
	caller, callee := f.gates[from], f.gates[to]
	requestedAt := caller.bootNow()
	known := f.known(caller, to)
	request := caller.syncState(callee.relay.self, known)
	f.send(to, func(g *Gate) {
		response, err := g.handleSync(f.t.Context(), clone(request))
		if err != nil {
			f.t.Fatal(err)
		}
		f.send(from, func(g *Gate) {
			if g == caller { // the answer of a call belongs to the process that made it
				g.applySyncState(clone(response), requestedAt)
			}
		})
	})
}

// known returns the versions that an entry knows another one to have.
func (f *freshness) known(g *Gate, of int) *savorypeer.Versions {
	known, ok := g.relay.beginCall(address(of))
	if ok {
		g.relay.endCall(address(of))
	}
	return known
}

// send delivers a message now, later or never.
func (f *freshness) send(to int, deliver func(g *Gate)) {
	switch rapid.IntRange(0, 5).Draw(f.draw, "fate") {
	case 0: // lost
	case 1:
		f.late = append(f.late, lateMessage{to: to, deliver: deliver})
	default:
		f.pass("delay", 300*time.Millisecond)
		if !f.asleep(to) {
			deliver(f.gates[to])
		}
	}
}

// deliverLate delivers a message that was held up. It may be delivered again.
func (f *freshness) deliverLate() {
	if len(f.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.late)-1).Draw(f.draw, "late")
	m := f.late[i]
	if f.asleep(m.to) {
		return
	}
	if rapid.Bool().Draw(f.draw, "once") {
		f.late = append(f.late[:i], f.late[i+1:]...)
	}
	m.deliver(f.gates[m.to])
}

// fetch lets an entry fetch parts from another one, some of which arrive.
func (f *freshness) fetch(from, to int) {
	g := f.gates[to]
	for range rapid.IntRange(1, 3).Draw(f.draw, "parts") {
		part, err := f.gates[from].handleConfigPart(f.t.Context(), g.fetch.request(g.configVersion()))
		if err != nil {
			f.t.Fatal(err)
		}
		f.pass("part", 500*time.Millisecond)
		if f.asleep(to) || !g.applyPart(part, address(from)) {
			return
		}
	}
}

// step does one of the things that may happen.
func (f *freshness) step() {
	i := rapid.IntRange(0, freshnessEntries-1).Draw(f.draw, "entry")
	j := (i + rapid.IntRange(1, freshnessEntries-1).Draw(f.draw, "other")) % freshnessEntries
	what := rapid.SampledFrom([]string{"read", "read", "exchange", "exchange", "exchange", "late", "fetch", "write", "wait", "sleep", "restart", "copy"}).Draw(f.draw, "what")
	switch what {
	case "write":
		f.write()
	case "wait":
		f.pass("wait", time.Second)
	case "copy":
		f.copied = f.content
	case "late":
		f.deliverLate()
	case "restart":
		f.start(i)
	case "sleep":
		f.asleepUntil[i] = f.now + time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(f.draw, "asleep"))
	case "read":
		if g := f.gates[i]; !f.asleep(i) {
			_, err := g.readConfig()
			if err != nil && !errors.Is(err, errNoAnswer) {
				f.t.Fatal(err)
			}
		}
	case "exchange":
		if !f.asleep(i) {
			f.exchange(i, j)
		}
	case "fetch":
		if !f.asleep(i) && !f.asleep(j) {
			f.fetch(i, j)
		}
	}
}

// check checks what an entry would say to a caller now.
func (f *freshness) check(i int) {
	g := f.gates[i]
	inForce := g.configVersion()
	if inForce < f.highest[i] {
		f.draw.Fatalf("entry %d went back from version %d to %d", i, f.highest[i], inForce)
	}
	f.highest[i] = inForce
	if inForce != firstVersion && !f.isWritten(inForce) {
		f.draw.Fatalf("entry %d has version %d, which was never valid", i, inForce)
	}
	if g.configDoubt() == savorynews.Behind {
		return // a request would wait
	}
	for _, w := range f.written {
		c := newCall(g, routePrefix(w.version))
		err := c.selectRoute()
		switch {
		case w.version <= inForce && err != nil:
			f.draw.Fatalf("entry %d has version %d and refuses the route of %d: %v", i, inForce, w.version, err)
		case err != nil && err.Status == http.StatusNotFound && f.now-w.ackedAt > freshnessConfigTime:
			f.draw.Fatalf("entry %d has version %d and denies the route of %d, %s after it was acknowledged", i, inForce, w.version, f.now-w.ackedAt)
		}
	}
}

func (f *freshness) isWritten(version int64) bool {
	for _, w := range f.written {
		if w.version == version {
			return true
		}
	}
	return false
}

// Pattern: readings, exchanges, fetches, restarts, frozen entries and restored stores in any order.
// Guards against an entry that denies by an older configuration than it may, goes back to one, takes
// an invalid one or does not serve a route that it has.
func TestFreshness(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		f := &freshness{t: t, draw: draw, now: time.Minute, gates: make([]*Gate, freshnessEntries), highest: make([]int64, freshnessEntries), asleepUntil: make([]time.Duration, freshnessEntries)}
		f.revision = 1
		f.content = savorystore.Value{Key: "config", Revision: 1, Era: 1, Body: []byte(strconv.Itoa(firstVersion))}
		f.copied = f.content
		for i := range f.gates {
			f.start(i)
		}
		restores := rapid.Bool().Draw(draw, "restores")
		for range rapid.IntRange(1, 80).Draw(draw, "steps") {
			f.step()
			if restores && rapid.IntRange(0, 19).Draw(draw, "restore") == 0 {
				f.restore()
			}
			for i := range f.gates {
				if !f.asleep(i) {
					f.check(i)
				}
			}
		}
		f.settle()
	})
}

// settle lets all entries read the store, after which they serve all routes.
func (f *freshness) settle() {
	if string(f.content.Body) == "none" || len(f.written) == 0 {
		return
	}
	f.now += time.Minute
	f.settling = true
	for i, g := range f.gates {
		for g.configDoubt() != savorynews.None {
			if _, err := g.readConfig(); err != nil && !errors.Is(err, errNoAnswer) {
				f.draw.Fatal(err)
			}
		}
		if newest := f.written[len(f.written)-1].version; g.configVersion() != newest {
			f.draw.Fatalf("entry %d has read the store and has version %d, not %d", i, g.configVersion(), newest)
		}
		f.check(i)
	}
}
