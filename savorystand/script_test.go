package main

// This file defines the commands of the scripts in testdata: each script starts
// a site, switches faults on, sends requests and checks what came of them.

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
	// slowStep makes answers long enough to be interrupted.
	slowStep = 5 * time.Millisecond
)

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setupScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site":     onScript((*script).site),
			"fault":    onScript((*script).fault),
			"send":     onScript((*script).send),
			"reply":    onScript((*script).checkReply),
			"executed": onScript((*script).checkExecuted),
			"generate": onScript((*script).generate),
			"begin":    onScript((*script).begin),
			"finish":   onScript((*script).finish),
			"submit":   onScript((*script).submit),
			"revision": onScript((*script).checkRevision),
			"leave":    onScript((*script).leave),
			"unused":   onScript((*script).checkUnused),
			"drain":    onScript((*script).drain),
			"vanish":   onScript((*script).vanish),
			"add":      onScript((*script).add),
			"vm":       onScript((*script).vm),
			"upgrade":  onScript((*script).upgrade),
			"holds":    onScript((*script).checkHolds),
			"keep":     onScript((*script).keepRoot),
			"restore":  onScript((*script).restoreRoot),
			"freeze":   onScript((*script).freeze),
			"flood":    onScript((*script).flood),
			"healed":   onScript((*script).checkHealed),
		},
	})
}

// script is the state of one script.
type script struct {
	world   *savorysite.Site
	reply   savorysite.Reply
	answers map[string]chan error
	// version is the version of the model that answers must come from.
	version string
	// root is the stored root that keep read.
	root savorystore.Value
}

// rootKey is the store key of the root.
const rootKey = "savorycart/watched/root"

type scriptKey struct{}

func setupScript(env *testscript.Env) error {
	s := &script{answers: make(map[string]chan error), version: savorysite.ModelVersion}
	env.Values[scriptKey{}] = s
	env.Defer(func() {
		if s.world != nil {
			s.world.Stop()
		}
	})
	return nil
}

// onScript turns a method into a command; a command with ! must fail.
func onScript(run func(*script, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s, _ := ts.Value(scriptKey{}).(*script)
		err := run(s, args)
		if neg && err == nil {
			ts.Fatalf("succeeded but should fail")
		}
		if neg {
			ts.Logf("failed as it should: %v", err)
			return
		}
		ts.Check(err)
	}
}

