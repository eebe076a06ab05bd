package savoryclaim

// This file defines Attempt, the state machine of one request at one entry.

import (
	"net/http"
	"time"

	"savorycart.example/savorycore/savoryverdict"
)

const (
	// MaxSendDelay is the longest time between the claim and the sending. An
	// entry that was paused for longer gives the claim back.
	MaxSendDelay = 30 * time.Second
	// inFlightRetryAfter is when a caller may ask again about a request in flight.
	inFlightRetryAfter = 2 * time.Second
	// storeOutageRetryAfter is when a caller may ask again after a store outage.
	storeOutageRetryAfter = 5 * time.Second
)

// ActionKind says what the plumbing does next.
type ActionKind int

// The kinds of actions.
const (
	// Create writes Record if the key is absent, then calls Created.
	Create ActionKind = iota
	// Send sends the request to the backend server, then calls Sent.
	Send
	// Finish writes Record over revision Old, then calls Settled.
	Finish
	// Release deletes the key at revision Old, then calls Settled.
	Release
	// Reply answers the caller; it is the last action.
	Reply
)

// Action is the next step of an attempt.
type Action struct {
	Kind ActionKind
	// Record is what Create and Finish write.
	Record *Record
	// ExpectedRevision is the revision that Finish and Release expect.
	ExpectedRevision int64
	// Answer is what Reply returns to the caller, if Err is nil.
	Answer *Answer
	// Replayed says that Answer was recorded by an earlier request.
	Replayed bool
	// Err is the error that Reply returns to the caller.
	Err *savoryverdict.Error
}

// StoreResult is the outcome of a write to the store.
type StoreResult struct {
	// Failed says that the store gave no answer; the write may have been
	// applied unless Untouched.
	Failed    bool
	NotApplied bool
	// Applied says that the write was applied, at Revision.
	Applied      bool
	Revision int64
	// Current is the record that stands in the way; nil if the key is absent.
	Current *Record
	// CurrentRevision is the revision of Current.
	CurrentRevision int64
}

// SendResult is the outcome of sending the request.
type SendResult struct {
	// Answer is the backend server's answer, if it came whole.
	Answer *Answer
	// TooLarge says that the answer went to the caller but is not recorded.
	TooLarge bool
	// Err is the failure if no answer came.
	Err *savoryverdict.Error
}

// Attempt is one request under a key at one entry. Its exported fields are set
// before Start.
type Attempt struct {
	Identity Identity
	Entry    string
	// Nonce must differ from that of any other attempt.
	Nonce string
	// ForwardWithoutStore sends the request without a record when the store is out.
	ForwardWithoutStore bool
	// MaxCreateTries is the number of times that Create is tried.
	MaxCreateTries int

	started  time.Time
	tries    int
	createUncertain bool
	// forwarded says that the request was sent without a record.
	forwarded bool
	revision  int64
	reply     Action
}

// Start returns the first action.
func (a *Attempt) Start(now time.Time) Action {
	a.started = now
	return a.create(now)
}

// Created takes the outcome of Create at now.
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
		// An earlier Create of this attempt was applied; its answer was lost.
		return a.onClaimed(s.CurrentRevision, now)
	}
	return a.replyToDuplicate(s.Current)
}

// Sent takes the outcome of Send.
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

// Settled takes the outcome of Finish or Release. The reply does not depend on
// it: a record that stays Claimed makes a retry MayHaveRun, which is weaker
// but not wrong.
func (a *Attempt) Settled(StoreResult) Action { return a.reply }

// MayHaveOrphanRecord reports whether a record of this attempt may stand in the store
// although the request was not sent. The plumbing then reads the key later and
// deletes the record if its nonce is this attempt's.
func (a *Attempt) MayHaveOrphanRecord() bool { return a.createUncertain && a.revision == 0 && !a.forwarded }

func (a *Attempt) create(now time.Time) Action {
	a.tries++
	return Action{Kind: Create, Record: a.record(now)}
}

func (a *Attempt) record(now time.Time) *Record {
	return &Record{Identity: a.Identity, Entry: a.Entry, Nonce: a.Nonce, At: now, State: Claimed}
}

// onClaimed is called when the record with this attempt's nonce stands in the store.
func (a *Attempt) onClaimed(revision int64, now time.Time) Action {
	a.revision = revision
	if now.Sub(a.started) <= MaxSendDelay {
		return Action{Kind: Send}
	}
	a.reply = Action{Kind: Reply, Err: savoryverdict.Unavailable("ClaimTooOld", inFlightRetryAfter,
		"the idempotency key was claimed %s ago; the request was not sent", now.Sub(a.started).Round(time.Second))}
	return Action{Kind: Release, ExpectedRevision: revision}
}

func (a *Attempt) createFailed(s StoreResult, now time.Time) Action {
	if !s.NotApplied {
		a.createUncertain = true
	}
	if a.tries < a.MaxCreateTries && now.Sub(a.started) <= MaxSendDelay {
		return a.create(now)
	}
	if a.ForwardWithoutStore {
		a.forwarded = true
		return Action{Kind: Send}
	}
	// This entry sent nothing, but without the store it cannot know whether an
	// earlier request with the key ran.
	unavailable := savoryverdict.Unavailable("StoreOut", storeOutageRetryAfter,
		"the store that holds idempotency keys does not answer; this request was not sent, an earlier one with the key may have run")
	unavailable.Verdict = savoryverdict.MayHaveRun
	return Action{Kind: Reply, Err: unavailable}
}

// replyToDuplicate answers a request whose key is held by another claim.
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
			"the key was used for another request; this one was not sent", 0)
	case current.State == Done && current.Answer != nil:
		return Action{Kind: Reply, Answer: current.Answer, Replayed: true}
	case current.State == Done:
		return reject(http.StatusConflict, "AlreadyRan", "the request ran; its answer was not recorded", 0)
	default:
		return reject(http.StatusConflict, "KeyClaimed",
			"a request with this key is in flight or its outcome is not known", inFlightRetryAfter)
	}
}
