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

// model is one run: a store with one key, a service that counts, and two
// entries. Each choice that could go several ways asks choose.
type model struct {
	choose    func(n int) int
	now       time.Time
	revision  int64
	record    *Record
	recordRev int64
	executed  int
	delayed   []func()
	actors    []*actor
	faults    int
	violation string
	// ignoreDeleteRevision makes deletions ignore the revision that they expect.
	ignoreDeleteRevision bool
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

func newModel(choose func(int) int) *model {
	m := &model{choose: choose, now: time.Unix(1000, 0)}
	for _, name := range []string{"a", "b"} {
		m.actors = append(m.actors, m.newActor(name))
	}
	return m
}

func (m *model) newActor(name string) *actor {
	a := &actor{name: name, attempt: &Attempt{
		Identity: Identity{Customer: "c", Route: "callouts"}, Entry: name, Nonce: name, MaxCreateTries: 2,
	}}
	return a
}

// run lets the actors take steps in a chosen order, then a third request comes
// when all faults are over.
func (m *model) run() {
	for _, a := range m.actors {
		a.action = a.attempt.Start(m.now)
	}
	for {
		ready := m.ready()
		if len(ready) == 0 {
			break
		}
		ready[m.choose(len(ready))]()
	}
	m.faults = 0
	last := m.newActor("last")
	last.action = last.attempt.Start(m.now)
	for !last.done {
		m.step(last)
	}
}

// ready returns what can happen next: a step of a live actor, its death, or a
// write that was under way.
func (m *model) ready() []func() {
	var ready []func()
	for _, a := range m.actors {
		if a.done {
			continue
		}
		ready = append(ready, func() { m.step(a) })
		if m.faults > 0 {
			ready = append(ready, func() {
				m.faults--
				a.done = true
			})
		}
	}
	for i, write := range m.delayed {
		ready = append(ready, func() {
			m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
			write()
		})
	}
	return ready
}

// fault chooses a fault while any are left.
func (m *model) fault(n int) int {
	if m.faults == 0 {
		return 0
	}
	f := m.choose(n)
	if f != 0 {
		m.faults--
	}
	return f
}

func (m *model) step(a *actor) {
	switch a.action.Kind {
	case Create:
		record := *a.action.Record
		answer := m.store(0, &record)
		a.action = a.attempt.Created(answer, m.now)
	case Send:
		answer := m.send(a)
		a.action = a.attempt.Sent(answer, m.now)
		if a.action.Kind == Release && m.executed > 0 {
			m.fail("%s releases a claim of a key that ran", a.name)
		}
	case Finish:
		record := *a.action.Record
		a.action = a.attempt.Settled(m.settle(a.action.ExpectedRevision, &record))
	case Release:
		a.released = true
		a.action = a.attempt.Settled(m.settle(a.action.ExpectedRevision, nil))
	case Reply:
		m.reply(a)
	}
}

func (m *model) reply(a *actor) {
	a.done = true
	if a.attempt.MayHaveOrphanRecord() {
		m.delayed = append(m.delayed, func() { m.clear(a.attempt.Nonce) })
	}
	verdict := savoryverdict.Ran
	if a.action.Err != nil {
		verdict = a.action.Err.Verdict
	}
	switch {
	case verdict == savoryverdict.NotRun && a.ran:
		m.fail("%s says NotRun of what it ran", a.name)
	case verdict == savoryverdict.NotRun && m.executed > 0 && !a.released:
		m.fail("%s says NotRun of a key that ran", a.name)
	case verdict == savoryverdict.Ran && m.executed == 0:
		m.fail("%s says Ran of what never ran", a.name)
	case a.action.Replayed && string(a.action.Answer.Body) != "done":
		m.fail("%s replays a wrong answer", a.name)
	}
}

// clear is what the plumbing does later with a record that a lost write may
// have left.
func (m *model) clear(nonce string) {
	if m.record != nil && m.record.Nonce == nonce {
		m.record = nil
	}
}

// settle runs a compare-and-swap that the plumbing repeats later if it got no
// answer.
func (m *model) settle(old int64, record *Record) StoreResult {
	answer := m.store(old, record)
	if answer.Failed {
		m.delayed = append(m.delayed, func() { m.swap(old, record) })
	}
	return answer
}

// store runs a compare-and-swap with a fault.
func (m *model) store(old int64, record *Record) StoreResult {
	switch m.fault(storeFaults) {
	case storeAnswersLate:
		answer := m.swap(old, record)
		m.now = m.now.Add(2 * MaxSendDelay)
		return answer
	case storeLosesAnswer:
		m.swap(old, record)
		return StoreResult{Failed: true}
	case storeLosesCall:
		return StoreResult{Failed: true}
	case storeAppliesLater:
		m.delayed = append(m.delayed, func() { m.swap(old, record) })
		return StoreResult{Failed: true}
	default:
		return m.swap(old, record)
	}
}

func (m *model) swap(old int64, record *Record) StoreResult {
	ignoreRevision := m.ignoreDeleteRevision && record == nil
	if !ignoreRevision && m.recordRev != old && (m.record != nil || old != 0) {
		return StoreResult{Current: m.record, CurrentRevision: m.recordRev}
	}
	m.revision++
	m.record, m.recordRev = record, m.revision
	if record == nil {
		m.recordRev = 0
	}
	return StoreResult{Applied: true, Revision: m.revision}
}

// send sends the request to the service with a fault.
func (m *model) send(a *actor) SendResult {
	lost := &savoryverdict.Error{Verdict: savoryverdict.MayHaveRun}
	switch m.fault(sendFaults) {
	case sendRefused:
		return SendResult{Err: &savoryverdict.Error{Verdict: savoryverdict.NotRun}}
	case sendLosesAnswer:
		m.execute(a)
		return SendResult{Err: lost}
	case sendLosesCall:
		return SendResult{Err: lost}
	default:
		m.execute(a)
		return SendResult{Answer: &Answer{Status: 201, Body: []byte("done")}}
	}
}

func (m *model) execute(a *actor) {
	m.executed++
	a.ran = true
	if m.executed > 1 {
		m.fail("%s ran the key a second time", a.name)
	}
}

func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// explore runs every sequence of choices and returns the number of runs and
// the first problem.
func explore(faults int, ignoreDeleteRevision bool) (int, string) {
	var path []int
	for runs := 1; ; runs++ {
		depth := 0
		var widths []int
		m := newModel(func(n int) int {
			if depth == len(path) {
				path = append(path, 0)
			}
			widths = append(widths, n)
			choice := path[depth]
			depth++
			return choice
		})
		m.faults = faults
		m.ignoreDeleteRevision = ignoreDeleteRevision
		m.run()
		if m.violation != "" {
			return runs, fmt.Sprintf("%s; choices %v", m.violation, path[:depth])
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
			runs, violation := explore(faults, false)
			t.Logf("%d runs", runs)
			is.Equal(violation, "")
		})
	}
}

// The test must find a deletion that ignores revisions, or its success says
// nothing.
func TestInterleavingsDetectUnconditionalDelete(t *testing.T) {
	is := is.New(t)
	_, violation := explore(3, true)
	is.True(violation != "")
}
