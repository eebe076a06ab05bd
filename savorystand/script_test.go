package main

// This file defines the commands of the scripts in testdata: each script starts a
// site, injects faults, sends requests and checks the results.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryverdict"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savorynode"
	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savoryplatform"
	"savorycart.example/savorystand/savoryservice"
	"savorycart.example/savorystand/savorysite"
)

const (
	scriptTimeout = 30 * time.Second
	// slowStep is a delay of each step that makes answers long enough to be
	// interrupted.
	slowStep = 5 * time.Millisecond
)

// Guards against requests that get no response, are executed twice or have wrong
// answers, and against configurations that are reverted, under the faults of the scripts in testdata.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setupScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site":     scriptCommand((*script).site),
			"fault":    scriptCommand((*script).fault),
			"send":     scriptCommand((*script).send),
			"reply":    scriptCommand((*script).checkReply),
			"executed": scriptCommand((*script).checkExecuted),
			"generate": scriptCommand((*script).generate),
			"begin":    scriptCommand((*script).begin),
			"finish":   scriptCommand((*script).finish),
			"submit":   scriptCommand((*script).submit),
			"revision": scriptCommand((*script).checkRevision),
			"leave":    scriptCommand((*script).leave),
			"unused":   scriptCommand((*script).checkLeaving),
			"drain":    scriptCommand((*script).drain),
			"vanish":   scriptCommand((*script).kill),
			"add":      scriptCommand((*script).add),
			"vm":       scriptCommand((*script).vm),
			"upgrade":  scriptCommand((*script).upgrade),
			"holds":    scriptCommand((*script).checkHolds),
			"keep":     scriptCommand((*script).saveRoot),
			"restore":  scriptCommand((*script).restoreRoot),
			"freeze":   scriptCommand((*script).freeze),
			"flood":    scriptCommand((*script).flood),
			"healed":   scriptCommand((*script).checkStoredRevision),
		},
	})
}

// script is the state of one running script.
type script struct {
	testSite *savorysite.Site
	response savorysite.Response
	answers  map[string]chan error
	// version is the model version that answers must come from.
	version string
	// root is the stored root that the command keep has read.
	root savorystore.Value
}

// rootKey is the store key of the configuration root.
const rootKey = "savorycart/watched/root"

type scriptKey struct{}

func setupScript(env *testscript.Env) error {
	s := &script{answers: make(map[string]chan error), version: savorysite.ModelVersion}
	env.Values[scriptKey{}] = s
	env.Defer(func() {
		if s.testSite != nil {
			s.testSite.Stop()
		}
	})
	return nil
}

// scriptCommand turns a method into a command. A command with ! must fail.
func scriptCommand(run func(*script, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s, _ := ts.Value(scriptKey{}).(*script)
		err := run(s, args)
		if neg && err == nil {
			ts.Fatalf("command succeeded but must fail")
		}
		if neg {
			ts.Logf("command failed as required: %v", err)
			return
		}
		ts.Check(err)
	}
}

// site ENTRIES ENGINES SERVICES starts a site.
func (s *script) site(args []string) error {
	counts, err := parseCounts(args, 3)
	if err != nil {
		return err
	}
	s.testSite = &savorysite.Site{
		Entries: counts[0], EnginesPerStage: counts[1], ServiceServers: counts[2], Log: savorylog.Discard(),
		EditSettings: func(settings *savorynode.Settings) {
			settings.Platform.StoreTimeout = savoryworld.Duration(300 * time.Millisecond)
			settings.Orders.Enabled = true
			settings.Orders.LeaseTime = savoryworld.Duration(2 * time.Second)
		},
		EditDocument: func(doc *savoryconfig.Document) {
			doc.Routes = append(doc.Routes, savoryworld.Route{
				Name: "permits", Path: "/permits", Service: "dispatch", KeyRequired: true, WhenStoreOut: savoryworld.OutageForward,
			})
			for i := range doc.Customers {
				doc.Customers[i].Routes = append(doc.Customers[i].Routes, "permits")
			}
			doc.Customers = append(doc.Customers, savoryworld.Customer{
				Name: "far-desk", KeySHA256: []string{savorysite.Digest(savorysite.CustomerKey("far-desk"))},
				HomeRegion: "gauteng", Routes: []string{"callouts"},
			})
			doc.Zones = append(doc.Zones, savoryworld.AvailabilityZone{Name: "gauteng-a", Region: "gauteng"})
		},
	}
	return s.testSite.Start()
}

