package savorynotice

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorywire"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(t *testing.T, ms string) time.Time { return begin.Add(milliseconds(t, ms)) }

func milliseconds(t *testing.T, text string) time.Duration {
	return time.Duration(number(t, text) * float64(time.Millisecond))
}

func number(t *testing.T, text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Each script in testdata passes notices to a Board and states what it then allows. Guards
// against a limit, a pause or a departure that is not kept, or kept too long.
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
			s := &script{t: t, board: &Board{Entry: "e0"}, now: begin}
			for n, line := range strings.Split(string(text), "\n") {
				if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
					s.run(fmt.Sprint(file, ":", n+1), words)
				}
			}
		})
	}
}

type script struct {
	t     *testing.T
	board *Board
	now   time.Time
}

func (s *script) run(where string, words []string) {
	switch words[0] {
	case "at":
		s.now = at(s.t, words[1])
	case "demand":
		for range int(number(s.t, words[2])) {
			s.board.RecordRequest(words[1], s.now)
		}
	case "notice":
		n, sent, born := s.notice(words[2:])
		s.board.Observe(words[1], born, sent, s.now, n)
	case "peer":
		f := fields(words[2:])
		r := State{Server: words[1], Limit: number(s.t, f["limit"]), Age: milliseconds(s.t, f["age"])}
		if f["born"] != "" {
			r.Born = at(s.t, f["born"])
		}
		s.board.Merge([]State{r}, s.now)
	case "send":
		s.board.Reserve(words[1])
	case "delay":
		got := "never"
		if d, ok := s.board.Delay(words[1], words[2], s.now); ok {
			got = fmt.Sprint(d.Milliseconds())
		}
		s.want(where, got, words[3])
	case "return":
		s.want(where, fmt.Sprint(s.board.ReturnDelay(words[1], words[2:3], s.now).Milliseconds()), words[3])
	case "limited":
		got := 0.0
		if known := s.board.servers[words[1]]; known != nil {
			got = known.limit
		}
		s.want(where, strconv.FormatFloat(got, 'g', -1, 64), words[2])
	default:
		s.t.Fatalf("%s: unknown command %q", where, words[0])
	}
}

func (s *script) want(where, got, want string) {
	if got != want {
		s.t.Errorf("%s: got %s, want %s", where, got, want)
	}
}

// fields parses words of the form NAME=VALUE or NAME.
func fields(words []string) map[string]string {
	f := make(map[string]string)
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		f[name] = value
	}
	return f
}

func (s *script) notice(words []string) (n Notice, sent, born time.Time) {
	f := fields(words)
	sent = at(s.t, f["sent"])
	if f["born"] != "" {
		born = at(s.t, f["born"])
	}
	if f["pause"] != "" {
		n.Pause = milliseconds(s.t, f["pause"])
	}
	_, n.Leaving = f["leaving"]
	_, n.InReport = f["report"]
	switch {
	case f["limit"] == "?":
		n.LimitUnknown = true
	case f["limit"] != "":
		n.Limit = number(s.t, f["limit"])
	}
	return n, sent, born
}

// Guards against states and demands of peers that spoil the shares.
func TestMessagesAreChecked(t *testing.T) {
	for _, c := range []struct {
		states  []State
		demands []Demand
		want    string
	}{
		{states: []State{{Server: "s", Limit: 2}}, demands: []Demand{{Service: "a", Rate: 0}}},
		{states: []State{{Limit: 2}}, want: "limit 0: field Server is empty"},
		{states: []State{{Server: "s", Limit: -2}}, want: "limit 0: field Limit: -2 is not a rate above 0 and up to 1e+09 requests per second"},
		{states: []State{{Server: "s", Age: -1}}, want: "limit 0: field Age: -1ns is below 0"},
		{demands: []Demand{{Service: "a", Rate: -1}}, want: `demand 0: service "a" with -1 requests per second`},
		{demands: make([]Demand, maxStates+1), want: "0 limits and 16385 demands, more than 16384"},
	} {
		is := is.New(t)
		got := ""
		if err := CheckAll(c.states, c.demands); err != nil {
			got = err.Error()
		}
		is.Equal(got, c.want)
	}
}

