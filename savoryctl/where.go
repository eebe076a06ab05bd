package main

// This file defines the command that shows where a request would go, without sending it.

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// keyVariable is the environment variable with the key of a customer.
	keyVariable = "SAVORYCART_KEY"
	// maxCandidateRows bounds the servers in the text output; a service may have thousands.
	maxCandidateRows = 40
)

// statusError ends a command with an exit code of its own.
type statusError struct {
	code int
	text string
}

func (e *statusError) Error() string { return e.text }

// runWhere prints where a request would go from the view of one entry, and why.
func runWhere(s *session, args []string) error {
	o := s.options("where")
	q := savoryadmin.WhereRequest{}
	o.set.StringVar(&q.Host, "host", "", "`host` of the request, on the platform")
	o.set.StringVar(&q.Path, "path", "/", "`path` of the request")
	o.set.StringVar(&q.Method, "method", http.MethodGet, "HTTP `method` of the request")
	o.set.StringVar(&q.Customer, "customer", "", "`name` of the customer, instead of a key in the environment variable "+keyVariable)
	o.set.StringVar(&q.Request, "request", "", "`ID` of the request, which selects among the services of a route (default: random)")
	o.set.IntVar(&q.PromptTokens, "prompt-tokens", 0, "`number` of tokens of the prompt")
	o.set.IntVar(&q.AnswerTokens, "answer-tokens", 0, "`number` of tokens of the answer")
	o.set.StringVar(&q.Model, "model", "", "`model` that the caller asks for")
	parts := o.set.String("parts", "", "`IDs` of the shared parts of the prompt, joined by commas")
	tried := o.set.String("tried", "", "`servers` that have failed the request before, joined by commas")
	if err := o.parse(args, 0); err != nil {
		return err
	}
	if !strings.HasPrefix(q.Path, "/") {
		return fmt.Errorf("-path: %q does not begin with a slash", q.Path)
	}
	q.Parts, q.Tried = splitList(*parts), splitList(*tried)
	if q.Customer == "" {
		q.KeySHA256 = savoryadmin.KeyDigest(s.getenv(keyVariable))
	}
	client, err := o.client(s)
	if err != nil {
		return err
	}
	// The call needs no team's token, and the metrics address of the platform has no TLS.
	client.Token = ""
	where, err := client.Where(s.ctx, q)
	if err != nil {
		return whereError(client, err)
	}
	if err := o.print(s, where, func() { s.printWhere(where) }); err != nil {
		return err
	}
	switch {
	case where.NoRoute():
		return &statusError{code: exitNoRoute, text: "no such route: " + where.Error.Message}
	case where.Error != nil:
		return &statusError{code: exitRefused, text: fmt.Sprintf("the request would be refused: %d %s", where.Error.Status, where.Error.Code)}
	}
	return nil
}