// site ENTRIES ENGINES SERVICES starts a site.
func (s *script) site(args []string) error {
	numbers, err := numbers(args, 3)
	if err != nil {
		return err
	}
	s.world = &savorysite.Site{
		Entries: numbers[0], EnginesPerStage: numbers[1], ServiceServers: numbers[2], Log: savorylog.Discard(),
		Tune: func(settings *savorynode.Settings) {
			settings.Platform.StoreTimeout = savoryworld.Duration(300 * time.Millisecond)
			settings.Orders.Enabled = true
			settings.Orders.LeaseTime = savoryworld.Duration(2 * time.Second)
		},
		Edit: func(doc *savoryconfig.Document) {
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
	return s.world.Start()
}

// fault platform|engine NAME|service N FAULT switches a fault on; "off" ends it.
func (s *script) fault(args []string) error {
	name := args[len(args)-1]
	switch args[0] {
	case "platform":
		faults, ok := map[string]savoryplatform.Faults{
			"off": {}, "out": {Out: true}, "silent": {Silent: true}, "silent-watches": {SilentWatches: true},
			"lose-answer": {LoseAnswers: 1}, "slow": {Delay: 100 * time.Millisecond},
		}[name]
		if !ok {
			return fmt.Errorf("no fault %q", name)
		}
		s.world.Platform.SetFaults(faults)
	case "engine":
		faults, ok := map[string]savorymodel.Faults{
			"off": {}, "die": {AbortConnections: true}, "silent": {Hang: true}, "skip": {SkipLastLayer: true}, "slow": {Delay: slowStep},
			"very-slow": {Delay: 2 * time.Second}, "repeat": {DuplicateTokens: true}, "cross": {WrongRequestID: true}, "short": {EndStreamEarly: true},
		}[name]
		if !ok {
			return fmt.Errorf("no fault %q", name)
		}
		for _, e := range s.world.Engines {
			if args[1] == "all" || args[1] == e.Name {
				e.SetFaults(faults)
			}
		}
	case "service":
		faults, ok := map[string]savoryservice.Faults{
			"off": {}, "cut-after": {CutAfter: true}, "cut-before": {CutBefore: true}, "silent": {Silent: true}, "large": {AnswerBytes: 100_000},
		}[name]
		if !ok {
			return fmt.Errorf("no fault %q", name)
		}
		for _, d := range s.world.Dispatch {
			if args[1] == "all" || args[1] == d.Name {
				d.SetFaults(faults)
			}
		}
	}
	return nil
}

// send ENTRY METHOD PATH KEY BODY [CUSTOMER] sends a plain request.
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
	s.reply, err = caller.Send(ctx, args[1], args[2], args[4], key)
	return err
}

// reply NAME VALUE ... checks the last reply.
func (s *script) checkReply(args []string) error {
	seen := map[string]string{
		"status": strconv.Itoa(s.reply.Status), "verdict": s.reply.Verdict, "replayed": strconv.FormatBool(s.reply.Replayed),
		"retry": strconv.FormatBool(s.reply.RetryAfter != ""),
	}
	for i := 0; i+1 < len(args); i += 2 {
		if args[i] == "contains" {
			if !strings.Contains(s.reply.Body, args[i+1]) {
				return fmt.Errorf("body %q lacks %q", s.reply.Body, args[i+1])
			}
			continue
		}
		if seen[args[i]] != args[i+1] {
			return fmt.Errorf("%s is %q, want %q; body %s", args[i], seen[args[i]], args[i+1], s.reply.Body)
		}
	}
	return nil
}

// executed KEY N checks the independent count at the services.
func (s *script) checkExecuted(args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	if got := s.world.Executed(args[0]); got != want {
		return fmt.Errorf("key %s was carried out %d times, want %d", args[0], got, want)
	}
	return nil
}

// generate ENTRY TOKENS asks for an answer and checks each word of it.
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

func generateAndCheck(ctx context.Context, caller *savorysite.Caller, version, prompt string, tokens int) error {
	g, err := caller.Generate(ctx, savorysite.ModelName, prompt, tokens)
	if err != nil {
		return err
	}
	want := savorymodel.ExpectedWords(savorysite.ModelName, version, prompt, savorysite.Layers, tokens)
	if len(g.Text) > len(want) || !slices.Equal(g.Text, want[:len(g.Text)]) {
		return fmt.Errorf("WRONG answer: %v", g.Text)
	}
	if g.Whole != (len(g.Text) == tokens) {
		return fmt.Errorf("WRONG end: whole=%t with %d of %d tokens", g.Whole, len(g.Text), tokens)
	}
	if !g.Whole {
		return fmt.Errorf("not whole after %d tokens, status %d: %s", len(g.Text), g.Status, g.Problem)
	}
	return nil
}

// begin NAME ENTRY TOKENS starts answers that finish NAME waits for.
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
	before := s.runningEngines()
	return savorysite.Eventually(scriptTimeout, "tokens run", func() bool { return s.runningEngines() > before })
}

func (s *script) runningEngines() int64 {
	var tokens int64
	for _, e := range s.world.Engines {
		tokens += e.Tokens()
	}
	return tokens
}

// finish NAME waits for an answer and requires that it is whole and right.
func (s *script) finish(args []string) error { return <-s.answers[args[0]] }

