package main

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savorynode"
	"savorycart.example/savorystand/savoryservice"
	"savorycart.example/savorystand/savorysite"
)

// Guards against requests that come late in a drain of an entry and are cut after they were
// passed on: each is answered, or refused as not run, or its connection is closed before the request is
// read.
func TestLateRequestsInDrain(t *testing.T) {
	is := is.New(t)
	const work, notice, interval = 300 * time.Millisecond, 400 * time.Millisecond, 10 * time.Millisecond
	site := &savorysite.Site{
		Entries: 1, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard(),
		EditSettings: func(s *savorynode.Settings) {
			s.Stop.NoticeTime = savoryworld.Duration(notice)
			s.Stop.Limit = savoryworld.Duration(2 * work)
		},
	}
	t.Cleanup(site.Stop)
	is.NoErr(site.Start())
	site.DispatchServers[0].SetFaults(savoryservice.Faults{Delay: work})
	entry := site.Nodes[0]
	caller := &savorysite.Caller{Entry: entry.Callers, Key: savorysite.CustomerKey("musina-guards"), Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var running sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	send := func() {
		response, err := caller.Send(context.Background(), http.MethodPost, "/notes", "x", "")
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			outcomes["closed"]++
			return
		}
		outcomes[response.Verdict]++
	}
	for range 8 {
		running.Go(send) // opens connections that are kept
	}
	running.Wait()
	drained := make(chan error, 1)
	go func() { drained <- entry.Drain() }()
	for end := time.Now().Add(notice + 2*work); time.Now().Before(end); time.Sleep(interval) {
		running.Go(send)
	}
	running.Wait()
	is.NoErr(<-drained)
	t.Log(outcomes)
	is.Equal(outcomes["Ran"], site.DispatchServers[0].Total()) // nothing that ran was cut
	is.True(outcomes["Ran"] > 8 && outcomes["NotRun"] > 0)
	is.Equal(outcomes["MayHaveRun"], 0)
}