// Guards against memory that grows with servers that have left or said nothing for long.
func TestBoardForgets(t *testing.T) {
	is := is.New(t)
	b := &Board{Entry: "e0"}
	for i := range 1000 {
		b.Observe(fmt.Sprint("s", i), begin, begin, begin, Notice{Pause: time.Second, Leaving: i%2 == 0})
		b.Observe(fmt.Sprint("t", i), begin, begin, begin, Notice{})
	}
	is.Equal(len(b.servers), 1000)
	b.Expire(begin.Add(time.Minute))
	is.Equal(len(b.servers), 500)
	b.Expire(begin.Add(time.Hour))
	is.Equal(len(b.servers), 0)
	b.RecordRequest("app", begin)
	is.Equal(len(b.Demands(begin.Add(time.Hour))), 0)
	is.Equal(len(b.demands), 0)
}

// Guards against messages between entries that grow with the number of limited servers, or
// that are sent again for each small change of a limit.
func TestSharedStatesAreBounded(t *testing.T) {
	is := is.New(t)
	b := &Board{Entry: "e0"}
	for i := range 7200 {
		b.Observe(fmt.Sprintf("i-%010d", i), begin, begin, begin.Add(time.Duration(i)*time.Millisecond), Notice{Limit: 15.8})
	}
	now := begin.Add(10 * time.Second)
	states := b.States(now)
	is.Equal(len(states), maxSharedStates)
	is.Equal(states[len(states)-1].Server, "i-0000007199") // the newest
	body, err := savorywire.Encode(states)
	is.NoErr(err)
	t.Log(len(body))
	is.True(len(body) <= 80<<10)
	before := Fingerprint(states)
	b.Observe("i-0000007199", begin, now, now, Notice{Limit: 15.6})
	is.Equal(Fingerprint(b.States(now)), before)
	b.Observe("i-0000007199", begin, now, now, Notice{Limit: 9})
	is.True(Fingerprint(b.States(now)) != before)
}

// Guards against a log line for each response of a server whose limit varies a little.
func TestSmallChangesAreNoChanges(t *testing.T) {
	is := is.New(t)
	b := &Board{Entry: "e0"}
	changes := 0
	for i := range 100 {
		now := begin.Add(time.Duration(i) * 2 * time.Second)
		changes += len(b.Observe("s", begin, now, now, Notice{Limit: 15.6 + 0.01*float64(i%2)}))
	}
	is.Equal(changes, 1)
	// A slow decline is not missed.
	for i := range 100 {
		now := begin.Add(time.Hour + time.Duration(i)*time.Second)
		changes += len(b.Observe("s", begin, now, now, Notice{Limit: 15 * math.Pow(0.98, float64(i))}))
	}
	is.True(changes > 10 && changes < 40)
}

// Guards against callers that an entry tells to stay away because other entries share the
// limit: they come back to any entry.
func TestReturnToEntryThatSharesLimit(t *testing.T) {
	is := is.New(t)
	b := &Board{Entry: "e0"}
	var others []string
	for i := range 60 {
		others = append(others, fmt.Sprint("e", i))
	}
	b.SetEntries(others)
	refused := 0
	for i := range 20 {
		id := fmt.Sprint("s", i)
		b.Observe(id, begin, begin, begin, Notice{Limit: 30})
		if _, ok := b.Delay("app", id, begin); ok {
			continue
		}
		refused++
		service := "app" + id
		is.Equal(b.ReturnDelay(service, []string{id}, begin), time.Duration(0))
		is.Equal(b.ReturnDelay(service, []string{id}, begin), 2*time.Second) // 60 entries share 30 a second
	}
	is.True(refused > 0)
}
