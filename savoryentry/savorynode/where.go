package savorynode

// This file states where a request would go now, without sending it. It uses the functions that
// decide on requests, on copies of the state that these change.

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

// wherePreview is the state of one preview.
type wherePreview struct {
	a        *admin
	q        savoryadmin.WhereRequest
	result   *savoryadmin.Where
	snapshot *savoryconfig.Snapshot
	customer *savoryworld.Customer
	now      time.Time
}

// serveWhere writes where the request that the body describes would go.
func (a *admin) serveWhere(w http.ResponseWriter, r bunrouter.Request) error {
	q, err := savoryadmin.ReadWhere(w, r.Request)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, a.where(q))
	return nil
}

// where returns where a request would go.
func (a *admin) where(q savoryadmin.WhereRequest) *savoryadmin.Where {
	p := &wherePreview{
		a: a, q: q, snapshot: a.keeper.snapshot(), now: a.now(),
		result: &savoryadmin.Where{Entry: a.settings.Peers.Address.String(), Zone: a.settings.Zone},
	}
	if err := refuseInDoubt(p.run(), p.a.gossip.isolated(p.now)); err != nil {
		p.result.Error, p.result.Choice = savoryadmin.NewWhereError(savoryverdict.Wrap(err)), nil
	}
	return p.result
}

// run decides on the request in the order of callers.admit and the runners. It returns the error
// with which the request would be refused.
func (p *wherePreview) run() error {
	if p.a.gossip.draining.Load() {
		return savoryverdict.Unavailable("Draining", drainRetryAfter, "this entry is draining; retry the request")
	}
	if p.snapshot == nil {
		return savoryverdict.Unavailable("NoConfiguration", unreadyRetryAfter, "no configuration is in force at this entry yet")
	}
	p.result.Version = int64(p.snapshot.Revision()) //nolint:gosec // revisions count submissions
	p.result.Age = p.configAge()
	if err := p.a.ready(); err != nil {
		p.result.Doubt = err.Error()
	}
	if p.customer = p.snapshot.CustomerByDigest(p.q.KeySHA256); p.q.Customer != "" {
		p.customer = p.snapshot.Customer(p.q.Customer)
	}
	if p.customer == nil {
		return &savoryverdict.Error{
			Verdict: savoryverdict.NotRun, Status: http.StatusUnauthorized, Code: "UnknownKey", Message: "the key or customer is not known",
		}
	}
	p.result.Customer = p.customer.Name
	if p.q.Method == http.MethodPost && (p.q.Path == completionsPath || p.q.Path == chatPath) {
		return p.runCompletion()
	}
	return p.runService()
}

// configAge returns the time since the entry was last in contact with the store or a peer, from
// which it would have a newer revision.
func (p *wherePreview) configAge() savoryworld.Duration {
	at := p.a.gossip.storeContactAt.Load()
	if peer := p.a.gossip.peerContactAt.Load(); peer.After(at) {
		at = peer
	}
	if at.IsZero() {
		return 0
	}
	return savoryworld.Duration(max(0, p.now.Sub(at)))
}

func (p *wherePreview) setRetries(attempts int, repeatable bool) {
	p.a.tables.limits.with(func(l *limitState) {
		p.result.Retries = &savoryadmin.WhereRetries{Left: l.budget.Left(p.now), Attempts: attempts, Repeatable: repeatable}
	})
}

// admit returns the fraction of the bound on the first token up to which the request is admitted
// under its contract, and the number of answer tokens that it reserves.
func (p *wherePreview) admit(promptTokens, maxTokens int) (fraction float64, reserved int, err error) {
	p.a.tables.limits.with(func(l *limitState) {
		limiter := l.limiter.Copy(p.customer.Name)
		if maxTokens > 0 {
			reserved = limiter.ExpectedAnswerTokens(p.customer.Name, maxTokens)
		}
		fraction = l.fairness.AdmissionFraction(p.customer.Name)
		err = limiter.Admit(p.customer, promptTokens+reserved, p.now)
	})
	return fraction, reserved, err
}

// runCompletion chooses a chain of engines.
func (p *wherePreview) runCompletion() error {
	p.result.Route, p.result.Kind = p.q.Path, "Completion"
	pipeline := p.snapshot.Pipeline(p.q.Model)
	if pipeline == nil {
		return notFound("model", "no model %q", p.q.Model)
	}
	p.result.Service = pipeline.Name
	if !slices.Contains(p.customer.Pipelines, pipeline.Name) {
		return notAllowed("model", "the customer may not use model %s", pipeline.Name)
	}
	c := &completion{pipeline: pipeline, promptTokens: max(1, p.q.PromptTokens)}
	req := new(completionRequest)
	if p.q.AnswerTokens > 0 {
		req.MaxTokens = &p.q.AnswerTokens
	}
	var err error
	if c.maxTokens, err = req.maxTokens(pipeline); err != nil {
		return err
	}
	if err := p.setPrefix(c); err != nil {
		return err
	}
	p.setRetries(maxAttempts, true)
	fraction, reserved, refusal := p.admit(c.promptTokens, c.maxTokens)
	p.result.Tokens = c.promptTokens + reserved
	if err := p.admitPrompt(c); refusal == nil {
		refusal = err
	}
	if err := p.chooseChain(c, fraction); refusal == nil {
		refusal = err
	}
	return refusal
}

