package savoryquarantine

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savorygolden"
	"savorycart.example/savorycore/savorywire"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// part parses MODEL/ID, or an ID for the model m.
func part(text string) Part {
	model, id, ok := strings.Cut(text, "/")
	if !ok {
		model, id = "m", text
	}
	return Part{Service: "s", Model: model, ID: id}
}

func prompt(owner, parts string) Prompt {
	p := Prompt{Owner: xxhash.Sum64String(owner)}
	for _, id := range strings.Split(parts, ",") {
		p.Parts = append(p.Parts, part(id))
	}
	return p
}

// server parses ID@PORT.
func server(t *testing.T, text string) Server {
	id, port, _ := strings.Cut(text, "@")
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		t.Fatal(err)
	}
	return Server{ID: id, Born: begin, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(n))}
}

// Each script in testdata feeds the trackers of several entries and states what is decided
// on requests. Parts that end servers and are sent on, and sound parts that are
// quarantined, fail here.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{t: t, now: begin, trackers: make(map[string]*Tracker)}
			for n, line := range strings.Split(string(text), "\n") {
				if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
					s.run(fmt.Sprint(file, ":", n+1), words)
				}
			}
		})
	}
}

type script struct {
	t        *testing.T
	now      time.Time
	names    []string
	trackers map[string]*Tracker
}

func (s *script) run(at string, words []string) {
	var tr *Tracker
	if len(words) > 1 {
		tr = s.trackers[words[1]]
	}
	switch words[0] {
	case "entries":
		s.names = words[1:]
		for _, name := range s.names {
			s.trackers[name] = &Tracker{Entry: name}
		}
	case "start":
		s.trackers[words[1]] = &Tracker{Entry: words[1]}
	case "wait":
		ms, err := strconv.Atoi(words[1])
		if err != nil {
			s.t.Fatal(at, err)
		}
		s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
	case "end":
		tr.RecordEnd(server(s.t, words[2]), prompt(words[3], words[4]), len(words) == 5, s.now)
	case "progress":
		tr.RecordProgress(prompt("", words[2]), s.now)
	case "return":
		tr.ReturnTrial(prompt("", words[2]), s.now)
	case "ask":
		tr.AskTrial(part(words[2]), s.now)
	case "exchange":
		s.exchange()
	case "want", "try":
		a := tr.Admit(prompt(words[2], words[3]), 0, words[0] == "try", s.now)
		if string(a.Decision) != words[4] {
			s.t.Errorf("%s: %s, want %s", at, a.Decision, words[4])
		}
	default:
		s.t.Fatalf("%s: unknown command %q", at, words[0])
	}
}

// exchange lets all entries exchange their states until they know the same.
func (s *script) exchange() {
	is := is.New(s.t)
	for range 3 {
		for _, from := range s.names {
			for _, to := range s.names {
				merge(is, s.trackers[to], s.trackers[from], s.now)
			}
		}
	}
	for _, name := range s.names {
		is.Equal(s.trackers[name].Print(s.now), s.trackers[s.names[0]].Print(s.now))
	}
}

// merge sends the state of one entry to another in its encoded form.
func merge(is *is.I, to, from *Tracker, now time.Time) {
	body, err := savorywire.Encode(from.State(now))
	is.NoErr(err)
	s := new(State)
	is.NoErr(savorywire.Decode(body, s))
	is.NoErr(s.Check())
	to.Merge(s, now)
}

// Guards against entries that decide differently because they received the same records in
// another order, and against a sound part that is quarantined although an answer on it went
// on at some entry in the time in which ends are counted.
func TestEntriesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		now := begin
		var entries []*Tracker
		for i := range 4 {
			entries = append(entries, &Tracker{Entry: fmt.Sprint("e", i)})
		}
		sound := make(map[string]bool)
		for i := range rapid.IntRange(5, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 400).Draw(rt, "wait")) * time.Millisecond)
			tr := entries[rapid.IntRange(0, 3).Draw(rt, "entry")]
			shared := fmt.Sprint("p", rapid.IntRange(0, 3).Draw(rt, "part"))
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0, 1:
				tr.RecordEnd(server(t, fmt.Sprint("s", i, "@", 1+i%7)), prompt(fmt.Sprint("r", i), "first,"+shared), true, now)
			case 2:
				if shared != "p0" { // the part that ends servers
					tr.RecordProgress(prompt("", "first,"+shared), now)
					sound["first"], sound[shared] = true, true
				}
			case 3:
				other := entries[rapid.IntRange(0, 3).Draw(rt, "other")]
				merge(is, tr, other, now)
			}
		}
		for range 3 {
			for _, from := range entries {
				for _, to := range entries {
					merge(is, to, from, now)
				}
			}
		}
		now = now.Add(2 * SettleTime)
		for range 3 {
			for _, from := range entries {
				from.Update(now)
				for _, to := range entries {
					merge(is, to, from, now)
				}
			}
		}
		for _, e := range entries {
			is.Equal(e.Print(now), entries[0].Print(now))
			for id := range sound {
				is.Equal(e.Admit(prompt("x", id), time.Hour, false, now).Decision, Send)
			}
		}
	})
}

