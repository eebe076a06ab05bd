package savoryclaim

// This file defines an exhaustive test of the claim protocol: it runs every
// interleaving of the steps of two entries with every fault of the store and of
// the connection to the service.

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryverdict"
)

// Faults of one store call. 0 is no fault.
const (
	storeAnswers = iota
	storeAnswersLate
	storeLosesAnswer
	storeLosesCall
	storeAppliesLater
	storeFaults
)

// Faults of one send to the service. 0 is no fault.
const (
	sendAnswers = iota
	sendRefused
	sendLosesAnswer
	sendLosesCall
	sendFaults
)

// model is one run: a store with one key, a service that counts executions, and
// two entries. Every nondeterministic choice calls choose.
type model struct {
	choose    func(n int) int
	now       time.Time
	revision  int64
	record    *Record
	recordRev int64
	// executed counts the executions by the service.
	executed int
	// delayed holds writes that the store has not applied yet.
	delayed []func()
	actors  []*actor
	// faults is the number of faults that may still occur.
	faults int
	// violation is the first violated property; empty if there is none.
	violation string
	// ignoreDeleteRevision makes deletions ignore the expected revision.
	ignoreDeleteRevision bool
}

// actor is one request at one entry.
type actor struct {
	name    string
	attempt *Attempt
	action  Action
	done    bool
	// ran reports that this entry's own send was executed.
	ran bool
	// released reports that this entry released its claim. The key had not run
	// then; another request may have run since.
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

// run executes the steps of the actors in a chosen order, then a third request
// without faults.
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

// ready returns the possible next events: a step of a live actor, its failure,
// or a delayed write.
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

// fault chooses one of n outcomes while faults remain; 0 is no fault.
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

// step carries out the next action of an actor.
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
			m.fail("%s released the claim of a key that ran", a.name)
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

// reply ends an actor and checks its verdict against what the service executed.
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
		m.fail("%s replied NotRun although its request ran", a.name)
	case verdict == savoryverdict.NotRun && m.executed > 0 && !a.released:
		m.fail("%s replied NotRun although the key ran", a.name)
	case verdict == savoryverdict.Ran && m.executed == 0:
		m.fail("%s replied Ran although nothing ran", a.name)
	case a.action.Replayed && string(a.action.Answer.Body) != "done":
		m.fail("%s replayed a wrong answer", a.name)
	}
}

// clear is the later deletion of a record that a write without an answer may
// have left.
func (m *model) clear(nonce string) {
	if m.record != nil && m.record.Nonce == nonce {
		m.record = nil
	}
}

// settle runs a compare-and-swap that the caller of the Attempt repeats later
// if the store did not answer.
func (m *model) settle(old int64, record *Record) StoreResult {
	answer := m.store(old, record)
	if answer.Failed {
		m.delayed = append(m.delayed, func() { m.swap(old, record) })
	}
	return answer
}

// store runs a compare-and-swap with a chosen fault.
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

// swap applies a compare-and-swap. A nil record deletes the key.
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

// send sends the request to the service with a chosen fault.
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

// execute counts an execution by the service and checks that it is the first.
func (m *model) execute(a *actor) {
	m.executed++
	a.ran = true
	if m.executed > 1 {
		m.fail("%s executed the key a second time", a.name)
	}
}

// fail records the first violation.
func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// explore runs every sequence of choices with up to the given number of faults.
// It returns the number of runs and the first violation, if any.
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

// Guards against executing a request twice and against wrong verdicts, which may
// come about when the steps of two entries interleave with lost calls, lost
// answers, delayed writes and the failure of an entry.
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

// Guards against an exploration that finds nothing: it must detect a deletion
// that ignores the revision.
func TestInterleavingsDetectUnconditionalDelete(t *testing.T) {
	is := is.New(t)
	_, violation := explore(3, true)
	is.True(violation != "")
}
