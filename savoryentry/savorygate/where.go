package savorygate

// This file states where a request would go now, without sending it. It uses the functions that
// decide on requests, on copies of the state that these change.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

// handleWhere writes where the request that the body describes would go.
func (g *Gate) handleWhere(w http.ResponseWriter, r *http.Request) {
	status, result := http.StatusOK, any(nil)
	if q, err := savoryadmin.ReadWhere(w, r); err != nil {
		e := savoryverdict.Wrap(err)
		status, result = e.Status, savoryadmin.ErrorBody{Error: savoryadmin.ErrorDetail{
			Message: e.Message, Type: "invalid_request_error", Param: e.Field, Code: e.Code, Verdict: e.Verdict,
		}}
	} else {
		result = g.where(q)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(result); err != nil {
		g.Log.WithError(err).Debug("destination of a request not written")
	}
}

// where returns where a request would go.
func (g *Gate) where(q savoryadmin.WhereRequest) *savoryadmin.Where {
	s, now := g.Settings(), g.now()
	result := &savoryadmin.Where{Entry: s.Name, Zone: s.Zone}
	id := q.Request
	if id == "" {
		id = strconv.FormatUint(rand.Uint64(), 16)
	}
	c := &call{
		g: g, r: &http.Request{Host: q.Host, RequestURI: q.Path, Method: q.Method}, startedAt: now, table: g.table.Load(),
		caller: Caller{ID: id, PromptTokens: q.PromptTokens, ExpectedTokens: q.AnswerTokens, PromptParts: q.Parts, Model: q.Model},
	}
	if err := c.preview(q, result, now); err != nil {
		result.Error, result.Choice = savoryadmin.NewWhereError(err), nil
	}
	return result
}

// preview decides on a request that is not sent, in the order of accept, admit and the choice of
// a server or chain. It returns the error with which the request would be refused.
func (c *call) preview(q savoryadmin.WhereRequest, result *savoryadmin.Where, now time.Time) *savoryverdict.Error {
	if c.table == nil {
		return savoryverdict.Unavailable("NoConfiguration", unavailableRetryDelay, "no configuration is known yet")
	}
	if err := c.previewRoute(q, result); err != nil {
		return err
	}
	c.service = c.table.Service(c.route, c.caller.ID)
	if c.service == nil {
		return savoryverdict.Unavailable("NoService", unavailableRetryDelay, "route %s has no service", c.route.Name)
	}
	result.Service = c.service.Name
	c.prompt = promptOf(c.caller, c.service.Name)
	c.deadline = c.startedAt.Add(c.route.Timeout)
	result.Retries = c.previewRetries(now)
	if err := c.refuseIfStopping(); err != nil {
		return err
	}
	tried := make(map[string]bool, len(q.Tried))
	for _, id := range q.Tried {
		tried[id] = true
	}
	refusal := c.previewPrompt(result, now)
	var err *savoryverdict.Error
	if c.route.Kind == savoryrouting.Streaming && c.service.Engine != nil && c.service.Engine.Layers > 0 {
		err = c.previewChain(tried, result, now)
	} else {
		err = c.previewServer(tried, result, now)
	}
	if refusal != nil {
		return refusal
	}
	return err
}

// previewRoute selects the route and the customer.
func (c *call) previewRoute(q savoryadmin.WhereRequest, result *savoryadmin.Where) *savoryverdict.Error {
	_, age := c.g.configReading(c.g.bootNow())
	err, doubt := c.matchAgain(c.match())
	result.Version, result.Age, result.Doubt = c.table.Config.Version, savoryworld.Duration(age), string(doubt)
	if c.route == nil {
		return refuseInDoubt(err, doubt)
	}
	result.Route, result.Kind = c.route.Name, string(c.route.Kind)
	if len(c.route.Shares) > 1 {
		for _, s := range c.route.Shares {
			result.Shares = append(result.Shares, savoryadmin.WhereShare{Service: s.Service, Weight: s.Weight})
		}
	}
	if !c.table.NeedsKey(c.route) {
		return nil
	}
	// The call has no key, only its digest or the name of the customer.
	if c.customer = c.table.CustomerByDigest(q.KeySHA256); q.Customer != "" {
		c.customer = c.table.CustomerByName(q.Customer)
	}
	if c.customer == nil {
		return refuseInDoubt(err, doubt)
	}
	result.Customer = c.customer.Name
	return nil
}

// previewRetries returns the state of the retry budget of the service.
func (c *call) previewRetries(now time.Time) *savoryadmin.WhereRetries {
	retries := &savoryadmin.WhereRetries{Attempts: max(1, c.route.Attempts), Repeatable: c.route.Repeatable()}
	c.g.budgetMu.Lock()
	defer c.g.budgetMu.Unlock()
	if b := c.g.budgets[c.service.Name]; b != nil {
		retries.Left = b.Left(now)
	}
	return retries
}

// previewPrompt returns the refusal of a request whose prompt has a quarantined part.
func (c *call) previewPrompt(result *savoryadmin.Where, now time.Time) *savoryverdict.Error {
	mayTry := c.g.quarantined(c.prompt) && c.g.relay.isFirst(now)
	c.g.quarantine.mu.Lock()
	a := c.g.quarantine.tracker.Preview(c.prompt, mayTry, now)
	c.g.quarantine.mu.Unlock()
	result.Prompt = &savoryadmin.WherePrompt{Decision: a.Decision, Part: a.Part.ID, Trial: a.Trial}
	if a.Decision != savoryquarantine.Refuse {
		return nil
	}
	return (&refusedPartError{part: a.Part, retryAfter: a.RetryAfter}).verdict(false)
}

// previewChain chooses a chain of engines.
func (c *call) previewChain(tried map[string]bool, result *savoryadmin.Where, now time.Time) *savoryverdict.Error {
	s := &stream{call: c, avoided: tried}
	s.tokens = s.expectedTokens()
	result.Tokens = s.tokens
	choice, candidates, err := c.g.view.previewChain(c.service.Name, s.chainRequest(), tried, c.maxDelay(), now)
	result.Candidates = candidates
	if err != nil {
		return s.noChainError(err, c.g.view.previewReturnDelay)
	}
	result.Choice = &savoryadmin.WhereChoice{
		Chain: choice.Chain, Pass: savoryworld.Duration(choice.PassTime), Fill: choice.Fill, Zones: choice.Zones, Delay: savoryworld.Duration(choice.Delay),
	}
	return nil
}

// previewServer chooses a plain server.
func (c *call) previewServer(tried map[string]bool, result *savoryadmin.Where, now time.Time) *savoryverdict.Error {
	choice, candidates, err := c.g.view.previewServer(c.service.Name, tried, c.maxDelay(), now)
	result.Candidates = candidates
	if err != nil {
		return c.plainError(err, false, c.g.view.previewReturnDelay)
	}
	result.Choice = &savoryadmin.WhereChoice{Server: choice.server.ID, RunnerUp: choice.runnerUp, Delay: savoryworld.Duration(choice.delay)}
	return nil
}

// copyNotices returns a copy of what the servers of a service state. The caller holds the lock.
func (v *view) copyNotices(service string) *savorynotice.Board {
	var ids []string
	for _, s := range v.roster.Available(service) {
		ids = append(ids, s.ID)
	}
	return v.notices.Copy(service, ids)
}

// previewReturnDelay is returnDelay for a caller that is not refused.
func (v *view) previewReturnDelay(service string, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.copyNotices(service).ReturnDelay(service, v.firstServers(service, now), now)
}

// previewChain returns what chooseChain would return, and the engines of the service.
func (v *view) previewChain(service string, r savorypath.Request, tried map[string]bool, maxDelay time.Duration, now time.Time) (savorypath.Choice, []savoryadmin.WhereCandidate, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	notices := v.copyNotices(service)
	var choice savorypath.Choice
	var engines []savorypath.Candidate
	err := savorypath.ErrNoChain
	if t := v.chainTables[service]; t != nil {
		choice, engines, err = t.Preview(v.restrict(service, r, notices, maxDelay, now), now)
	}
	byID := make(map[string]savorypath.Candidate, len(engines))
	for _, e := range engines {
		byID[e.Server] = e
	}
	candidates := v.candidates(service, tried, notices, maxDelay, now)
	for i := range candidates {
		c := &candidates[i]
		e, ok := byID[c.Server]
		if !ok {
			continue
		}
		c.InFlight, c.Pass, c.Fill, c.NotFirst = e.Requests, savoryworld.Duration(e.PassTime), e.Fill, string(e.NotFirst)
		limited := c.Delay > 0 || e.NotFirst == savorypath.NotTaken
		if limited && c.Excluded != "" && e.Excluded == "" {
			// A limit or a pause that is not over in time rules an engine out only as the first.
			c.NotFirst, c.Excluded = c.Excluded, ""
		}
		if c.Excluded == "" {
			c.Excluded = string(e.Excluded)
		}
	}
	return choice, candidates, err
}

// previewServer returns what chooseServer would return, and the servers of the service.
func (v *view) previewServer(service string, tried map[string]bool, maxDelay time.Duration, now time.Time) (serverChoice, []savoryadmin.WhereCandidate, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	notices := v.copyNotices(service)
	choice, err := v.pickServer(service, tried, notices, maxDelay, now)
	return choice, v.candidates(service, tried, notices, maxDelay, now), err
}

// candidates returns the listed servers of a service. The caller holds the lock.
func (v *view) candidates(service string, tried map[string]bool, notices *savorynotice.Board, maxDelay time.Duration, now time.Time) []savoryadmin.WhereCandidate {
	var all []savoryadmin.WhereCandidate
	for _, s := range v.roster.All() {
		if s.Service != service {
			continue
		}
		c := savoryadmin.WhereCandidate{Server: s.ID, Zone: s.Zone, Layers: s.Holds, Slots: s.Slots, InFlight: v.inFlight[s.ID]}
		delay, ok := notices.Delay(service, s.ID, now)
		c.Delay = savoryworld.Duration(delay)
		c.Excluded = v.exclusion(s, tried[s.ID], now)
		switch {
		case c.Excluded != "":
		case !ok:
			c.Excluded = "other entries share its limit"
		case delay > maxDelay:
			c.Excluded = fmt.Sprintf("takes no request for %s by its limit or pause", delay.Round(time.Millisecond))
		}
		all = append(all, c)
	}
	return all
}

// exclusion returns why a server is not chosen, or only if no other one works: by its failures
// and the list.
func (v *view) exclusion(s savoryroster.Server, tried bool, now time.Time) string {
	switch {
	case s.Leaving:
		return "leaving"
	case tried:
		return "tried"
	case v.health.Failing(s.ID, now):
		return "avoided after a failure"
	case v.health.Avoided(s.ID, now):
		return "avoided after a refusal"
	}
	return ""
}