// setPrefix sets the beginning of the prompt, whose fingerprint is the only part.
func (p *wherePreview) setPrefix(c *completion) error {
	if len(p.q.Parts) == 0 {
		return nil
	}
	prefix, err := strconv.ParseUint(p.q.Parts[0], 16, 64)
	if err != nil || len(p.q.Parts) > 1 {
		return savoryverdict.Invalid("Parts", "must be one fingerprint of a prompt's beginning in hexadecimal digits, as in the log")
	}
	c.prefix, c.prefixTokens = prefix, min(c.promptTokens, leadingPrefixTokens)
	return nil
}

// admitPrompt returns the refusal of a request whose prompt has a quarantined beginning.
func (p *wherePreview) admitPrompt(c *completion) error {
	var a savoryquarantine.Admission
	first := p.a.gossip.isFirst(p.now)
	p.a.tables.quarantine.with(func(t *savoryquarantine.Tracker) { a = t.Preview(c.quarantinePrompt(), first, p.now) })
	p.result.Prompt = &savoryadmin.WherePrompt{Decision: a.Decision, Part: a.Part.ID, Trial: a.Trial}
	if a.Decision == savoryquarantine.Refuse {
		return quarantinedError(a)
	}
	return nil
}

func (p *wherePreview) chooseChain(c *completion, fraction float64) error {
	var choice savorychain.Choice
	var candidates []savorychain.Candidate
	var err error
	p.a.tables.chains.with(func(t *savorychain.Table) {
		choice, candidates, err = t.Preview(savorychain.Request{
			Pipeline: c.pipeline, PromptTokens: c.promptTokens, AnswerTokens: c.maxTokens, Prefix: c.prefix, PrefixTokens: c.prefixTokens,
			Avoid: p.q.Tried, AdmissionFraction: fraction, Admitted: len(p.q.Tried) > 0,
		}, p.now)
	})
	p.setCandidates(candidates)
	if err != nil {
		return pipelineError(err, false)
	}
	chain := make(savorypath.Chain, len(choice.Chain))
	for i, hop := range choice.Chain {
		chain[i] = savorypath.Hop{Server: hop.Server, Address: hop.Address, Layers: hop.Layers}
	}
	p.result.Choice = &savoryadmin.WhereChoice{
		Chain: chain, RunnerUp: savorychain.ServerNames(choice.RunnerUp),
		FirstToken: savoryworld.Duration(choice.FirstToken), BetweenTokens: savoryworld.Duration(choice.BetweenTokens),
	}
	return nil
}

// runService chooses a server of a plain service.
func (p *wherePreview) runService() error {
	route, refusal := matchRoute(p.snapshot, p.customer, p.q.Method, p.q.Path)
	if route == nil {
		return refusal
	}
	p.result.Route, p.result.Kind, p.result.Service = route.Name, "Service", route.Service
	p.setRetries(maxServiceAttempts, route.Idempotent)
	if refusal == nil {
		_, _, refusal = p.admit(0, 0)
	}
	if err := p.chooseServer(route.Service); refusal == nil {
		refusal = err
	}
	return refusal
}

func (p *wherePreview) chooseServer(service string) error {
	var choice savorychain.ServiceChoice
	var candidates []savorychain.Candidate
	var err error
	p.a.tables.chains.with(func(t *savorychain.Table) {
		choice, candidates, err = t.PreviewService(service, p.q.Tried, p.now)
		if err != nil && len(p.q.Tried) > 0 {
			// As in serviceRunner.send, servers that failed are tried again if no other is left.
			choice, candidates, err = t.PreviewService(service, nil, p.now)
		}
	})
	p.setCandidates(candidates)
	if err != nil {
		return noServerError(service, err)
	}
	p.result.Choice = &savoryadmin.WhereChoice{Server: choice.Server.Name}
	if choice.RunnerUp != nil {
		p.result.Choice.RunnerUp = choice.RunnerUp.Name
	}
	return nil
}

func (p *wherePreview) setCandidates(candidates []savorychain.Candidate) {
	for _, c := range candidates {
		p.result.Candidates = append(p.result.Candidates, savoryadmin.WhereCandidate{
			Server: c.Server, Zone: c.Zone, Layers: c.Layers, InFlight: c.Own,
			Prompt: savoryworld.Duration(c.PromptTime), Token: savoryworld.Duration(c.TokenTime), Excluded: string(c.Excluded),
		})
	}
}
