package savoryquarantine

// This file defines State, which entries exchange, and its merging.

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what an entry knows of parts that may end servers. Times are ages, since the
// clocks of entries differ. It is empty while no server ends.
type State struct {
	Ends   []End   `msgpack:",omitempty"`
	Sound  []Sound `msgpack:",omitempty"`
	Blames []Blame `msgpack:",omitempty"`
}

// End is the end of a server and the parts of the requests that it took along.
type End struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	Server Server
	Age    time.Duration
	Parts  []Implicated
}

// Implicated is a part in an End. Begun is set if the server had begun an answer on it,
// Depth is its position in the prompts, and Owners identify the requests.
type Implicated struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	Part   Part
	Begun  bool
	Depth  int
	Owners []uint64
}

// Sound is a part on which an answer went on although servers ended under it.
type Sound struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	Part Part
	Age  time.Duration
}

// Blame is a quarantined part. Ends is the number of servers that ended under it, and
// Entry the name of the entry that decided. TrialAge is the time since the last of the
// Trials, or since the decision. Asked is the number of the last trial that an operator
// wants at once.
type Blame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	Part     Part
	Age      time.Duration
	Ends     int
	Entry    string
	Trials   int
	TrialAge time.Duration
	Asked    int
}

// Delay adds d, the time since the state was made, to its ages.
func (s *State) Delay(d time.Duration) {
	for i := range s.Ends {
		s.Ends[i].Age += d
	}
	for i := range s.Sound {
		s.Sound[i].Age += d
	}
	for i := range s.Blames {
		s.Blames[i].Age += d
		s.Blames[i].TrialAge += d
	}
}

// Check returns an error if the state is not well formed.
func (s *State) Check() error {
	if len(s.Ends) > maxEnds || len(s.Sound) > maxShared || len(s.Blames) > maxBlames {
		return fmt.Errorf("State: %d ends, %d sound parts and %d blames exceed %d, %d and %d", len(s.Ends), len(s.Sound), len(s.Blames), maxEnds, maxShared, maxBlames)
	}
	for i := range s.Ends {
		if err := s.Ends[i].check(); err != nil {
			return fmt.Errorf("State.Ends[%d]: %w", i, err)
		}
	}
	for i, p := range s.Sound {
		if err := p.Part.Check(); err != nil {
			return fmt.Errorf("State.Sound[%d]: %w", i, err)
		}
		if p.Age < 0 {
			return fmt.Errorf("State.Sound[%d].Age: %s is below 0", i, p.Age)
		}
	}
	for i, b := range s.Blames {
		if err := b.Part.Check(); err != nil {
			return fmt.Errorf("State.Blames[%d]: %w", i, err)
		}
		if b.Age < 0 || b.TrialAge < 0 || b.Trials < 0 {
			return fmt.Errorf("State.Blames[%d]: age %s, age of the trial %s or %d trials are below 0", i, b.Age, b.TrialAge, b.Trials)
		}
	}
	return nil
}

func (e *End) check() error {
	if e.Server.ID == "" || e.Age < 0 || len(e.Parts) > maxParts {
		return fmt.Errorf("server %q, age %s or %d parts are invalid", e.Server.ID, e.Age, len(e.Parts))
	}
	for _, p := range e.Parts {
		if err := p.Part.Check(); err != nil {
			return err
		}
		if len(p.Owners) > maxOwners {
			return fmt.Errorf("%d owners exceed %d", len(p.Owners), maxOwners)
		}
	}
	return nil
}

// State returns what this entry knows, for other entries.
func (t *Tracker) State(now time.Time) *State {
	t.Update(now)
	s := new(State)
	for _, e := range t.ends {
		if age := now.Sub(e.at); age < endTTL-expiryMargin {
			sent := End{Server: e.server, Age: max(0, age)}
			for _, part := range slices.SortedFunc(maps.Keys(e.parts), compareParts) {
				i := e.parts[part]
				sent.Parts = append(sent.Parts, Implicated{Part: part, Begun: i.begun, Depth: i.depth, Owners: i.owners})
			}
			s.Ends = append(s.Ends, sent)
		}
	}
	for part, at := range t.shared {
		if age := now.Sub(at); age < sharedTTL-expiryMargin {
			s.Sound = append(s.Sound, Sound{Part: part, Age: max(0, age)})
		}
	}
	s.Blames = t.Blames(now)
	return s
}

