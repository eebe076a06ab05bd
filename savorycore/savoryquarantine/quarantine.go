// Package savoryquarantine decides which parts of prompts end the servers that answer on
// them, and which requests are not sent for that reason.
//
// A Tracker takes the ends of servers under requests and the progress of answers, at its
// own entry and, merged from the States of other entries, at all others. A part is
// quarantined after several servers have ended under requests that share it, if no answer
// on it went on at any entry. A server that ends takes all of its requests along, so a
// part is never judged by the ends alone: one answer that went on, anywhere, is proof
// that the part is sound.
//
// The package does no I/O, reads no clock and starts no goroutine.
package savoryquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minEnds is the number of ends under a part that quarantine it, and minAddresses the
	// number of addresses at which they happened: a VM at which one server after the other
	// ends is at fault itself.
	minEnds      = 3
	minAddresses = 2
	// minRequests is the number of requests that must share the part, and
	// maxEndsPerRequest the number of ends that count of each: the cause of one request
	// that ends server after server may be in what it shares with no other.
	minRequests       = 2
	maxEndsPerRequest = 2
	// roundGap separates ends that may have one cause, such as a zone that loses power.
	// minRounds such rounds are needed, or minRoundsOfMany with manyEnds ends.
	roundGap        = 100 * time.Millisecond
	minRounds       = 3
	minRoundsOfMany = 2
	manyEnds        = 5
	// suspectEnds is the number of ends from which on requests with a part are sent one at
	// a time by each entry.
	suspectEnds = 2
)

const (
	// SettleTime is the time from the last end that is needed until a part is
	// quarantined: three exchanges between entries, in which an entry that knows the part
	// to be sound reports it, also through the leaders of zones. Requests with the part
	// wait meanwhile.
	SettleTime = 750 * time.Millisecond
	// maxHold is how long a request waits for another one that tries the same part.
	maxHold = time.Second
	// endTTL is how long an end counts. A part that comes once a minute is found.
	endTTL = 10 * time.Minute
	// soundTTL is how long an answer that went on proves its parts to be sound, and
	// sharedTTL how long that is passed on: until all entries have removed the parts from
	// the ends that they know.
	soundTTL  = 10 * time.Minute
	sharedTTL = time.Minute
	// firstTrialDelay is the time from the quarantine of a part to the first request that
	// tries it again; the time to the next one doubles up to maxTrialDelay. Each trial of a
	// part that ends servers costs a server.
	firstTrialDelay = time.Minute
	maxTrialDelay   = time.Hour
	// blameTTL is the time without a trial after which a part is forgotten.
	blameTTL = 2 * maxTrialDelay
	// expiryMargin is how much earlier than its expiry a record is no longer passed on.
	// Exchanges take less, so entries do not return expired records to each other.
	expiryMargin = 10 * time.Second
)

const (
	// maxEnds, maxParts, maxBlames and maxShared bound a State to some 50 KB: the ends, the
	// parts of each, the quarantined parts and the parts known to be sound.
	maxEnds   = 64
	maxParts  = 16
	maxBlames = 64
	maxShared = 256
	// maxOwners bounds the requests that are told apart at one end under one part.
	maxOwners = 4
	// maxSound bounds the parts that one entry knows to be sound, about 1 MB.
	maxSound = 4096
)

type blame struct {
	at      time.Time
	ends    int
	entry   string
	trials  int
	trialAt time.Time
	// asked is the number of the last trial that an operator wants at once.
	asked int
}

// nextTrialAt returns when the part may be tried again.
func (b *blame) nextTrialAt() time.Time {
	if b.asked > b.trials {
		return b.trialAt
	}
	delay := firstTrialDelay << min(b.trials, 10)
	return b.trialAt.Add(min(delay, maxTrialDelay))
}

// Tracker tracks the parts of prompts. Entry is set before the first use. A Tracker is not
// safe for concurrent use.
type Tracker struct {
	// Entry is the name of the entry in the records of its decisions.
	Entry string

	ends   map[serverKey]*end
	sound  map[Part]time.Time
	shared map[Part]time.Time
	blames map[Part]*blame
	// suspects are the parts under which servers ended, without the explained ends.
	suspects map[Part]*suspect
	// tries holds the last request that was sent with each suspected part.
	tries   map[Part]try
	changes []Change
	print   uint64
	// outdated is set if the sums and the print lack recorded ends.
	outdated bool
}

// try is a request with a suspected part that was sent and has not ended.
type try struct {
	owner  uint64
	sentAt time.Time
}

