package savoryclaim

// This file defines an exhaustive test: every order of the steps of two entries
// under every fault of the store and of the connection to the service.

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryverdict"
)

// faults of one store call.
const (
	storeAnswers = iota
	storeAnswersLate
	storeLosesAnswer
	storeLosesCall
	storeAppliesLater
	storeFaults
)

// faults of one sending.
const (
	sendAnswers = iota
	sendRefused
	sendLosesAnswer
	sendLosesCall
	sendFaults
)

// world is one run: a store with one key, a service that counts, and two
// entries. Each choice that could go several ways asks choose.
type world struct {
	choose    func(n int) int
	now       time.Time
	revision  int64
	record    *Record
	recordRev int64
	executed  int
	late      []func()
	actors    []*actor
	faults    int
	problem   string
	// careless makes deletions ignore the revision that they expect.
	careless bool
}

type actor struct {
	name    string
	attempt *Attempt
	action  Action
	done    bool
	// ran says that this entry's own sending was carried out.
	ran bool
	// released says that this entry gave its claim back. The key was not run
	// then; another request may have run it since.
	released bool
}

func newWorld(choose func(int) int) *world {
	w := &world{choose: choose, now: time.Unix(1000, 0)}
	for _, name := range []string{"a", "b"} {
		w.actors = append(w.actors, w.newActor(name))
	}
	return w
}

func (w *world) newActor(name string) *actor {
	a := &actor{name: name, attempt: &Attempt{
		Identity: Identity{Customer: "c", Route: "callouts"}, Entry: name, Nonce: name, MaxCreateTries: 2,
	}}
	return a
}

// run lets the actors take steps in a chosen order, then a third request comes
// when all faults are over.
func (w *world) run() {
	for _, a := range w.actors {
		a.action = a.attempt.Start(w.now)
	}
	for {
		ready := w.ready()
		if len(ready) == 0 {
			break
		}
		ready[w.choose(len(ready))]()
	}
	w.faults = 0
	last := w.newActor("last")
	last.action = last.attempt.Start(w.now)
	for !last.done {
		w.step(last)
	}
}

// ready returns what can happen next: a step of a live actor, its death, or a
// write that was under way.
func (w *world) ready() []func() {
	var ready []func()
	for _, a := range w.actors {
		if a.done {
			continue
		}
		ready = append(ready, func() { w.step(a) })
		if w.faults > 0 {
			ready = append(ready, func() {
				w.faults--
				a.done = true
			})
		}
	}
	for i, write := range w.late {
		ready = append(ready, func() {
			w.late = append(w.late[:i:i], w.late[i+1:]...)
			write()
		})
	}
	return ready
}

// fault chooses a fault while any are left.
func (w *world) fault(n int) int {
	if w.faults == 0 {
		return 0
	}
	f := w.choose(n)
	if f != 0 {
		w.faults--
	}
	return f
}

func (w *world) step(a *actor) {
	switch a.action.Kind {
	case Create:
		record := *a.action.Record
		answer := w.store(0, &record)
		a.action = a.attempt.Created(answer, w.now)
	case Send:
		answer := w.send(a)
		a.action = a.attempt.Sent(answer, w.now)
		if a.action.Kind == Release && w.executed > 0 {
			w.fail("%s releases a claim of a key that ran", a.name)
		}
	case Finish:
		record := *a.action.Record
		a.action = a.attempt.Settled(w.settle(a.action.ExpectedRevision, &record))
	case Release:
		a.released = true
		a.action = a.attempt.Settled(w.settle(a.action.ExpectedRevision, nil))
	case Reply:
		w.reply(a)
	}
}

func (w *world) reply(a *actor) {
	a.done = true
	if a.attempt.MayHaveOrphanRecord() {
		w.late = append(w.late, func() { w.clear(a.attempt.Nonce) })
	}
	verdict := savoryverdict.Ran
	if a.action.Err != nil {
		verdict = a.action.Err.Verdict
	}
	switch {
	case verdict == savoryverdict.NotRun && a.ran:
		w.fail("%s says NotRun of what it ran", a.name)
	case verdict == savoryverdict.NotRun && w.executed > 0 && !a.released:
		w.fail("%s says NotRun of a key that ran", a.name)
	case verdict == savoryverdict.Ran && w.executed == 0:
		w.fail("%s says Ran of what never ran", a.name)
	case a.action.Replayed && string(a.action.Answer.Body) != "done":
		w.fail("%s replays a wrong answer", a.name)
	}
}

