package savorynode

// This file keeps completions from engines that would end under them: it feeds the
// tracker of prompts' beginnings and exchanges its state with other entries.

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savoryengine"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryverdict"
)

// holdPollInterval is the interval at which a completion that is held asks again.
const holdPollInterval = 20 * time.Millisecond

// errHeldCallerLeft means that the caller left while its completion was held.
var errHeldCallerLeft = errors.New("the caller left while another request tried the same beginning of the prompt")

// quarantinePrompt returns what a completion shares with others: the beginning of its
// prompt, for its version of the model. It is empty for a short prompt.
func (c *completion) quarantinePrompt() savoryquarantine.Prompt {
	p := savoryquarantine.Prompt{Owner: xxhash.Sum64String(c.prompt)}
	if c.prefix != 0 {
		p.Parts = []savoryquarantine.Part{{
			Service: c.pipeline.Name, Model: c.pipeline.Model + "@" + c.pipeline.Version, ID: strconv.FormatUint(c.prefix, 16),
		}}
	}
	return p
}

// admitPrompt returns an error if the beginning of the prompt is quarantined. It waits
// while the completion is held.
func (p *pipelineRunner) admitPrompt(ctx context.Context, g *generation) error {
	prompt := g.c.quarantinePrompt()
	if len(prompt.Parts) == 0 {
		return nil
	}
	for begin := p.callers.now(); ; {
		now := p.callers.now()
		a := p.gossip.admit(prompt, now.Sub(begin), now)
		switch a.Decision {
		case savoryquarantine.Send:
			g.trial = a.Trial
			return nil
		case savoryquarantine.Refuse:
			refusal := quarantinedError(a)
			if g.mayHaveRun {
				refusal.Verdict, refusal.Status, refusal.RetryAfter = savoryverdict.MayHaveRun, http.StatusBadGateway, 0
			}
			return refusal
		}
		if !sleepContext(ctx, holdPollInterval) {
			return errHeldCallerLeft
		}
	}
}

// quarantinedError returns the refusal of a completion that has not run.
func quarantinedError(a savoryquarantine.Admission) *savoryverdict.Error {
	return savoryverdict.Unavailable("PromptPart", a.RetryAfter, "engines end when they answer on the beginning of the prompt")
}

// returnTrial lets another completion try the beginning that this one was to try, since it
// reached no engine.
func (p *pipelineRunner) returnTrial(g *generation) {
	if !g.trial {
		return
	}
	g.trial = false
	p.callers.tables.quarantine.with(func(t *savoryquarantine.Tracker) { t.ReturnTrial(g.c.quarantinePrompt(), p.callers.now()) })
}

// admit decides on a completion that was held for a time. The live entry with the lowest
// address tries quarantined beginnings again.
func (s *gossiper) admit(prompt savoryquarantine.Prompt, held time.Duration, now time.Time) savoryquarantine.Admission {
	first := s.isFirst(now)
	var a savoryquarantine.Admission
	s.tables.quarantine.with(func(t *savoryquarantine.Tracker) { a = t.Admit(prompt, held, first, now) })
	s.announceQuarantine(a.Trial, true)
	return a
}

// isFirst reports whether this entry has the lowest address of the live ones.
func (s *gossiper) isFirst(now time.Time) bool {
	first := true
	s.tables.members.with(func(m *memberState) {
		for _, peer := range m.table.Live(now) {
			first = first && s.self.Address.Compare(peer.Address) < 0
		}
	})
	return first
}

// recordEngineEnd records that an engine ended under a completion.
func (s *gossiper) recordEngineEnd(c *completion, hop savoryengine.Hop, begun bool) {
	prompt, news := c.quarantinePrompt(), false
	server := savoryquarantine.Server{ID: hop.Server, Address: hop.Address}
	s.tables.quarantine.with(func(t *savoryquarantine.Tracker) { news = t.RecordEnd(server, prompt, begun, s.now()) })
	if news {
		s.log.WithFields(log.Fields{"server": hop.Server, "begun": begun, "part": prompt.Parts[0].String()}).Info("engine ended under a prompt")
	}
	s.announceQuarantine(news, true)
}

// recordAnswerProgress records that an answer of a completion went on.
func (s *gossiper) recordAnswerProgress(c *completion) {
	prompt, news := c.quarantinePrompt(), false
	if len(prompt.Parts) == 0 {
		return
	}
	s.tables.quarantine.with(func(t *savoryquarantine.Tracker) {
		t.EndAttempt(prompt)
		news = t.RecordProgress(prompt, s.now())
	})
	s.announceQuarantine(news, true)
}

// endAttempt records that an attempt of a completion has ended.
func (s *gossiper) endAttempt(c *completion) {
	s.tables.quarantine.with(func(t *savoryquarantine.Tracker) { t.EndAttempt(c.quarantinePrompt()) })
}

// announceQuarantine logs what has changed, and sends the state to other entries if it
// has, or if news is set. origin means that this entry is the first to have it.
func (s *gossiper) announceQuarantine(news, origin bool) {
	var changes []savoryquarantine.Change
	var state *savoryquarantine.State
	s.tables.quarantine.with(func(t *savoryquarantine.Tracker) {
		t.Update(s.now())
		if changes = t.Changes(); news || len(changes) > 0 {
			state = t.State(s.now())
		}
	})
	for _, c := range changes {
		s.log.WithFields(log.Fields{"part": c.Part.String(), "ends": c.Ends, "decidedBy": c.Entry, "quarantined": c.Quarantined}).Warn("quarantine of a beginning of prompts changed")
	}
	if state != nil {
		s.pool.submit(func() { s.offer(context.Background(), &savorypeer.Offer{Quarantine: state}, origin) })
	}
}

// mergeQuarantine adds what a peer knows, and passes it on if it was new.
func (s *gossiper) mergeQuarantine(state *savoryquarantine.State) {
	if state == nil {
		return
	}
	changed := false
	s.tables.quarantine.with(func(t *savoryquarantine.Tracker) { changed = t.Merge(state, s.now()) })
	s.announceQuarantine(changed, false)
}

// fetchQuarantine fetches the state of a peer that has another one.
func (s *gossiper) fetchQuarantine(ctx context.Context, received uint64, from netip.AddrPort) {
	if received == 0 || received == s.quarantinePrint() {
		return
	}
	if state, err := s.peers.Fetch(ctx, from, &savorypeer.Fetch{Quarantine: true}); err == nil {
		s.mergeQuarantine(state.Quarantine)
	} else {
		s.tables.members.with(func(m *memberState) { m.table.RecordFailure(from, s.now()) })
		s.log.WithError(err).WithField("peer", from).Debug("quarantined beginnings of prompts not fetched")
	}
}

func (s *gossiper) quarantinePrint() uint64 {
	var p uint64
	s.tables.quarantine.with(func(t *savoryquarantine.Tracker) { p = t.Print(s.now()) })
	return p
}

// receiveAck fetches the state of a peer that acknowledged an offer of the quarantine and
// still has another one: the peer may know that a part is sound.
func (s *gossiper) receiveAck(ctx context.Context, ack *savorypeer.Ack, offer *savorypeer.Offer, from savorymember.Peer) {
	if offer.Quarantine != nil {
		s.fetchQuarantine(ctx, ack.PromptPrint, from.Address)
	}
}