// RecordEnd records that a server ended under a request. begun is set if it had begun the
// answer. The answer must not have gone on: RecordProgress comes first if it has. It
// reports whether other entries should learn of it at once.
func (t *Tracker) RecordEnd(s Server, p Prompt, begun bool, now time.Time) bool {
	parts := make(map[Part]implicated)
	for i, part := range p.Parts {
		if !t.isSound(part, now) {
			parts[part] = implicated{begun: begun, depth: i, owners: []uint64{p.Owner}, knownAt: now}
		}
	}
	if len(parts) == 0 || !t.addEnd(&end{server: s, at: now, parts: parts}) {
		return false
	}
	// Many requests end with one server, so the sums wait for the next use.
	t.outdated = true
	return true
}

// RecordProgress records that an answer on a prompt went on. It reports whether other
// entries should learn of it at once, which is so for parts that were suspected.
func (t *Tracker) RecordProgress(p Prompt, now time.Time) bool {
	t.Update(now)
	tell := false
	for _, part := range p.Parts {
		t.setSound(part, now)
		if t.blames[part] != nil || t.suspects[part] != nil {
			t.share(part, now)
			tell = true
		}
	}
	if len(t.sound) > maxSound {
		t.shrinkSound(now)
	}
	if tell {
		t.update(now)
	}
	return tell
}

// shrinkSound removes the oldest quarter of the sound parts.
func (t *Tracker) shrinkSound(now time.Time) {
	maps.DeleteFunc(t.sound, func(_ Part, at time.Time) bool { return now.Sub(at) > soundTTL })
	times := slices.SortedFunc(maps.Values(t.sound), time.Time.Compare)
	if len(times) <= maxSound*3/4 {
		return
	}
	oldest := times[len(times)-maxSound*3/4]
	maps.DeleteFunc(t.sound, func(_ Part, at time.Time) bool { return at.Before(oldest) })
}

// share records that a part is sound in the State for other entries.
func (t *Tracker) share(part Part, at time.Time) {
	if t.shared == nil {
		t.shared = make(map[Part]time.Time)
	}
	if _, ok := t.shared[part]; ok {
		return
	}
	t.shared[part] = at
	if len(t.shared) > maxShared {
		oldest := part
		for p, sharedAt := range t.shared {
			if sharedAt.Before(t.shared[oldest]) {
				oldest = p
			}
		}
		delete(t.shared, oldest)
	}
}

func (t *Tracker) isSound(part Part, now time.Time) bool {
	at, ok := t.sound[part]
	return ok && now.Sub(at) < soundTTL
}

// setSound records that an answer on a part went on at a time.
func (t *Tracker) setSound(part Part, at time.Time) {
	if t.sound == nil {
		t.sound = make(map[Part]time.Time)
	}
	if at.After(t.sound[part]) {
		t.sound[part] = at
	}
}

// AskTrial lets the next request try a quarantined part, as an operator wants it. It
// reports whether the part is quarantined.
func (t *Tracker) AskTrial(part Part, now time.Time) bool {
	t.Update(now)
	b := t.blames[part]
	if b == nil {
		return false
	}
	b.asked = b.trials + 1
	t.update(now)
	return true
}

// Admit decides on sending a request that has waited for held because of earlier
// decisions. mayTry is set at the one entry that tries quarantined parts again. The caller
// calls EndAttempt after each attempt to send.
func (t *Tracker) Admit(p Prompt, held time.Duration, mayTry bool, now time.Time) Admission {
	if len(t.blames) == 0 && len(t.ends) == 0 {
		return Admission{Decision: Send}
	}
	t.Update(now)
	if a := t.judge(p, held, mayTry, now); a.Decision != Send {
		return a
	}
	a := Admission{Decision: Send}
	for _, part := range p.Parts {
		if b := t.blames[part]; b != nil {
			b.trials, b.trialAt, a.Trial, a.Part = b.trials+1, now, true, part
			t.update(now)
		}
		if s := t.suspects[part]; s != nil && s.ends >= suspectEnds {
			t.startTry(part, try{owner: p.Owner, sentAt: now})
		}
	}
	return a
}

// judge returns the decision on a request and records nothing.
func (t *Tracker) judge(p Prompt, held time.Duration, mayTry bool, now time.Time) Admission {
	a := Admission{Decision: Send}
	for _, part := range p.Parts {
		if b := t.blames[part]; b != nil && (!mayTry || now.Before(b.nextTrialAt())) {
			return Admission{Decision: Refuse, Part: part, RetryAfter: max(time.Second, b.nextTrialAt().Sub(now))}
		}
		if t.mustWait(part, p.Owner, held, now) {
			a = Admission{Decision: Hold, Part: part}
		}
	}
	return a
}

// mustWait reports whether a request waits because it is being decided on a part, or
// because another request tries it.
func (t *Tracker) mustWait(part Part, owner uint64, held time.Duration, now time.Time) bool {
	s := t.suspects[part]
	if s == nil {
		return false
	}
	if !s.enoughAt.IsZero() {
		return held < SettleTime+maxHold
	}
	r, ok := t.tries[part]
	return ok && s.ends >= suspectEnds && r.owner != owner && now.Sub(r.sentAt) < maxHold && held < maxHold
}

