package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savorynode"
	"savorycart.example/savorystand/savoryplatform"
	"savorycart.example/savorystand/savorysite"
)

const (
	raceTeams   = 4
	raceChanges = 6
)

// raceOutcome is the result of one submitted change.
type raceOutcome struct {
	customer string
	revision uint64
	err      error
}

// Guards against missing, duplicated or reverted configuration changes when teams
// submit at different entries while the store drops responses or is unavailable. Every
// accepted change must be in the final document, no change refused as NotRun may be
// in it, no two changes share a revision, and no entry's revision ever decreases.
func TestRacingTeams(t *testing.T) {
	is := is.New(t)
	site := &savorysite.Site{
		Entries: 3, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard(),
		EditSettings: func(s *savorynode.Settings) {
			s.Platform.StoreTimeout = savoryworld.Duration(100 * time.Millisecond)
		},
	}
	defer site.Stop()
	is.NoErr(site.Start())

	var done atomic.Bool
	var regressions atomic.Int64
	var watchers, teams sync.WaitGroup
	for _, e := range site.Nodes {
		watchers.Go(func() {
			last := uint64(0)
			for !done.Load() {
				now := e.Node.Revision()
				if now < last {
					regressions.Add(1)
				}
				last = now
				time.Sleep(time.Millisecond)
			}
		})
	}
	watchers.Go(func() { injectStoreFaults(site.Platform, &done) })
	outcomes := make(chan raceOutcome, raceTeams*raceChanges)
	for team := range raceTeams {
		teams.Go(func() {
			for i := range raceChanges {
				outcomes <- addCustomer(site.Nodes[team%len(site.Nodes)], fmt.Sprintf("team-%d-%d", team, i))
			}
		})
	}
	teams.Wait()
	done.Store(true)
	watchers.Wait()
	close(outcomes)
	site.Platform.SetFaults(savoryplatform.Faults{})

	is.Equal(regressions.Load(), int64(0))
	revisions := make(map[uint64]string)
	highest := uint64(0)
	var all []raceOutcome
	for o := range outcomes {
		all = append(all, o)
		if o.err == nil {
			is.Equal(revisions[o.revision], "") // one change for each revision
			revisions[o.revision] = o.customer
			highest = max(highest, o.revision)
		}
	}
	is.True(len(revisions) > 0)
	is.NoErr(site.WaitRevision(highest))
	present := customersInForce(t, site.Nodes[0])
	for _, o := range all {
		if o.err == nil && !present[o.customer] {
			t.Errorf("%s was accepted as revision %d but is not in force", o.customer, o.revision)
		}
		if o.err != nil && savoryverdict.Of(o.err) == savoryverdict.NotRun && present[o.customer] {
			t.Errorf("%s was refused as NotRun but is in force: %v", o.customer, o.err)
		}
	}
}

// injectStoreFaults changes the store's faults at random until done is set.
func injectStoreFaults(p *savoryplatform.Platform, done *atomic.Bool) {
	source := rand.New(rand.NewPCG(1, 1))
	for !done.Load() {
		faults := savoryplatform.Faults{DropResponses: source.IntN(3)}
		if source.IntN(4) == 0 {
			faults.Unavailable = true
		}
		p.SetFaults(faults)
		time.Sleep(30 * time.Millisecond)
	}
}

// addCustomer reads the customers section at an entry, adds a customer and submits
// the section.
func addCustomer(e *savorysite.Entry, name string) raceOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	o := raceOutcome{customer: name}
	current, err := e.Operator("").Document(ctx, savoryconfig.Customers)
	if err != nil {
		return raceOutcome{customer: name, err: errors.Join(err, &savoryverdict.Error{Verdict: savoryverdict.NotRun})}
	}
	doc, err := savoryconfig.Parse("shown", current.Text)
	if err != nil {
		o.err = err
		return o
	}
	doc.Customers = append(doc.Customers, savoryworld.Customer{
		Name: name, KeySHA256: []string{savorysite.Digest(name)}, HomeRegion: "limpopo",
	})
	o.revision, o.err = e.Submit(ctx, savoryconfig.Customers, "desk", current.Revision, doc)
	return o
}

func customersInForce(t *testing.T, e *savorysite.Entry) map[string]bool {
	t.Helper()
	current, err := e.Operator("").Document(context.Background(), savoryconfig.Customers)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := savoryconfig.Parse("shown", current.Text)
	if err != nil {
		t.Fatal(err)
	}
	present := make(map[string]bool)
	for _, c := range doc.Customers {
		present[c.Name] = true
	}
	return present
}
