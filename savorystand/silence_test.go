package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savorymodel"
	"savorycart.example/savorystand/savoryservice"
	"savorycart.example/savorystand/savorysite"
)

const (
	// silentStreams is more than the retries that an entry's budget holds.
	silentStreams = 60
	// silentTime is longer than the stall timeout of a chain.
	silentTime = 1500 * time.Millisecond
	// silentTokens is the length of the answers. At slowStep it exceeds the
	// time in which all streams begin.
	silentTokens = 120
)

// Guards against begun answers that are cut off when all engines are silent for a
// second or so and then go on, which exceeds the retry budget.
func TestAnswersOutlastSilentEngines(t *testing.T) {
	is := is.New(t)
	site := &savorysite.Site{Entries: 1, EnginesPerStage: 2, ServiceServers: 1, Log: savorylog.Discard()}
	defer site.Stop()
	is.NoErr(site.Start())
	setEngineFaults(site, savorymodel.Faults{Delay: slowStep})
	finish := beginAnswers(t, site, silentStreams)
	setEngineFaults(site, savorymodel.Faults{Delay: slowStep, Hang: true})
	time.Sleep(silentTime)
	setEngineFaults(site, savorymodel.Faults{})
	finish()
}

// Guards against begun answers that are cut off while a stage has no usable engine
// for a second or so, as when its engine is replaced.
func TestAnswerWaitsForChain(t *testing.T) {
	is := is.New(t)
	site := &savorysite.Site{Entries: 1, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard()}
	defer site.Stop()
	is.NoErr(site.Start())
	setEngineFaults(site, savorymodel.Faults{Delay: slowStep})
	finish := beginAnswers(t, site, 1)
	operator := site.Nodes[0].Operator(savorysite.TeamToken("models"))
	_, err := operator.SetLeaving(t.Context(), "engine-1a", true)
	is.NoErr(err)
	site.Engine("engine-1a").SetFaults(savorymodel.Faults{AbortConnections: true})
	time.Sleep(silentTime)
	site.Engine("engine-1a").SetFaults(savorymodel.Faults{})
	_, err = operator.SetLeaving(t.Context(), "engine-1a", false)
	is.NoErr(err)
	finish()
}

// Guards against answers that end without their end marker because their caller's
// link is full while they are sent: the chain must not be taken for stalled.
func TestSlowCallerGetsCompleteAnswer(t *testing.T) {
	is := is.New(t)
	link := new(pausedLink)
	site := &savorysite.Site{
		Entries: 1, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard(),
		WrapCallers: func(l net.Listener) net.Listener {
			link.Listener = l
			return link
		},
	}
	defer site.Stop()
	is.NoErr(site.Start())
	setEngineFaults(site, savorymodel.Faults{Delay: slowStep})
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	const tokens = 20
	received := 0
	caller := &savorysite.Caller{
		Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards"),
		OnText: func(string) {
			received++
			if received == tokens-1 {
				link.until.Store(time.Now().Add(silentTime))
			}
		},
	}
	is.NoErr(generateAndCheck(ctx, caller, savorysite.ModelVersion, "prompt", tokens))
}

// Guards against requests of an idempotent route that are given up before their
// route's timeout because the retry budget is used up, while the silent server
// goes on.
func TestRequestsOutlastSilentService(t *testing.T) {
	const (
		timeout  = 4500 * time.Millisecond
		requests = 90
	)
	is := is.New(t)
	site := &savorysite.Site{
		Entries: 1, EnginesPerStage: 1, ServiceServers: 2, Log: savorylog.Discard(),
		EditDocument: func(doc *savoryconfig.Document) { doc.Routes[0].Timeout = savoryworld.Duration(timeout) },
	}
	defer site.Stop()
	is.NoErr(site.Start())
	for _, s := range site.DispatchServers {
		s.SetFaults(savoryservice.Faults{Delay: timeout / 2})
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards")}
	var answers sync.WaitGroup
	var refused atomic.Int64
	for range requests {
		answers.Go(func() {
			response, err := caller.Send(ctx, http.MethodGet, "/rosters/tonight", "", "")
			if err != nil || response.Status != http.StatusOK {
				refused.Add(1)
				t.Log(response.Status, response.Body, err)
			}
		})
	}
	time.Sleep(timeout / 4)
	for _, s := range site.DispatchServers {
		s.SetFaults(savoryservice.Faults{})
	}
	answers.Wait()
	is.Equal(refused.Load(), int64(0))
}

// pausedLink is a listener whose connections send nothing before a time.
type pausedLink struct {
	net.Listener
	until savoryworld.AtomicTime
}

func (l *pausedLink) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{Conn: conn, link: l}, nil
}

type pausedConn struct {
	net.Conn
	link *pausedLink
}

func (c *pausedConn) Write(p []byte) (int, error) {
	time.Sleep(time.Until(c.link.until.Load()))
	return c.Conn.Write(p)
}

// beginAnswers starts n streamed completions and waits until all have begun. The
// returned function waits for them and requires that each is complete.
func beginAnswers(t *testing.T, site *savorysite.Site, n int) (finish func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	t.Cleanup(cancel)
	var answers sync.WaitGroup
	var begun atomic.Int64
	failed := make(chan error, n)
	for i := range n {
		var once sync.Once
		caller := &savorysite.Caller{
			Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards"),
			OnText: func(string) { once.Do(func() { begun.Add(1) }) },
		}
		answers.Go(func() {
			failed <- generateAndCheck(ctx, caller, savorysite.ModelVersion, fmt.Sprint("prompt ", i), silentTokens)
		})
	}
	err := savorysite.Eventually(scriptTimeout, "all answers have begun", func() bool { return begun.Load() == int64(n) })
	if err != nil {
		t.Fatal(err)
	}
	return func() {
		t.Helper()
		answers.Wait()
		cut := 0
		for range n {
			if err := <-failed; err != nil {
				cut++
				t.Log(err)
			}
		}
		if cut > 0 {
			t.Errorf("%d of %d begun answers were cut off", cut, n)
		}
	}
}

func setEngineFaults(site *savorysite.Site, faults savorymodel.Faults) {
	for _, e := range site.Engines {
		e.SetFaults(faults)
	}
}