func (t *Tracker) startTry(part Part, r try) {
	if t.tries == nil {
		t.tries = make(map[Part]try)
	}
	t.tries[part] = r
}

// ReturnTrial records that a request that was to try a quarantined part reached no server,
// so that the next request may try it.
func (t *Tracker) ReturnTrial(p Prompt, now time.Time) {
	for _, part := range p.Parts {
		if b := t.blames[part]; b != nil {
			b.asked = b.trials + 1
		}
	}
	t.update(now)
}

// EndAttempt records that an attempt to send a request has ended, or goes on.
func (t *Tracker) EndAttempt(p Prompt) {
	if len(t.tries) == 0 {
		return
	}
	for _, part := range p.Parts {
		if t.tries[part].owner == p.Owner {
			delete(t.tries, part)
		}
	}
}

// Quarantined reports whether a part of the prompt is quarantined.
func (t *Tracker) Quarantined(p Prompt) bool {
	return len(t.blames) > 0 && slices.ContainsFunc(p.Parts, func(part Part) bool { return t.blames[part] != nil })
}

// Changes returns what has changed since its last call.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Update decides on the parts whose SettleTime is over and removes what has expired.
func (t *Tracker) Update(now time.Time) {
	if len(t.ends) == 0 && len(t.blames) == 0 && len(t.shared) == 0 {
		return
	}
	due := t.outdated
	for _, s := range t.suspects {
		due = due || !s.enoughAt.IsZero() && now.Sub(s.enoughAt) >= SettleTime
	}
	for _, e := range t.ends {
		due = due || now.Sub(e.at) > endTTL
	}
	for _, b := range t.blames {
		due = due || now.Sub(b.trialAt) > blameTTL
	}
	for _, at := range t.shared {
		due = due || now.Sub(at) > sharedTTL
	}
	if due {
		t.update(now)
	}
}

// update removes what has expired or is explained, sums up the ends, and quarantines the
// parts whose SettleTime is over.
func (t *Tracker) update(now time.Time) {
	t.outdated = false
	t.expire(now)
	for {
		t.explain(now)
		t.summarize()
		part, s := t.strongest()
		if s == nil || now.Sub(s.enoughAt) < SettleTime || len(t.blames) >= maxBlames {
			break
		}
		t.setBlame(part, &blame{at: now, trialAt: now, ends: s.ends, entry: t.Entry})
	}
	t.print = t.fingerprint()
}

func (t *Tracker) expire(now time.Time) {
	maps.DeleteFunc(t.ends, func(_ serverKey, e *end) bool { return now.Sub(e.at) > endTTL })
	maps.DeleteFunc(t.blames, func(_ Part, b *blame) bool { return now.Sub(b.trialAt) > blameTTL })
	maps.DeleteFunc(t.shared, func(_ Part, at time.Time) bool { return now.Sub(at) > sharedTTL })
	for len(t.ends) > maxEnds {
		// All entries remove the same ends: the times of birth are the servers' own.
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.ends)), func(a, b *end) int {
			return cmp.Or(a.server.Born.Compare(b.server.Born), cmp.Compare(a.server.ID, b.server.ID))
		})
		delete(t.ends, oldest.server.key())
	}
}

// explain removes the ends that a quarantined part explains, and the sound parts from the
// others. A sound part is shared, since another entry may count the end against it.
func (t *Tracker) explain(now time.Time) {
	for part := range t.blames {
		if t.isSound(part, now) {
			t.share(part, now)
			t.changes = append(t.changes, Change{Part: part, Ends: t.blames[part].ends, Entry: t.blames[part].entry})
			delete(t.blames, part)
		}
	}
	for key, e := range t.ends {
		for part := range e.parts {
			if t.blames[part] != nil {
				delete(t.ends, key)
				break
			}
			if t.isSound(part, now) {
				t.share(part, now)
				delete(e.parts, part)
			}
		}
		if len(e.parts) == 0 {
			delete(t.ends, key)
		}
	}
}

func (t *Tracker) setBlame(part Part, b *blame) {
	if t.blames == nil {
		t.blames = make(map[Part]*blame)
	}
	t.blames[part] = b
	delete(t.tries, part)
	t.changes = append(t.changes, Change{Part: part, Quarantined: true, Ends: b.ends, Entry: b.entry})
}

// Summary returns the number of quarantined and of suspected parts.
func (t *Tracker) Summary() (quarantined, suspected int) {
	for _, s := range t.suspects {
		if s.ends >= suspectEnds {
			suspected++
		}
	}
	return len(t.blames), suspected
}
