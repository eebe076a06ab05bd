package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorystand/savoryservice"
	"savorycart.example/savorystand/savorysite"
)

// Guards against requests that reach a plain service beyond the limit that it stated, in a
// pause that it asked for, or after it said that it leaves.
func TestServiceNoticesAreKept(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults savoryservice.Faults
		// most is the largest number of requests that may follow the first response.
		most int
	}{
		// Two a second for two seconds, and what an entry may send at once.
		{"limit", savoryservice.Faults{Header: http.Header{"Savorycart-Limit": {"2"}}}, 2*2 + 5},
		{"pause", savoryservice.Faults{Refuse: true, Header: http.Header{"Retry-After": {"30"}}}, 0},
		{"leaving", savoryservice.Faults{Header: http.Header{"Savorycart-Leaving": {"1"}}}, 2},
		{"not valid", savoryservice.Faults{Header: http.Header{"Savorycart-Limit": {"none"}}}, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			site := &savorysite.Site{Entries: 1, EnginesPerStage: 1, ServiceServers: 2, Log: savorylog.Discard()}
			defer site.Stop()
			is.NoErr(site.Start())
			server := site.DispatchServers[0]
			server.SetFaults(c.faults)
			caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards")}
			get := func() int {
				response, err := caller.Send(context.Background(), http.MethodGet, "/rosters/tonight", "", "")
				is.NoErr(err)
				return response.Status
			}
			for server.Received() == 0 {
				get()
			}
			first := server.Received()
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				is.Equal(get(), http.StatusOK) // the other server serves all
			}
			got := server.Received() - first
			is.True(got <= c.most)
			if c.most > 100 {
				is.True(got > 10)
			}
		})
	}
}