// whereError returns the error of a call that has no result.
func whereError(client *savoryadmin.Client, err error) error {
	var refused *savoryverdict.Error
	var transport *url.Error
	switch {
	case errors.As(err, &refused):
		return fmt.Errorf("entry %s: status %d: %s %s: %s", client.Entry, refused.Status, refused.Code, refused.Field, refused.Message)
	case errors.As(err, &transport):
		return &statusError{code: exitNotReached, text: fmt.Sprintf("entry %s was not reached: %v", client.Entry, transport.Err)}
	}
	return err
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func (s *session) printWhere(w *savoryadmin.Where) {
	fmt.Fprintf(s.out, "entry: %s in zone %s\n", w.Entry, w.Zone)
	fmt.Fprintf(s.out, "configuration: version %d, confirmed %s ago%s\n", w.Version, short(w.Age), optional(", in doubt: %s", w.Doubt))
	if w.Route != "" {
		fmt.Fprintf(s.out, "route: %s (%s)%s%s%s\n", w.Route, w.Kind, optional(", service %s", w.Service), shares(w.Shares), optional(", customer %s", w.Customer))
	}
	if w.Tokens > 0 {
		fmt.Fprintf(s.out, "memory: %d tokens\n", w.Tokens)
	}
	if p := w.Prompt; p != nil {
		trial := ""
		if p.Trial {
			trial = ", as the trial of this part"
		}
		fmt.Fprintf(s.out, "parts of the prompt: %s%s%s\n", p.Decision, optional(", part %s", p.Part), trial)
	}
	s.printCandidates(w)
	if r := w.Retries; r != nil {
		fmt.Fprintf(s.out, "retries: %d left in the budget of this entry, up to %d attempts, repeatable: %t\n", r.Left, r.Attempts, r.Repeatable)
	}
	if e := w.Error; e != nil {
		after := ""
		if e.RetryAfter > 0 {
			after = ", Retry-After " + strconv.FormatFloat(e.RetryAfter.AsDuration().Seconds(), 'g', 3, 64) + " s"
		}
		fmt.Fprintf(s.out, "refused: %d %s%s: %s%s\n", e.Status, e.Code, after, e.Message, optional(" (%s)", e.Cause))
	}
	if w.Choice != nil {
		s.printChoice(w.Choice)
	}
}

func (s *session) printChoice(c *savoryadmin.WhereChoice) {
	if len(c.Chain) > 0 {
		fmt.Fprintf(s.out, "chain: %s\n", chainText(c.Chain))
	} else {
		fmt.Fprintf(s.out, "server: %s\n", c.Server)
	}
	var details []string
	add := func(name string, d savoryworld.Duration) {
		if d > 0 {
			details = append(details, name+" "+short(d))
		}
	}
	add("pass", c.Pass)
	add("first token", c.FirstToken)
	add("between tokens", c.BetweenTokens)
	if c.Fill > 0 {
		details = append(details, fmt.Sprintf("memory at most %.0f %% full", 100*c.Fill))
	}
	if c.Zones > 0 {
		details = append(details, fmt.Sprintf("zones with a chain: %d", c.Zones))
	}
	add("wait for the limit or pause of the server", c.Delay)
	if len(details) > 0 {
		fmt.Fprintf(s.out, "estimate: %s\n", strings.Join(details, ", "))
	}
	if c.RunnerUp != "" {
		fmt.Fprintf(s.out, "second best: %s\n", c.RunnerUp)
	}
}

// printCandidates prints the servers: first the chosen ones, then those that could be chosen.
func (s *session) printCandidates(w *savoryadmin.Where) {
	if len(w.Candidates) == 0 {
		return
	}
	rank := func(c savoryadmin.WhereCandidate) int {
		switch {
		case w.Choice != nil && (c.Server == w.Choice.Server || w.Choice.Chain.Uses(c.Server)):
			return 0
		case c.Excluded == "":
			return 1
		}
		return 2
	}
	all := slices.Clone(w.Candidates)
	slices.SortStableFunc(all, func(a, b savoryadmin.WhereCandidate) int {
		return cmp.Or(rank(a)-rank(b), a.Layers.From-b.Layers.From)
	})
	t := s.table("", "SERVER", "ZONE", "LAYERS", "IN FLIGHT", "ESTIMATE", "EXCLUDED")
	for _, c := range all[:min(len(all), maxCandidateRows)] {
		mark := ""
		if rank(c) == 0 {
			mark = "*"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", mark, c.Server, c.Zone, c.Layers, inFlight(c), estimate(c), reasons(c))
	}
	_ = t.Flush()
	if len(all) > maxCandidateRows {
		fmt.Fprintf(s.out, "... and %d more (-json prints all): %s\n", len(all)-maxCandidateRows, countReasons(all[maxCandidateRows:]))
	}
}

// countReasons returns the numbers of servers by the reason why they are excluded.
func countReasons(all []savoryadmin.WhereCandidate) string {
	counts := make(map[string]int)
	for _, c := range all {
		counts[cmp.Or(c.Excluded, "not excluded")]++
	}
	var texts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	return strings.Join(texts, ", ")
}

func inFlight(c savoryadmin.WhereCandidate) string {
	if c.Slots == 0 {
		return strconv.Itoa(c.InFlight)
	}
	return fmt.Sprintf("%d of %d", c.InFlight, c.Slots)
}

// estimate returns the estimated times at a server, and how full its memory would be.
func estimate(c savoryadmin.WhereCandidate) string {
	switch {
	case c.Pass > 0:
		return fmt.Sprintf("pass %s, memory %.0f %% full", short(c.Pass), 100*c.Fill)
	case c.Prompt > 0 || c.Token > 0:
		return "prompt " + short(c.Prompt) + ", token " + short(c.Token)
	}
	return ""
}

// reasons returns why a server is excluded, or cannot be the first of a chain.
func reasons(c savoryadmin.WhereCandidate) string {
	var all []string
	if c.Excluded != "" {
		all = append(all, c.Excluded)
	}
	// A chain begins at layer 0; other engines need no remark.
	if c.NotFirst != "" && c.NotFirst != string(savorypath.NotFirstLayers) {
		all = append(all, "not as the first: "+c.NotFirst)
	}
	if c.Delay > 0 && c.Excluded == "" && c.NotFirst == "" {
		all = append(all, "takes the request in "+short(c.Delay))
	}
	return strings.Join(all, "; ")
}

// chainText returns the servers of a chain with their layers, of which the last is included.
func chainText(chain savorypath.Chain) string {
	hops := make([]string, len(chain))
	for i, h := range chain {
		hops[i] = h.Server + "=" + h.Layers.String()
	}
	return strings.Join(hops, ", ")
}

func shares(all []savoryadmin.WhereShare) string {
	if len(all) == 0 {
		return ""
	}
	texts := make([]string, len(all))
	for i, s := range all {
		texts[i] = fmt.Sprintf("%s %d", s.Service, s.Weight)
	}
	return " of " + strings.Join(texts, " : ")
}

// optional returns text in the format, or an empty string for an empty text.
func optional(format, text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf(format, text)
}

// short returns a duration with three digits.
func short(d savoryworld.Duration) string {
	const digits = 3
	v := d.AsDuration()
	if v <= 0 {
		return v.String()
	}
	unit := time.Duration(math.Pow10(max(0, int(math.Log10(float64(v)))-digits+1)))
	return v.Round(unit).String()
}
