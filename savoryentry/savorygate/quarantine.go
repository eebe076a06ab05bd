package savorygate

// This file keeps requests from servers that would end under them: it collects the ends
// of servers and the progress of answers for savoryquarantine, exchanges its state with
// other entries, and applies its decisions.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// progressEvents is the number of events after which an answer goes on. Servers end
	// when they begin to answer on a part, at the latest within a few events.
	progressEvents = 8
	// maxEndsPerRequest is the number of servers in a row that may end under one request,
	// none of which went on with its answer. The cause may be in the request itself.
	maxEndsPerRequest = 3
	// endCheckWait is how long a failed request waits for the check whether its server
	// has ended. A refused connection takes less, also in another zone.
	endCheckWait = 60 * time.Millisecond
	// holdPollInterval is the interval at which a request that is held asks again.
	holdPollInterval = 20 * time.Millisecond
)

// errQuarantined is the cause of the end of an attempt whose prompt has a part that was
// quarantined in the meantime.
var errQuarantined = errors.New("a part of the prompt was quarantined")

// quarantine holds the tracker of parts of prompts. Its lock is never held together with
// another one.
type quarantine struct {
	mu      sync.Mutex
	tracker savoryquarantine.Tracker
	// loaded is set once the snapshot in the store was read, or if there can be none.
	loaded bool
}

// promptOf returns what a request shares with others. It is empty for a request whose
// prompt has no shared parts.
func promptOf(caller Caller, service string) savoryquarantine.Prompt {
	p := savoryquarantine.Prompt{Owner: xxhash.Sum64String(caller.OwnPart)}
	for _, id := range caller.PromptParts {
		// The text of a header would keep the whole header in memory.
		p.Parts = append(p.Parts, savoryquarantine.Part{Service: service, Model: strings.Clone(caller.Model), ID: strings.Clone(id)})
	}
	return p
}

// refusedPartError is the error of a request whose prompt has a quarantined part.
type refusedPartError struct {
	part       savoryquarantine.Part
	retryAfter time.Duration
}

func (e *refusedPartError) Error() string {
	return fmt.Sprintf("servers end when they answer on part %s of the prompt", e.part.ID)
}

// verdict returns the error response for the request.
func (e *refusedPartError) verdict(mayHaveRun bool) *savoryverdict.Error {
	if mayHaveRun {
		return savoryverdict.Wrap(e)
	}
	v := savoryverdict.Unavailable("PromptPart", e.retryAfter, "a part of the prompt is quarantined")
	v.Err = e
	return v
}

// errHeld is the error of a request that its caller gave up while it was held.
var errHeld = errors.New("the caller left or the deadline passed while another request tried the same part of the prompt")

// admit decides whether the request may be sent now. It waits while the request is held;
// wait waits for a time and reports whether the caller still waits. The error is errHeld
// or a *refusedPartError.
func (c *call) admit(wait func(time.Duration) bool) error {
	if len(c.prompt.Parts) == 0 {
		return nil
	}
	for begin := c.g.now(); ; {
		now := c.g.now()
		a := c.g.admitPrompt(c.prompt, now.Sub(begin), now)
		switch a.Decision {
		case savoryquarantine.Refuse:
			return &refusedPartError{part: a.Part, retryAfter: a.RetryAfter}
		case savoryquarantine.Send:
			if c.trial = a.Trial; c.trial {
				c.log.WithField("part", a.Part.String()).Info("request tries a quarantined part of prompts")
				c.g.wakeSync()
			}
			return nil
		}
		if !wait(holdPollInterval) {
			return errHeld
		}
	}
}

// failHeld ends a request that admit did not allow.
func (c *call) failHeld(err error) {
	refused := (*refusedPartError)(nil)
	switch {
	case errors.As(err, &refused):
		c.fail(refused.verdict(c.mayHaveRun))
	case c.mayHaveRun:
		c.fail(savoryverdict.Wrap(err))
	default:
		c.fail(savoryverdict.Unavailable("Held", busyRetryDelay, "%v", err))
	}
}