// fault platform|engine NAME|service N FAULT sets a fault; "off" clears it.
func (s *script) fault(args []string) error {
	name := args[len(args)-1]
	switch args[0] {
	case "platform":
		faults, ok := map[string]savoryplatform.Faults{
			"off": {}, "out": {Unavailable: true}, "silent": {Unresponsive: true}, "silent-watches": {StalledWatches: true},
			"lose-answer": {DropResponses: 1}, "slow": {Delay: 100 * time.Millisecond},
		}[name]
		if !ok {
			return fmt.Errorf("unknown fault %q", name)
		}
		s.testSite.Platform.SetFaults(faults)
	case "engine":
		faults, ok := map[string]savorymodel.Faults{
			"off": {}, "die": {AbortConnections: true}, "silent": {Hang: true}, "skip": {SkipLastLayer: true}, "slow": {Delay: slowStep},
			"very-slow": {Delay: 2 * time.Second}, "repeat": {DuplicateTokens: true}, "cross": {WrongRequestID: true}, "short": {EndStreamEarly: true},
		}[name]
		if !ok {
			return fmt.Errorf("unknown fault %q", name)
		}
		for _, e := range s.testSite.Engines {
			if args[1] == "all" || args[1] == e.Name {
				e.SetFaults(faults)
			}
		}
	case "service":
		faults, ok := map[string]savoryservice.Faults{
			"off": {}, "cut-after": {CloseAfterExecution: true}, "cut-before": {CloseBeforeExecution: true}, "silent": {Unresponsive: true}, "large": {ResponseBytes: 100_000},
		}[name]
		if !ok {
			return fmt.Errorf("unknown fault %q", name)
		}
		for _, d := range s.testSite.DispatchServers {
			if args[1] == "all" || args[1] == d.Name {
				d.SetFaults(faults)
			}
		}
	}
	return nil
}

// send ENTRY METHOD PATH KEY BODY [CUSTOMER] sends a request to a plain service.
func (s *script) send(args []string) error {
	if len(args) < 5 {
		return errors.New("usage: send ENTRY METHOD PATH KEY BODY [CUSTOMER]")
	}
	caller, err := s.caller(args[0])
	if err != nil {
		return err
	}
	if len(args) > 5 {
		caller.Key = savorysite.CustomerKey(args[5])
	}
	key := strings.TrimSuffix(args[3], "-")
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	s.response, err = caller.Send(ctx, args[1], args[2], args[4], key)
	return err
}

// reply NAME VALUE ... checks the last response.
func (s *script) checkReply(args []string) error {
	got := map[string]string{
		"status": strconv.Itoa(s.response.Status), "verdict": s.response.Verdict, "replayed": strconv.FormatBool(s.response.Replayed),
		"retry": strconv.FormatBool(s.response.RetryAfter != ""),
	}
	for i := 0; i+1 < len(args); i += 2 {
		if args[i] == "contains" {
			if !strings.Contains(s.response.Body, args[i+1]) {
				return fmt.Errorf("body %q does not contain %q", s.response.Body, args[i+1])
			}
			continue
		}
		if got[args[i]] != args[i+1] {
			return fmt.Errorf("%s is %q, want %q; body %s", args[i], got[args[i]], args[i+1], s.response.Body)
		}
	}
	return nil
}

// executed KEY N checks the executions that the services counted for a key.
func (s *script) checkExecuted(args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	if got := s.testSite.Executed(args[0]); got != want {
		return fmt.Errorf("key %s was executed %d times, want %d", args[0], got, want)
	}
	return nil
}

// generate ENTRY TOKENS requests a completion and checks every token of it.
func (s *script) generate(args []string) error {
	caller, err := s.caller(args[0])
	if err != nil {
		return err
	}
	tokens, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	return generateAndCheck(ctx, caller, s.version, strings.Join(args, " "), tokens)
}

