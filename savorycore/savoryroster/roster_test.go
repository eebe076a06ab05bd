package savoryroster

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savoryworld"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atoi(t *testing.T, s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// parseServer parses ID=STATE,BORN,BEAT with BORN in seconds after begin.
func parseServer(t *testing.T, text string) Server {
	id, rest, _ := strings.Cut(text, "=")
	parts := strings.Split(rest, ",")
	return Server{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: parts[0] == "draining",
		Born: begin.Add(time.Duration(atoi(t, parts[1])) * time.Second), Beat: atoi(t, parts[2]),
	}
}

// Each script in testdata feeds listings to a roster and states which servers are
// available. An older list that adds a server again, or an outage of the store
// that removes servers, fails here.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runScript(t, file) })
	}
}

func runScript(t *testing.T, file string) {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var r Roster
	now := begin
	for n, line := range strings.Split(string(text), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		switch words[0] {
		case "list":
			era, revision, ok := strings.Cut(words[1], "/")
			if !ok {
				era, revision = "0", words[1]
			}
			l := &Listing{Era: atoi(t, era), Revision: atoi(t, revision)}
			for _, w := range words[2:] {
				l.Servers = append(l.Servers, parseServer(t, w))
			}
			now = now.Add(100 * time.Millisecond)
			r.Apply(l, now, now)
		case "broken":
			r.ReadFailed()
		case "wait":
			now = now.Add(time.Duration(atoi(t, words[1])) * time.Millisecond)
		case "usable":
			var ids []string
			for _, s := range r.Available("s") {
				ids = append(ids, s.ID)
			}
			if got, want := strings.Join(ids, " "), strings.Join(words[1:], " "); got != want {
				t.Errorf("%s:%d: usable servers %q, want %q", file, n+1, got, want)
			}
		default:
			t.Fatalf("%s:%d: unknown command %q", file, n+1, words[0])
		}
	}
}

// An engine's own report takes precedence over heartbeats that may be older, also
// over those received from a peer, until a later heartbeat is read. Otherwise an
// entry would send requests to layers that the engine has given up.
func TestReportSupersedesOldHeartbeats(t *testing.T) {
	is := is.New(t)
	var r Roster
	s := parseServer(t, "a=ready,1,5")
	s.Holds = savoryworld.LayerRange{From: 8, To: 16}
	r.Apply(&Listing{Revision: 1, Servers: []Server{s}}, begin, begin)
	r.ReportReceived("a", s.Born, 2, savoryworld.LayerRange{}, true)
	holds := func() savoryworld.LayerRange {
		got, _ := r.Server("a")
		return got.Holds
	}
	for _, beat := range []int64{5, 6} {
		s.Beat = beat
		r.Apply(&Listing{Revision: 2, Servers: []Server{s}}, begin, begin)
		is.True(holds().Empty())
	}
	// The order is completed; a peer without that report changes nothing.
	done := savoryworld.LayerRange{From: 16, To: 24}
	r.ReportReceived("a", s.Born, 2, done, false)
	busy := s
	busy.Orders, busy.Busy, busy.Holds, busy.ReportedBeat = 2, true, savoryworld.LayerRange{}, 5
	r.Apply(&Listing{Revision: 3, Servers: []Server{busy}}, begin, begin)
	is.Equal(holds(), done)
	s.Beat, s.Holds = 8, savoryworld.LayerRange{From: 16, To: 24}
	r.Apply(&Listing{Revision: 4, Servers: []Server{s}}, begin, begin)
	is.Equal(holds(), s.Holds)
}

// A server that an engine reported as failed is avoided until a heartbeat is read
// that was written after the report.
func TestReportedServerWaitsForHeartbeat(t *testing.T) {
	is := is.New(t)
	var h Health
	h.RecordReportedFailure("a", begin)
	is.True(h.Avoided("a", begin.Add(5*time.Second)))
	h.Heartbeat("a", begin.Add(maxHeartbeatDelay/2))
	is.True(h.Avoided("a", begin.Add(5*time.Second)))
	h.Heartbeat("a", begin.Add(2*maxHeartbeatDelay))
	is.True(!h.Avoided("a", begin.Add(5*time.Second)))
}

// Requests that fail together count as one failure; each later failure doubles the
// backoff.
func TestBackoffDoubles(t *testing.T) {
	is := is.New(t)
	var h Health
	is.Equal(h.RecordFailure("a", begin), begin.Add(minBackoff))
	is.Equal(h.RecordFailure("a", begin.Add(time.Millisecond)), begin.Add(minBackoff))
	second := begin.Add(minBackoff + time.Millisecond)
	is.Equal(h.RecordFailure("a", second), second.Add(2*minBackoff))
	h.RecordSuccess("a")
	is.True(!h.Avoided("a", second))
}