// admitPrompt decides on sending a request that was held for a time.
func (g *Gate) admitPrompt(p savoryquarantine.Prompt, held time.Duration, now time.Time) savoryquarantine.Admission {
	mayTry := g.quarantined(p) && g.relay.isFirst(now)
	g.quarantine.mu.Lock()
	a := g.quarantine.tracker.Admit(p, held, mayTry, now)
	g.quarantine.mu.Unlock()
	g.applyQuarantineChanges()
	return a
}

// returnTrial lets another request try the part that this one was to try, since it reached no
// server.
func (c *call) returnTrial() {
	if !c.trial {
		return
	}
	c.trial = false
	c.g.quarantine.mu.Lock()
	defer c.g.quarantine.mu.Unlock()
	c.g.quarantine.tracker.ReturnTrial(c.prompt, c.g.now())
}

// quarantined reports whether a part of the prompt is quarantined.
func (g *Gate) quarantined(p savoryquarantine.Prompt) bool {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	return g.quarantine.tracker.Quarantined(p)
}

// endAttempt records that an attempt to send a request has ended.
func (g *Gate) endAttempt(p savoryquarantine.Prompt) {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	g.quarantine.tracker.EndAttempt(p)
}

// recordProgress records that an answer on a prompt went on.
func (g *Gate) recordProgress(p savoryquarantine.Prompt) {
	if len(p.Parts) == 0 {
		return
	}
	g.quarantine.mu.Lock()
	g.quarantine.tracker.EndAttempt(p)
	tell := g.quarantine.tracker.RecordProgress(p, g.now())
	g.quarantine.mu.Unlock()
	if tell {
		g.applyQuarantineChanges()
		g.wakeSync()
	}
}

// checkEnded checks whether a server has ended under a request, and records it if so.
// begun is set if the server had begun the answer. onEnd, if set, is called then. The check
// goes on in the background after endCheckWait.
func (g *Gate) checkEnded(logger log.Interface, p savoryquarantine.Prompt, id string, address netip.AddrPort, begun bool, onEnd func()) {
	failedAt := g.now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		born := g.view.born(id)
		report, err := g.reportSince(g.ctx, address, failedAt)
		if !errors.Is(err, syscall.ECONNREFUSED) && (err != nil || !report.StartedAt.After(born)) {
			return
		}
		if onEnd != nil {
			onEnd()
		}
		g.recordEnd(logger, savoryquarantine.Server{ID: id, Born: born, Address: address}, p, begun)
	}()
	select {
	case <-done:
	case <-time.After(endCheckWait):
	}
}

// recordEnd records that a server ended under a request.
func (g *Gate) recordEnd(logger log.Interface, s savoryquarantine.Server, p savoryquarantine.Prompt, begun bool) {
	g.quarantine.mu.Lock()
	news := g.quarantine.tracker.RecordEnd(s, p, begun, g.now())
	g.quarantine.mu.Unlock()
	g.metrics.serverEnds.Inc()
	if !news {
		return // all parts are known to be sound, or another request has shown the same
	}
	logger.WithFields(log.Fields{"server": s.ID, "address": s.Address.String(), "begun": begun, "parts": partIDs(p)}).Info("server ended under a prompt")
	g.wakeSync()
}

func partIDs(p savoryquarantine.Prompt) string {
	ids := make([]string, len(p.Parts))
	for i, part := range p.Parts {
		ids[i] = part.ID
	}
	return strings.Join(ids, ",")
}

// updateQuarantine takes the decisions that are due.
func (g *Gate) updateQuarantine() {
	g.quarantine.mu.Lock()
	g.quarantine.tracker.Update(g.now())
	quarantined, suspected := g.quarantine.tracker.Summary()
	g.quarantine.mu.Unlock()
	g.metrics.promptParts.WithLabelValues("quarantined").Set(float64(quarantined))
	g.metrics.promptParts.WithLabelValues("suspected").Set(float64(suspected))
	g.applyQuarantineChanges()
}

// applyQuarantineChanges logs what has changed, ends the requests that only wait for the
// first event of an answer on a quarantined part, and tells the other entries.
func (g *Gate) applyQuarantineChanges() {
	g.quarantine.mu.Lock()
	changes := g.quarantine.tracker.Changes()
	g.quarantine.mu.Unlock()
	for _, c := range changes {
		logger := g.Log.WithFields(log.Fields{"service": c.Part.Service, "model": c.Part.Model, "part": c.Part.ID, "ends": c.Ends, "decidedBy": c.Entry})
		if !c.Quarantined {
			logger.Warn("part of prompts is no longer quarantined")
			continue
		}
		canceled := g.streams.cancelUnbegun(c.Part)
		logger.WithField("canceled", canceled).Warn("part of prompts quarantined")
	}
	if len(changes) > 0 {
		g.wakeSync()
	}
}