// clear is what the plumbing does later with a record that a lost write may
// have left.
func (w *world) clear(nonce string) {
	if w.record != nil && w.record.Nonce == nonce {
		w.record = nil
	}
}

// settle runs a compare-and-swap that the plumbing repeats later if it got no
// answer.
func (w *world) settle(old int64, record *Record) StoreResult {
	answer := w.store(old, record)
	if answer.Failed {
		w.late = append(w.late, func() { w.swap(old, record) })
	}
	return answer
}

// store runs a compare-and-swap with a fault.
func (w *world) store(old int64, record *Record) StoreResult {
	switch w.fault(storeFaults) {
	case storeAnswersLate:
		answer := w.swap(old, record)
		w.now = w.now.Add(2 * MaxSendDelay)
		return answer
	case storeLosesAnswer:
		w.swap(old, record)
		return StoreResult{Failed: true}
	case storeLosesCall:
		return StoreResult{Failed: true}
	case storeAppliesLater:
		w.late = append(w.late, func() { w.swap(old, record) })
		return StoreResult{Failed: true}
	default:
		return w.swap(old, record)
	}
}

func (w *world) swap(old int64, record *Record) StoreResult {
	careless := w.careless && record == nil
	if !careless && w.recordRev != old && (w.record != nil || old != 0) {
		return StoreResult{Current: w.record, CurrentRevision: w.recordRev}
	}
	w.revision++
	w.record, w.recordRev = record, w.revision
	if record == nil {
		w.recordRev = 0
	}
	return StoreResult{Applied: true, Revision: w.revision}
}

// send sends the request to the service with a fault.
func (w *world) send(a *actor) SendResult {
	lost := &savoryverdict.Error{Verdict: savoryverdict.MayHaveRun}
	switch w.fault(sendFaults) {
	case sendRefused:
		return SendResult{Err: &savoryverdict.Error{Verdict: savoryverdict.NotRun}}
	case sendLosesAnswer:
		w.execute(a)
		return SendResult{Err: lost}
	case sendLosesCall:
		return SendResult{Err: lost}
	default:
		w.execute(a)
		return SendResult{Answer: &Answer{Status: 201, Body: []byte("done")}}
	}
}

func (w *world) execute(a *actor) {
	w.executed++
	a.ran = true
	if w.executed > 1 {
		w.fail("%s ran the key a second time", a.name)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

// explore runs every sequence of choices and returns the number of runs and
// the first problem.
func explore(faults int, careless bool) (int, string) {
	var path []int
	for runs := 1; ; runs++ {
		depth := 0
		var widths []int
		w := newWorld(func(n int) int {
			if depth == len(path) {
				path = append(path, 0)
			}
			widths = append(widths, n)
			choice := path[depth]
			depth++
			return choice
		})
		w.faults = faults
		w.careless = careless
		w.run()
		if w.problem != "" {
			return runs, fmt.Sprintf("%s; choices %v", w.problem, path[:depth])
		}
		path = path[:depth]
		for len(path) > 0 && path[len(path)-1] == widths[len(path)-1]-1 {
			path = path[:len(path)-1]
		}
		if len(path) == 0 {
			return runs, ""
		}
		path[len(path)-1]++
	}
}

func TestAtMostOnceUnderAllInterleavings(t *testing.T) {
	for faults := range 4 {
		t.Run(fmt.Sprintf("%d faults", faults), func(t *testing.T) {
			is := is.New(t)
			runs, problem := explore(faults, false)
			t.Logf("%d runs", runs)
			is.Equal(problem, "")
		})
	}
}

// The test must find a deletion that ignores revisions, or its success says
// nothing.
func TestInterleavingsFindCarelessDelete(t *testing.T) {
	is := is.New(t)
	_, problem := explore(3, true)
	is.True(problem != "")
}