// submit ENTRY SECTION TEAM READ submits the section of the first document,
// with one change.
func (s *script) submit(args []string) error {
	entry, err := s.entry(args[0])
	if err != nil {
		return err
	}
	read, err := strconv.ParseUint(args[3], 10, 64)
	if err != nil {
		return err
	}
	doc := *s.world.Document
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

// revision N waits until revision N is in force at every entry.
func (s *script) checkRevision(args []string) error {
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	return s.world.WaitRevision(n)
}

// upgrade ENTRY READ SUFFIX VERSION gives the engines whose names end in SUFFIX
// another version; the suffix "pipeline" stands for the pipeline.
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
		s.world.Document.Pipelines[0].Version = args[3]
		s.version = args[3]
	}
	for i := range s.world.Document.BackendServers {
		server := &s.world.Document.BackendServers[i]
		if server.IsEngine() && strings.HasSuffix(server.Name, args[2]) {
			server.Version = args[3]
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	_, err = entry.Submit(ctx, section, "models", read, s.world.Document)
	return err
}

// holds SERVER VERSION waits until an engine holds a version.
func (s *script) checkHolds(args []string) error {
	return savorysite.Eventually(scriptTimeout, strings.Join(args, " holds "), func() bool {
		return s.world.Engine(args[0]).Assignment().Version == args[1]
	})
}

// keep reads the stored root, restore writes it again over a later one, as a
// store does that was set back.
func (s *script) keepRoot([]string) error {
	var err error
	s.root, err = s.world.Store().Get(context.Background(), rootKey)
	return err
}

func (s *script) restoreRoot([]string) error {
	return s.world.Store().PutMany(context.Background(), []savorystore.Value{s.root})
}

// healed N waits until the stored root has revision N again.
func (s *script) checkHealed(args []string) error {
	return savorysite.Eventually(scriptTimeout, "the store healed", func() bool {
		v, err := s.world.Store().Get(context.Background(), rootKey)
		if err != nil {
			return false
		}
		root, err := savoryconfig.DecodeRoot(v.Body)
		return err == nil && strconv.FormatUint(root.Revision, 10) == args[0]
	})
}

// freeze makes all open connections silent, while new ones work.
func (s *script) freeze([]string) error {
	if n := s.world.Freeze(); n == 0 {
		return errors.New("no connection was open")
	}
	return nil
}

// flood ENTRY N sends N requests under keys at once and waits for the answers.
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

// leave ENTRY SERVER marks a backend server as leaving. While the store is out
// the mark is in force but its outcome is unknown.
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

// unused SERVER waits until every entry counts the server as leaving.
func (s *script) checkUnused(args []string) error {
	return savorysite.Eventually(scriptTimeout, args[0]+" leaving everywhere", func() bool {
		return leavesEverywhere(s.world, args[0])
	})
}

// vm SERVER STATE sets the state of a backend server's VM in the list; the
// state "self" makes an engine refuse new work by itself.
func (s *script) vm(args []string) error {
	for _, server := range s.world.Document.BackendServers {
		if server.Name != args[0] {
			continue
		}
		if args[1] == "self" {
			s.world.Engine(args[0]).SetLeaving(true)
			return nil
		}
		s.world.Platform.SetVM(savoryworld.VM{Address: server.Address, Zone: server.Zone, Region: "limpopo", State: savoryworld.VMState(args[1])})
		return nil
	}
	return fmt.Errorf("no server %s", args[0])
}

// drain ENTRY stops an entry as planned and takes it out of the site.
func (s *script) drain(args []string) error {
	entry, err := s.entry(args[0])
	if err != nil {
		return err
	}
	err = entry.Drain()
	s.remove(entry)
	return err
}

// vanish ENTRY ends an entry at once.
func (s *script) vanish(args []string) error {
	entry, err := s.entry(args[0])
	if err != nil {
		return err
	}
	entry.Kill()
	s.remove(entry)
	return nil
}

func (s *script) remove(entry *savorysite.Entry) {
	s.world.Platform.RemoveVM(entry.Peers)
	s.world.Nodes = slices.DeleteFunc(s.world.Nodes, func(e *savorysite.Entry) bool { return e == entry })
}

// add ZONE starts another entry.
func (s *script) add(args []string) error {
	_, err := s.world.AddEntry(args[0])
	return err
}

func (s *script) entry(text string) (*savorysite.Entry, error) {
	i, err := strconv.Atoi(text)
	if err != nil || i < 0 || i >= len(s.world.Nodes) {
		return nil, fmt.Errorf("no entry %q", text)
	}
	return s.world.Nodes[i], nil
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

func numbers(args []string, want int) ([]int, error) {
	if len(args) != want {
		return nil, fmt.Errorf("%d arguments, want %d", len(args), want)
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