// Blames returns the quarantined parts, sorted by part.
func (t *Tracker) Blames(now time.Time) []Blame {
	var all []Blame
	for _, part := range slices.SortedFunc(maps.Keys(t.blames), compareParts) {
		b := t.blames[part]
		if age := now.Sub(b.trialAt); age < blameTTL-expiryMargin {
			all = append(all, Blame{Part: part, Age: max(0, now.Sub(b.at)), Ends: b.ends, Entry: b.entry, Trials: b.trials, TrialAge: max(0, age), Asked: b.asked})
		}
	}
	return all
}

// Merge adds what another entry knows, and reports whether that was new.
func (t *Tracker) Merge(s *State, now time.Time) bool {
	t.Update(now)
	before := t.print
	for _, p := range s.Sound {
		if p.Age < sharedTTL-expiryMargin {
			t.setSound(p.Part, now.Add(-p.Age))
			t.share(p.Part, now.Add(-p.Age))
		}
	}
	for _, b := range s.Blames {
		if b.TrialAge < blameTTL-expiryMargin {
			t.mergeBlame(b, now)
		}
	}
	for _, e := range s.Ends {
		if e.Age >= endTTL-expiryMargin {
			continue
		}
		received := &end{server: e.Server, at: now.Add(-e.Age), parts: make(map[Part]implicated)}
		for _, p := range e.Parts {
			received.parts[p.Part] = implicated{begun: p.Begun, depth: p.Depth, owners: p.Owners, knownAt: now}
		}
		t.addEnd(received)
	}
	t.update(now)
	return t.print != before
}

func (t *Tracker) mergeBlame(b Blame, now time.Time) {
	known := t.blames[b.Part]
	if t.isSound(b.Part, now) {
		t.share(b.Part, now)
		return
	}
	if known == nil {
		if len(t.blames) < maxBlames {
			t.setBlame(b.Part, &blame{at: now.Add(-b.Age), ends: b.Ends, entry: b.Entry, trials: b.Trials, trialAt: now.Add(-b.TrialAge), asked: b.Asked})
		}
		return
	}
	if b.Trials > known.trials {
		known.trials, known.trialAt = b.Trials, now.Add(-b.TrialAge)
	}
	known.asked = max(known.asked, b.Asked)
}

// Print returns a fingerprint of the State, without its times; 0 if it is empty.
func (t *Tracker) Print(now time.Time) uint64 {
	t.Update(now)
	return t.print
}

// fingerprint adds up the hashes of the records, so their order does not matter.
func (t *Tracker) fingerprint() uint64 {
	var total uint64
	add := func(kind string, part Part, numbers ...uint64) {
		d := xxhash.New()
		for _, text := range []string{kind, part.Service, part.Model, part.ID} {
			_, _ = d.WriteString(text) // a digest returns no error
			_, _ = d.Write([]byte{0})
		}
		for _, n := range numbers {
			_, _ = d.Write(binary.BigEndian.AppendUint64(nil, n))
		}
		total += d.Sum64()
	}
	for part, b := range t.blames {
		add("blame", part, uint64(b.trials), uint64(b.asked))
	}
	for part := range t.shared {
		add("sound", part)
	}
	for key, e := range t.ends {
		server := xxhash.Sum64String(key.id) ^ uint64(key.born)
		for part, i := range e.parts {
			begun := uint64(0)
			if i.begun {
				begun = 1
			}
			add("end", part, server, begun, uint64(i.depth), uint64(len(i.owners)))
		}
	}
	return total
}