// Guards against messages and memory that grow with the traffic, with random parts or with
// the number of ends.
func TestBounds(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{Entry: "a"}
	now := begin
	for i := range 3 * maxSound {
		tr.RecordProgress(prompt("", fmt.Sprint("sound", i)), now)
		now = now.Add(time.Millisecond)
	}
	is.True(len(tr.sound) <= maxSound)
	is.Equal(tr.Print(now), uint64(0)) // sound traffic is not exchanged
	for i := range 3 * maxEnds {
		for r := range 2 * maxParts {
			tr.RecordEnd(server(t, fmt.Sprint("s", i, "@", 1+i)), prompt(fmt.Sprint("r", r), fmt.Sprint("random-part-", i, "-", r)), r%2 == 0, now)
		}
		tr.RecordProgress(prompt("", fmt.Sprint("random-part-", i, "-0")), now)
	}
	body, err := savorywire.Encode(tr.State(now))
	is.NoErr(err)
	t.Log(len(tr.ends), len(tr.shared), len(body))
	is.True(len(body) < 100<<10)
	is.NoErr(tr.State(now).Check())
}

// Guards against a part that is never quarantined because so many other requests wait at
// each server that ends that not all of their parts are kept.
func TestCrowdedEnds(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{Entry: "a"}
	now := begin
	for i := range 12 {
		now = now.Add(200 * time.Millisecond)
		s := server(t, fmt.Sprint("s", i, "@", 1+i))
		for r := range 2 * maxParts {
			tr.RecordEnd(s, prompt(fmt.Sprint("r", i, "-", r), fmt.Sprint("a", i, "-", r)), false, now)
		}
		tr.RecordEnd(s, prompt(fmt.Sprint("bad", i), "zz-bad"), false, now)
	}
	now = now.Add(SettleTime)
	is.Equal(tr.Admit(prompt("x", "zz-bad"), 0, false, now).Decision, Refuse)
}

func TestGolden(t *testing.T) {
	// Guards against a renamed or moved field: entries of another build then read other
	// parts than were sent.
	s := Server{ID: "oak-1", Born: begin, Address: netip.MustParseAddrPort("10.0.0.1:8001")}
	savorygolden.Check(t, savorygolden.MessagePack, []savorygolden.Case{{Name: "state", Value: &State{
		Ends:   []End{{Server: s, Age: time.Second, Parts: []Implicated{{Part: part("5c1e07a2"), Begun: true, Depth: 1, Owners: []uint64{7}}}}},
		Sound:  []Sound{{Part: part("91bd3f06"), Age: 2 * time.Second}},
		Blames: []Blame{{Part: part("e4402b7d"), Age: 3 * time.Second, Ends: 3, Entry: "entry-1", Trials: 2, TrialAge: time.Second, Asked: 1}},
	}}})
}

// Guards against a preview that takes the place of the next trial of a part, or that decides
// otherwise than Admit.
func TestPreviewChangesNothing(t *testing.T) {
	is := is.New(t)
	build := func() *Tracker {
		tracker := &Tracker{Entry: "e"}
		for i := range 5 {
			tracker.RecordEnd(server(t, fmt.Sprint("e", i, "@", 80+i)), prompt(fmt.Sprint(i), "bad"), true, begin.Add(time.Duration(i)*time.Second))
		}
		tracker.Update(begin.Add(6 * time.Second))
		return tracker
	}
	a, b := build(), build()
	for _, mayTry := range []bool{false, true} {
		for _, later := range []time.Duration{7 * time.Second, time.Hour} {
			for _, parts := range []string{"bad", "good"} {
				got := a.Preview(prompt("x", parts), mayTry, begin.Add(later))
				is.Equal(a, b)
				is.Equal(got, build().Admit(prompt("x", parts), 0, mayTry, begin.Add(later)))
			}
		}
	}
	is.Equal(a.Preview(prompt("x", "bad"), false, begin.Add(7*time.Second)).Decision, Refuse)
}
