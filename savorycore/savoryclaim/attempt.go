package savoryclaim

// This file defines Attempt, the state machine of one request at one entry.

import (
	"net/http"
	"time"

	"savorycart.example/savorycore/savoryverdict"
)

const (
	// MaxSendDelay is the maximum delay between the start of an attempt and
	// sending the request. An entry that was paused for longer releases its
	// claim.
	MaxSendDelay = 30 * time.Second
	// inFlightRetryAfter is the Retry-After for a key whose request is in
	// flight.
	inFlightRetryAfter = 2 * time.Second
	// storeOutageRetryAfter is the Retry-After during a store outage.
	storeOutageRetryAfter = 5 * time.Second
)

// ActionKind is the kind of the next action of an attempt.
type ActionKind int

// The kinds of actions. The caller of the Attempt carries them out.
const (
	// Create writes Record if the key is absent; its result goes to Created.
	Create ActionKind = iota
	// Send sends the request to the backend server; its result goes to Sent.
	Send
	// Finish replaces the record at ExpectedRevision by Record; its result goes
	// to Settled.
	Finish
	// Release deletes the key at ExpectedRevision; its result goes to Settled.
	Release
	// Reply answers the caller; it is the last action.
	Reply
)

// Action is the next step of an attempt.
type Action struct {
	Kind ActionKind
	// Record is the value that Create and Finish write.
	Record *Record
	// ExpectedRevision is the revision that Finish and Release require.
	ExpectedRevision int64
	// Answer is the answer that Reply returns if Err is nil. It is nil if the
	// answer is too large to be recorded.
	Answer *Answer
	// Replayed reports whether Answer was recorded by an earlier request.
	Replayed bool
	// Err is the error that Reply returns.
	Err *savoryverdict.Error
}

// StoreResult is the result of a write to the store.
type StoreResult struct {
	// Failed reports that the store did not answer. The write may have been
	// applied unless NotApplied is true.
	Failed     bool
	NotApplied bool
	// Applied reports that the write was applied, at Revision.
	Applied  bool
	Revision int64
	// Current is the record that made the comparison fail; nil if the key is
	// absent.
	Current *Record
	// CurrentRevision is the revision of Current.
	CurrentRevision int64
}

// SendResult is the result of sending the request.
type SendResult struct {
	// Answer is the backend server's answer if it was received completely.
	Answer *Answer
	// TooLarge reports that the answer went to the caller but is too large to
	// be recorded.
	TooLarge bool
	// Err is the failure if no answer was received.
	Err *savoryverdict.Error
}

// Attempt handles one request with an idempotency key at one entry. Its
// exported fields are set before Start.
type Attempt struct {
	Identity Identity
	Entry    string
	// Nonce must be unique among all attempts.
	Nonce string
	// ForwardWithoutStore makes the attempt send the request without a record
	// when the store is unavailable.
	ForwardWithoutStore bool
	// MaxCreateTries is the maximum number of times that Create is tried.
	MaxCreateTries int

	started time.Time
	tries   int
	// uncertain reports that a Create without an answer may have been applied.
	uncertain bool
	// forwarded reports that the request was sent without a record.
	forwarded bool
	// revision is the revision of this attempt's record; 0 without a claim.
	revision int64
	reply    Action
}

// Start returns the first action.
func (a *Attempt) Start(now time.Time) Action {
	a.started = now
	return a.create(now)
}

// Created handles the result of Create and returns the next action.
func (a *Attempt) Created(s StoreResult, now time.Time) Action {
	if s.Failed {
		return a.createFailed(s, now)
	}
	if s.Applied {
		return a.onClaimed(s.Revision, now)
	}
	if s.Current == nil {
		// The key was deleted between the comparison and the read.
		return a.create(now)
	}
	if s.Current.Nonce == a.Nonce {
		// An earlier Create of this attempt was applied, but its answer was lost.
		return a.onClaimed(s.CurrentRevision, now)
	}
	return a.replyToDuplicate(s.Current)
}