// cancelUnbegun ends the attempts without an event whose prompt has a part, and returns
// their number.
func (s *activeStreams) cancelUnbegun(part savoryquarantine.Part) int {
	s.mu.Lock()
	var found []*stallWatch
	for w := range s.all {
		if slices.Contains(w.attempt.prompt.Parts, part) {
			found = append(found, w)
		}
	}
	s.mu.Unlock()
	n := 0
	for _, w := range found {
		if !w.attempt.hasEvents() {
			w.attempt.cancel(errQuarantined)
			n++
		}
	}
	return n
}

// quarantineState returns the print of the state for a peer, and the state if the peer is
// known to have another one.
func (g *Gate) quarantineState(known *savorypeer.Versions) (uint64, *savoryquarantine.State) {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	now := g.now()
	p := g.quarantine.tracker.Print(now)
	if p == 0 || known == nil || !known.TracksPrompts || known.PromptPrint == p {
		return p, nil
	}
	return p, g.quarantine.tracker.State(now)
}

// mergeQuarantine adds the state of a peer, and reports whether that was new.
func (g *Gate) mergeQuarantine(s *savoryquarantine.State) bool {
	if s == nil {
		return false
	}
	g.quarantine.mu.Lock()
	changed := g.quarantine.tracker.Merge(s, g.now())
	g.quarantine.mu.Unlock()
	g.applyQuarantineChanges()
	return changed
}

// quarantinedPart is a quarantined part in the operators' list.
type quarantinedPart struct {
	Service string
	Model   string
	Part    string
	// Ends is the number of servers that had ended under the part when the entry named
	// Entry decided, at Since. Trials is the number of later requests that tried it.
	Ends   int
	Entry  string
	Since  time.Time
	Trials int
}

// handleQuarantine lists the quarantined parts.
func (g *Gate) handleQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := g.now()
	blames := g.Quarantined()
	all := make([]quarantinedPart, 0, len(blames))
	for _, b := range blames {
		all = append(all, quarantinedPart{
			Service: b.Part.Service, Model: b.Part.Model, Part: b.Part.ID, Ends: b.Ends, Entry: b.Entry, Since: now.Add(-b.Age).UTC(), Trials: b.Trials,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(all); err != nil {
		g.Log.WithError(err).Debug("list of quarantined parts not written")
	}
}

// handleTrial lets the next request try the part that the body states, as in the list. If
// its answer goes on, the part is sound for all entries.
func (g *Gate) handleTrial(w http.ResponseWriter, r *http.Request) {
	const maxBodyBytes = 4 << 10
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	var p quarantinedPart
	if err == nil {
		err = json.Unmarshal(body, &p)
	}
	if err != nil {
		http.Error(w, "the body is not a part in the form of the list: "+err.Error(), http.StatusBadRequest)
		return
	}
	g.quarantine.mu.Lock()
	ok := g.quarantine.tracker.AskTrial(savoryquarantine.Part{Service: p.Service, Model: p.Model, ID: p.Part}, g.now())
	g.quarantine.mu.Unlock()
	if !ok {
		http.Error(w, fmt.Sprintf("part %q of service %q and model %q is not quarantined", p.Part, p.Service, p.Model), http.StatusNotFound)
		return
	}
	g.Log.WithFields(log.Fields{"service": p.Service, "model": p.Model, "part": p.Part}).Warn("part of prompts is tried again at an operator's request")
	g.wakeSync()
	w.WriteHeader(http.StatusNoContent)
}

// reportSince returns the report of an engine. The call for it started after since.
func (g *Gate) reportSince(ctx context.Context, address netip.AddrPort, since time.Time) (Report, error) {
	g.reports.mu.Lock()
	if rc := g.reports.calls[address]; rc != nil && rc.startedAt.Before(since) {
		delete(g.reports.calls, address)
	}
	g.reports.mu.Unlock()
	return g.report(ctx, address)
}