// generateAndCheck requests a completion and compares it with the expected text; a
// completion that ends early must not be marked as complete.
func generateAndCheck(ctx context.Context, caller *savorysite.Caller, version, prompt string, tokens int) error {
	g, err := caller.Generate(ctx, savorysite.ModelName, prompt, tokens)
	if err != nil {
		return err
	}
	want := savorymodel.ExpectedWords(savorysite.ModelName, version, prompt, savorysite.Layers, tokens)
	if len(g.Text) > len(want) || !slices.Equal(g.Text, want[:len(g.Text)]) {
		return fmt.Errorf("WRONG answer: tokens %v", g.Text)
	}
	if g.Complete != (len(g.Text) == tokens) {
		return fmt.Errorf("WRONG end: complete=%t with %d of %d tokens", g.Complete, len(g.Text), tokens)
	}
	if !g.Complete {
		return fmt.Errorf("answer is incomplete after %d tokens, status %d: %s", len(g.Text), g.Status, g.ErrorMessage)
	}
	return nil
}

// begin NAME ENTRY TOKENS starts a completion that finish NAME waits for.
func (s *script) begin(args []string) error {
	caller, err := s.caller(args[1])
	if err != nil {
		return err
	}
	tokens, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	s.answers[args[0]] = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
		defer cancel()
		done <- generateAndCheck(ctx, caller, s.version, strings.Join(args, " "), tokens)
	}()
	before := s.tokensRun()
	return savorysite.Eventually(scriptTimeout, "an engine runs tokens", func() bool { return s.tokensRun() > before })
}

// tokensRun returns the number of tokens that all engines have run.
func (s *script) tokensRun() int64 {
	var tokens int64
	for _, e := range s.testSite.Engines {
		tokens += e.Tokens()
	}
	return tokens
}

// finish NAME waits for a completion and requires that it is complete and correct.
func (s *script) finish(args []string) error { return <-s.answers[args[0]] }

