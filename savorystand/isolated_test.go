package main

// This file tests entries without contact to the store and to other entries.

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorystand/savoryplatform"
	"savorycart.example/savorystand/savorysite"
)

// Guards against an entry that has lost contact with the store and all other entries, and states that
// a route, a key or a model does not exist: it may have been added since. Callers do not ask again
// after that; a refusal with a time to return brings them to another entry.
func TestIsolatedEntryDoesNotDeny(t *testing.T) {
	is := is.New(t)
	site := &savorysite.Site{Entries: 2, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard()}
	t.Cleanup(site.Stop)
	is.NoErr(site.Start())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	known := savorysite.CustomerKey("musina-guards")
	denied := []struct {
		method, path, body, key string
		status                  int
	}{
		{http.MethodPost, "/added", "x", known, http.StatusNotFound},
		{http.MethodPost, "/notes", "x", "added-key", http.StatusUnauthorized},
		{http.MethodPost, "/v1/completions", `{"model":"added","prompt":"x","max_tokens":1}`, known, http.StatusNotFound},
	}
	send := func(method, path, body, key string) savorysite.Response {
		caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: key}
		response, err := caller.Send(ctx, method, path, body, "")
		is.NoErr(err)
		return response
	}
	for _, d := range denied {
		is.Equal(send(d.method, d.path, d.body, d.key).Status, d.status)
	}
	site.Platform.SetFaults(savoryplatform.Faults{Unavailable: true})
	site.Nodes[1].Kill()
	is.NoErr(savorysite.Eventually(20*time.Second, "isolated", func() bool {
		status, err := site.Nodes[0].Operator("").Status(ctx)
		return err == nil && !status.Ready
	}))
	for _, d := range denied {
		response := send(d.method, d.path, d.body, d.key)
		is.Equal(response.Status, http.StatusServiceUnavailable)
		is.Equal(response.Verdict, "NotRun")
		is.True(response.RetryAfter != "")
	}
	is.Equal(send(http.MethodPost, "/notes", "x", known).Status, http.StatusCreated) // it serves what it has
}
