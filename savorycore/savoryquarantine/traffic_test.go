package savoryquarantine

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// traffic simulates requests at engines in virtual time. All entries share one tracker, as
// they do once they have exchanged their states.
type traffic struct {
	rnd     *rand.Rand
	tracker Tracker
	now     time.Time
	// restarts counts the incarnations of each engine.
	restarts []int
	running  []*trafficRequest
	held     []*trafficRequest
	requests int
	refused  int
	// deadlyEnds is the number of engines that ended on the part "deadly".
	deadlyEnds int
}

// trafficRequest is one request. It begins to answer after a time, and its answer goes on
// after another one.
type trafficRequest struct {
	prompt  Prompt
	deadly  bool
	engine  int
	beginAt time.Time
	goOnAt  time.Time
	heldAt  time.Time
	ends    int
}

const (
	trafficStep    = 10 * time.Millisecond
	trafficEngines = 24
	// readTime is the time until an answer begins, and goOnTime until it goes on.
	readTime = 100 * time.Millisecond
	goOnTime = 300 * time.Millisecond
	// maxSends is the number of engines that one request may end.
	maxSends = 3
)

func newTraffic(seed uint64) *traffic {
	return &traffic{rnd: rand.New(rand.NewPCG(seed, 1)), tracker: Tracker{Entry: "a"}, now: begin, restarts: make([]int, trafficEngines)}
}

// request sends a request of one of ten customers on one of 100 topics, of which the first
// ones are the most frequent.
func (f *traffic) request(deadly bool) {
	f.requests++
	topic := fmt.Sprint("topic", int(100*f.rnd.Float64()*f.rnd.Float64()*f.rnd.Float64()))
	if deadly {
		topic = "deadly"
	}
	r := &trafficRequest{prompt: prompt(fmt.Sprint("own", f.requests), fmt.Sprint("customer", f.rnd.IntN(10))+","+topic), deadly: deadly}
	f.send(r)
}

// send sends a request, or lets it wait until its next step.
func (f *traffic) send(r *trafficRequest) {
	if r.heldAt.IsZero() {
		r.heldAt = f.now
	}
	a := f.tracker.Admit(r.prompt, f.now.Sub(r.heldAt), false, f.now)
	switch {
	case a.Decision == Hold:
		f.held = append(f.held, r)
		return
	case a.Decision == Refuse && !r.deadly:
		f.refused++
		return
	case a.Decision == Refuse:
		return
	}
	r.heldAt = time.Time{}
	r.engine, r.beginAt, r.goOnAt = f.rnd.IntN(trafficEngines), f.now.Add(readTime), f.now.Add(goOnTime)
	f.running = append(f.running, r)
}

// end ends an engine with all of its requests, which are sent to others.
func (f *traffic) end(engine int) {
	s := Server{
		ID: fmt.Sprint("e", engine, "-", f.restarts[engine]), Born: begin,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(engine+1)),
	}
	f.restarts[engine]++
	var kept, ended []*trafficRequest
	for _, r := range f.running {
		if r.engine == engine {
			ended = append(ended, r)
		} else {
			kept = append(kept, r)
		}
	}
	f.running = kept
	for _, r := range ended {
		f.tracker.EndAttempt(r.prompt)
		f.tracker.RecordEnd(s, r.prompt, !f.now.Before(r.beginAt), f.now)
	}
	for _, r := range ended {
		if r.ends++; r.ends < maxSends {
			f.send(r)
		}
	}
}

// step advances the time and ends the engines that begin to answer on the deadly part.
func (f *traffic) step() {
	f.now = f.now.Add(trafficStep)
	for again := true; again; {
		again = false
		for _, r := range f.running {
			if r.deadly && !f.now.Before(r.beginAt) {
				f.deadlyEnds++
				f.end(r.engine)
				again = true
				break
			}
		}
	}
	var kept []*trafficRequest
	for _, r := range f.running {
		if f.now.Before(r.goOnAt) {
			kept = append(kept, r)
			continue
		}
		f.tracker.EndAttempt(r.prompt)
		f.tracker.RecordProgress(r.prompt, f.now)
	}
	f.running = kept
	held := f.held
	f.held = nil
	for _, r := range held {
		f.send(r)
	}
}

// Guards against parts that are blamed because engines end by themselves: two a second, one
// VM at which an engine ends each second, and half of the engines at one moment, from the
// first second on, when no part is known to be sound yet.
func TestEndsByThemselvesBlameNoPart(t *testing.T) {
	for seed := range uint64(30) {
		is := is.New(t)
		f := newTraffic(seed)
		for i := range 3000 {
			if f.rnd.Float64() < 0.4 {
				f.request(false)
			}
			switch {
			case i%50 == 0:
				f.end(f.rnd.IntN(trafficEngines))
			case i%100 == 25:
				f.end(0)
			case i == 130 || i == 2000:
				for engine := range trafficEngines / 2 {
					f.end(engine)
				}
			}
			f.step()
		}
		t.Log(seed, f.requests, f.refused)
		is.Equal(f.refused, 0)
		is.Equal(len(f.tracker.Blames(f.now)), 0)
	}
}

// Guards against a deadly part that is found late, or together with sound parts, while
// engines end by themselves as well.
func TestDeadlyPartAmongOtherEnds(t *testing.T) {
	for seed := range uint64(30) {
		is := is.New(t)
		f := newTraffic(seed)
		for i := range 2000 {
			if f.rnd.Float64() < 0.4 {
				f.request(false)
			}
			if i%50 == 0 {
				f.end(f.rnd.IntN(trafficEngines))
			}
			if i > 300 && f.rnd.Float64() < 0.05 {
				f.request(true)
			}
			f.step()
		}
		blames := f.tracker.Blames(f.now)
		t.Log(seed, f.deadlyEnds, f.refused, len(blames))
		is.Equal(len(blames), 1)
		is.Equal(blames[0].Part, part("deadly"))
		is.Equal(f.refused, 0)
		const endsToBlame = 5
		is.True(f.deadlyEnds <= endsToBlame+3) // those on their way while others ended
	}
}