// submit ENTRY SECTION TEAM READ [CODE] submits the section of the first document
// with one change, as read at revision READ. With CODE it must be refused with
// that code.
func (s *script) submit(args []string) error {
	entry, err := s.entry(args[0])
	if err != nil {
		return err
	}
	read, err := strconv.ParseUint(args[3], 10, 64)
	if err != nil {
		return err
	}
	doc := *s.testSite.Document
	switch section := savoryconfig.Section(args[1]); section {
	case savoryconfig.Customers:
		doc.Customers = slices.Clone(doc.Customers)
		doc.Customers[0].Contract.Concurrency += int(read)
	case savoryconfig.Routes:
		doc.Routes = slices.Clone(doc.Routes)
		doc.Routes[0].Timeout = savoryworld.Duration(time.Duration(read) * time.Second)
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	_, err = entry.Submit(ctx, savoryconfig.Section(args[1]), args[2], read, &doc)
	var refused *savoryverdict.Error
	if errors.As(err, &refused) && len(args) > 4 && refused.Code == args[4] {
		return nil
	}
	if len(args) > 4 {
		return fmt.Errorf("want code %s, got %w", args[4], err)
	}
	return err
}

// revision N waits until revision N or a later one is in force at every entry.
func (s *script) checkRevision(args []string) error {
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	return s.testSite.WaitRevision(n)
}

// upgrade ENTRY READ SUFFIX VERSION sets the version of the engines whose names end
// in SUFFIX; the suffix "pipeline" sets the version of the pipeline.
func (s *script) upgrade(args []string) error {
	entry, err := s.entry(args[0])
	if err != nil {
		return err
	}
	read, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	section := savoryconfig.BackendServers
	if args[2] == "pipeline" {
		section = savoryconfig.Pipelines
		s.testSite.Document.Pipelines[0].Version = args[3]
		s.version = args[3]
	}
	for i := range s.testSite.Document.BackendServers {
		server := &s.testSite.Document.BackendServers[i]
		if server.IsEngine() && strings.HasSuffix(server.Name, args[2]) {
			server.Version = args[3]
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	_, err = entry.Submit(ctx, section, "models", read, s.testSite.Document)
	return err
}

// holds SERVER VERSION waits until an engine holds a version.
func (s *script) checkHolds(args []string) error {
	return savorysite.Eventually(scriptTimeout, strings.Join(args, " holds "), func() bool {
		return s.testSite.Engine(args[0]).Assignment().Version == args[1]
	})
}

// keep reads the stored root, and restore writes that root over a later one, which
// simulates a store that is restored from an old backup.
func (s *script) saveRoot([]string) error {
	var err error
	s.root, err = s.testSite.Store().Get(context.Background(), rootKey)
	return err
}

func (s *script) restoreRoot([]string) error {
	return s.testSite.Store().PutMany(context.Background(), []savorystore.Value{s.root})
}

// healed N waits until the stored root has revision N again.
func (s *script) checkStoredRevision(args []string) error {
	return savorysite.Eventually(scriptTimeout, "the stored root is written again", func() bool {
		v, err := s.testSite.Store().Get(context.Background(), rootKey)
		if err != nil {
			return false
		}
		root, err := savoryconfig.DecodeRoot(v.Body)
		return err == nil && strconv.FormatUint(root.Revision, 10) == args[0]
	})
}

// freeze makes all open connections unresponsive; new connections work.
func (s *script) freeze([]string) error {
	if n := s.testSite.Freeze(); n == 0 {
		return errors.New("no connection is open")
	}
	return nil
}

// flood ENTRY N sends N callouts with idempotency keys at once and waits for the
// responses.
func (s *script) flood(args []string) error {
	caller, err := s.caller(args[0])
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	failed := make(chan error, n)
	for i := range n {
		go func() {
			_, err := caller.Send(ctx, http.MethodPost, "/callouts", "body", fmt.Sprint("flood-", i))
			failed <- err
		}()
	}
	for range n {
		err = errors.Join(err, <-failed)
	}
	return err
}

// leave ENTRY SERVER marks a backend server as leaving. While the store is
// unavailable the mark is in force but its outcome is unknown.
func (s *script) leave(args []string) error {
	entry, err := s.entry(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	_, err = entry.Operator(savorysite.TeamToken("models")).SetLeaving(ctx, args[1], true)
	if savoryverdict.Of(err) == savoryverdict.MayHaveRun {
		return nil
	}
	return err
}

// unused SERVER waits until every entry has the server as leaving.
func (s *script) checkLeaving(args []string) error {
	return savorysite.Eventually(scriptTimeout, args[0]+" leaving everywhere", func() bool {
		return isLeavingEverywhere(s.testSite, args[0])
	})
}

// vm SERVER STATE sets the state of a backend server's VM in the list; the state
// "self" makes the engine itself report that it is leaving.
func (s *script) vm(args []string) error {
	for _, server := range s.testSite.Document.BackendServers {
		if server.Name != args[0] {
			continue
		}
		if args[1] == "self" {
			s.testSite.Engine(args[0]).SetLeaving(true)
			return nil
		}
		s.testSite.Platform.SetVM(savoryworld.VM{Address: server.Address, Zone: server.Zone, Region: "limpopo", State: savoryworld.VMState(args[1])})
		return nil
	}
	return fmt.Errorf("unknown server %s", args[0])
}

// drain ENTRY drains an entry, waits until it has stopped and removes it from the
// site.
func (s *script) drain(args []string) error {
	entry, err := s.entry(args[0])
	if err != nil {
		return err
	}
	err = entry.Drain()
	s.remove(entry)
	return err
}

// vanish ENTRY stops an entry at once, without a drain.
func (s *script) kill(args []string) error {
	entry, err := s.entry(args[0])
	if err != nil {
		return err
	}
	entry.Kill()
	s.remove(entry)
	return nil
}

func (s *script) remove(entry *savorysite.Entry) {
	s.testSite.Platform.RemoveVM(entry.Peers)
	s.testSite.Nodes = slices.DeleteFunc(s.testSite.Nodes, func(e *savorysite.Entry) bool { return e == entry })
}

// add ZONE starts another entry in a zone.
func (s *script) add(args []string) error {
	_, err := s.testSite.AddEntry(args[0])
	return err
}

func (s *script) entry(text string) (*savorysite.Entry, error) {
	i, err := strconv.Atoi(text)
	if err != nil || i < 0 || i >= len(s.testSite.Nodes) {
		return nil, fmt.Errorf("unknown entry %q", text)
	}
	return s.testSite.Nodes[i], nil
}

func (s *script) caller(entry string) (*savorysite.Caller, error) {
	e, err := s.entry(entry)
	if err != nil {
		return nil, err
	}
	return &savorysite.Caller{
		Entry: e.Callers, Key: savorysite.CustomerKey("musina-guards"),
		Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

func parseCounts(args []string, want int) ([]int, error) {
	if len(args) != want {
		return nil, fmt.Errorf("got %d arguments, want %d", len(args), want)
	}
	values := make([]int, want)
	for i, text := range args {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		values[i] = n
	}
	return values, nil
}