// Sent handles the result of Send and returns the next action.
func (a *Attempt) Sent(s SendResult, now time.Time) Action {
	if s.Err != nil {
		a.reply = Action{Kind: Reply, Err: s.Err}
		if s.Err.Verdict == savoryverdict.NotRun && a.revision != 0 {
			return Action{Kind: Release, ExpectedRevision: a.revision}
		}
		return a.reply
	}
	a.reply = Action{Kind: Reply, Answer: s.Answer}
	if a.revision == 0 {
		return a.reply
	}
	record := a.record(now)
	record.State = Done
	if !s.TooLarge && s.Answer != nil && len(s.Answer.Body) <= MaxAnswerBytes {
		record.Answer = s.Answer
	}
	return Action{Kind: Finish, Record: record, ExpectedRevision: a.revision}
}

// Settled handles the result of Finish or Release and returns the Reply, which
// does not depend on that result: if the record stays Claimed, a retry gets the
// verdict MayHaveRun, which is less exact but correct.
func (a *Attempt) Settled(StoreResult) Action { return a.reply }

// MayHaveOrphanRecord reports whether the store may hold a record of this
// attempt although the request was not sent. The caller then reads the key later
// and deletes the record if it has this attempt's nonce.
func (a *Attempt) MayHaveOrphanRecord() bool { return a.uncertain && a.revision == 0 && !a.forwarded }

func (a *Attempt) create(now time.Time) Action {
	a.tries++
	return Action{Kind: Create, Record: a.record(now)}
}

func (a *Attempt) record(now time.Time) *Record {
	return &Record{Identity: a.Identity, Entry: a.Entry, Nonce: a.Nonce, At: now, State: Claimed}
}

// onClaimed returns the action after the record with this attempt's nonce is
// found to be in the store: Send, or Release if the claim took too long.
func (a *Attempt) onClaimed(revision int64, now time.Time) Action {
	a.revision = revision
	if now.Sub(a.started) <= MaxSendDelay {
		return Action{Kind: Send}
	}
	a.reply = Action{Kind: Reply, Err: savoryverdict.Unavailable("ClaimTooOld", inFlightRetryAfter,
		"claiming the idempotency key took %s; the request was not sent", now.Sub(a.started).Round(time.Second))}
	return Action{Kind: Release, ExpectedRevision: revision}
}

// createFailed returns the action after a Create without an answer.
func (a *Attempt) createFailed(s StoreResult, now time.Time) Action {
	if !s.NotApplied {
		a.uncertain = true
	}
	if a.tries < a.MaxCreateTries && now.Sub(a.started) <= MaxSendDelay {
		return a.create(now)
	}
	if a.ForwardWithoutStore {
		a.forwarded = true
		return Action{Kind: Send}
	}
	// This entry sent nothing, but without the store it cannot rule out that an
	// earlier request with the key ran.
	unavailable := savoryverdict.Unavailable("StoreOut", storeOutageRetryAfter,
		"the store of idempotency keys is unavailable; this request was not sent, but an earlier one with the key may have run")
	unavailable.Verdict = savoryverdict.MayHaveRun
	return Action{Kind: Reply, Err: unavailable}
}

// replyToDuplicate returns the reply to a request whose key has the record of
// another attempt.
func (a *Attempt) replyToDuplicate(current *Record) Action {
	verdict := savoryverdict.MayHaveRun
	if current.State == Done {
		verdict = savoryverdict.Ran
	}
	reject := func(status int, code, message string, retryAfter time.Duration) Action {
		return Action{Kind: Reply, Err: &savoryverdict.Error{
			Verdict: verdict, Status: status, Code: code, Field: "Idempotency-Key", Message: message, RetryAfter: retryAfter,
		}}
	}
	switch {
	case current.Identity != a.Identity:
		return reject(http.StatusUnprocessableEntity, "KeyReused",
			"the key was used for a different request; this request was not sent", 0)
	case current.State == Done && current.Answer != nil:
		return Action{Kind: Reply, Answer: current.Answer, Replayed: true}
	case current.State == Done:
		return reject(http.StatusConflict, "AlreadyRan", "the request ran, but its answer was not recorded", 0)
	default:
		return reject(http.StatusConflict, "KeyClaimed",
			"a request with this key is in flight or its outcome is unknown", inFlightRetryAfter)
	}
}