// The store refuses one entry while other entries read it. A server that is missing
// from the list is removed at once; it is kept only if no entry read the list for
// so long that registrations may have expired.
func TestOnlyLongGapsKeepMissingServers(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	both := &Listing{Revision: 1, Servers: []Server{{ID: "a", Beat: 1}, {ID: "b", Beat: 1}}}
	one := &Listing{Revision: 2, Servers: []Server{{ID: "a", Beat: 2}}}
	for _, c := range []struct {
		gap  time.Duration
		kept bool
	}{{900 * time.Millisecond, false}, {1700 * time.Millisecond, false}, {4 * time.Second, true}} {
		var r Roster
		r.Apply(both, start, start)
		r.ReadFailed()
		now := start.Add(c.gap)
		r.Apply(one, now, now)
		_, ok := r.Server("b")
		is.Equal(ok, c.kept)
		r.ReadFailed() // a second failure, while other entries read the list
		now = now.Add(900 * time.Millisecond)
		r.Apply(one, now, now)
		r.ReadFailed()
		now = now.Add(reregisterWindow)
		r.Apply(one, now.Add(-time.Second), now)
		_, ok = r.Server("b")
		is.True(!ok)
	}
}

// Pattern: all engines are nearly full for seconds, and now one, now another refuses a
// request. Such an engine is passed over for a moment, and not taken for failed: its
// layers would be given to others, which then give up theirs.
func TestRefusalIsNoFailure(t *testing.T) {
	is := is.New(t)
	var h Health
	for n := range 10 {
		now := begin.Add(time.Duration(n) * 500 * time.Millisecond)
		is.Equal(h.RecordRefusal("a", now), now.Add(minBackoff)) // the time does not grow
		is.True(h.Avoided("a", now))
		is.True(!h.Failing("a", now))
		is.True(!h.Avoided("a", now.Add(minBackoff)))
	}
	h.RecordFailure("a", begin.Add(5*time.Second))
	is.True(h.Failing("a", begin.Add(5*time.Second)))
}

// Guards against an engine that is avoided, or whose layers are placed elsewhere, because it spoils one
// response in fifty or in ten, and against one that uses up the retry budget since it spoils every other.
func TestServerThatSpoilsFewResponsesIsNotAvoided(t *testing.T) {
	for _, c := range []struct{ answersPerDrop, avoided int }{{49, 0}, {9, 0}, {answersPerDrop, 0}, {answersPerDrop - 1, 9}, {1, 9}, {0, 9}} {
		is := is.New(t)
		var h Health
		avoided := 0
		for i := range 10 {
			now := time.Unix(int64(i), 0)
			h.RecordDropped("s", now)
			if h.Avoided("s", now) {
				avoided++
			}
			is.True(!h.Failing("s", now)) // it holds its layers
			for range c.answersPerDrop {
				h.RecordSuccess("s")
			}
		}
		is.Equal(avoided, c.avoided) // with c.answersPerDrop answers for each dropped response
	}
}

// Guards against a list of a service that is older than the last change of a server: a leaving
// engine, or one without its layers, would get requests.
func TestAvailableFollowsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Roster
		id := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for revision := range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				r.MarkLeaving(id.Draw(t, "id"))
			case 1:
				r.ReportReceived(id.Draw(t, "id"), begin, int64(revision), savoryworld.LayerRange{To: revision + 1}, false)
			default:
				l := &Listing{Revision: int64(revision)}
				for _, server := range rapid.SliceOfNDistinct(id, 0, 4, rapid.ID[string]).Draw(t, "listed") {
					service := "even"
					if server == "b" || server == "d" {
						service = "odd"
					}
					l.Servers = append(l.Servers, Server{ID: server, Service: service, Born: begin, Beat: int64(revision)})
				}
				r.Apply(l, begin, begin)
			}
			for _, service := range []string{"even", "odd"} {
				want := slices.DeleteFunc(r.All(), func(s Server) bool { return s.Service != service || s.Leaving })
				if got := r.Available(service); !slices.Equal(got, want) {
					t.Fatalf("service %s: %v, want %v", service, got, want)
				}
			}
		}
	})
}

// BenchmarkAvailable is the list of a plain service in a fleet of 7,200 servers.
func BenchmarkAvailable(b *testing.B) {
	var r Roster
	l := &Listing{Revision: 1}
	for i := range 7200 {
		service := "model"
		if i%2400 == 0 {
			service = "plain"
		}
		l.Servers = append(l.Servers, Server{ID: strconv.Itoa(i), Service: service, Born: begin})
	}
	r.Apply(l, begin, begin)
	b.ReportAllocs()
	for b.Loop() {
		if len(r.Available("plain")) != 3 {
			b.Fatal("wrong number of servers")
		}
	}
}
