package savorypace

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const exchangeTime = time.Second

// Each script in testdata passes events to a Table and states what it then allows. Guards
// against a server that gets more than its answers allow, or that stays idle.
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
			s := &script{t: t, table: &Table{Entry: "e0", ExchangeTime: exchangeTime}, now: begin, size: 1}
			for n, line := range strings.Split(string(text), "\n") {
				if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
					s.run(fmt.Sprint(file, ":", n+1), words)
				}
			}
		})
	}
}

// script runs commands; all servers belong to the service "app".
type script struct {
	t     *testing.T
	table *Table
	now   time.Time
	size  int
}

func (s *script) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *script) run(where string, words []string) {
	t, id := s.table, words[min(1, len(words)-1)]
	switch words[0] {
	case "at":
		s.now = begin.Add(time.Duration(s.number(id)) * time.Millisecond)
	case "size":
		s.size = s.number(id)
	case "entries":
		var names []string
		for i := range s.number(id) {
			names = append(names, fmt.Sprint("e", i))
		}
		t.SetEntries(names)
	case "servers":
		t.SetServers(s.servers(words[1:]))
	case "start":
		for range s.number(words[2]) {
			t.Started(id, s.now)
		}
	case "answer":
		// One after the other.
		for range s.number(words[3]) {
			took := time.Duration(s.number(words[2])) * time.Millisecond
			s.now = s.now.Add(took)
			t.Answered(Answer{Service: "app", Size: s.size, Took: took}, []string{id}, s.now)
		}
	case "late":
		// To a request that was sent before the last command.
		t.Answered(Answer{Service: "app", Size: s.size, Took: time.Duration(s.number(words[2])) * time.Millisecond}, []string{id}, s.now)
	case "end":
		t.Ended(id)
	case "choose":
		for range s.number(id) {
			t.Chosen("app", s.now)
		}
	case "reject":
		t.Rejected(id)
	case "fail":
		t.Failed(id, s.now)
	case "peers":
		t.SetPeerReports([]Report{{Server: id, Requests: s.number(words[2]), Unproven: s.number(words[3]), Allowance: s.number(words[4])}}, s.now)
	default:
		s.check(where, words)
	}
}

func (s *script) check(where string, words []string) {
	got := "none"
	switch words[0] {
	case "allowance", "only":
		got = "proven"
		if n, ok := s.table.Allowance(words[1], words[0] == "allowance", s.now); ok {
			got = fmt.Sprint(n)
		}
	case "beyond":
		got = fmt.Sprint(s.table.Beyond(words[1], s.now))
	case "changes":
		changes, _ := s.table.TakeChanges()
		var all []string
		for _, c := range changes {
			all = append(all, c.Server+"="+c.Kind+":"+c.Cause)
		}
		got = strings.Join(append(all, "none")[:max(1, len(all))], " ")
		words = []string{words[0], "", strings.Join(words[1:], " ")}
	case "report":
		for _, r := range s.table.Reports(10, s.now) {
			if r.Server == words[1] {
				got = fmt.Sprint(r.Requests, "/", r.Unproven, "/", r.Allowance)
			}
		}
	default:
		s.t.Fatalf("%s: unknown command %q", where, words[0])
	}
	if got != words[2] {
		s.t.Errorf("%s: got %s, want %s", where, got, words[2])
	}
}

// servers parses words of the form ID, ID/BORN or ID/BORN/LAYERS, each with 8 slots.
func (s *script) servers(words []string) []Server {
	var all []Server
	for _, w := range words {
		f := append(strings.Split(w, "/"), "0", "0")
		all = append(all, Server{
			ID: f[0], Service: "app", Slots: 8, Born: begin.Add(time.Duration(s.number(f[1])) * time.Second), Holds: savoryworld.LayerRange{To: s.number(f[2])},
		})
	}
	slices.SortFunc(all, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return all
}
