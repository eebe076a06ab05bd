package main

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryadmin"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorystand/savorysite"
)

// Guards against previews of a running entry that use up a contract, reach a server, or name
// another destination or response than a request gets.
func TestWhereOfRunningEntry(t *testing.T) {
	is := is.New(t)
	site := &savorysite.Site{Entries: 1, EnginesPerStage: 3, ServiceServers: 2, Log: savorylog.Discard()}
	defer site.Stop()
	is.NoErr(site.Start())
	entry := site.Nodes[0]
	client := entry.Operator("")
	where := func(q savoryadmin.WhereRequest) *savoryadmin.Where {
		w, err := client.Where(t.Context(), q)
		is.NoErr(err)
		return w
	}
	key := savoryadmin.KeyDigest(savorysite.CustomerKey("musina-guards"))
	completion := savoryadmin.WhereRequest{
		Path: "/v1/completions", Method: http.MethodPost, KeySHA256: key, Model: savorysite.ModelName, PromptTokens: 9, AnswerTokens: 20,
	}
	roster := savoryadmin.WhereRequest{Path: "/rosters/tonight", Method: http.MethodGet, KeySHA256: key}
	const previews = 500 // the contract allows 200 requests per second
	for range previews {
		w := where(completion)
		is.True(w.Error == nil)
		is.NoErr(w.Choice.Chain.Check(savorysite.Layers))
		is.True(w.Choice.FirstToken > 0)
		is.True(where(roster).Choice.Server != "")
	}
	is.Equal(where(completion).Customer, "musina-guards")
	for _, s := range site.DispatchServers {
		is.Equal(s.Received(), 0)
	}
	caller := &savorysite.Caller{Entry: entry.Callers, Key: savorysite.CustomerKey("musina-guards")}
	is.NoErr(generateAndCheck(t.Context(), caller, savorysite.ModelVersion, "after the previews", 4))

	for _, c := range []struct {
		change func(*savoryadmin.WhereRequest)
		status int
		code   string
	}{
		{func(q *savoryadmin.WhereRequest) { q.Model = "none" }, http.StatusNotFound, "NotFound"},
		{func(q *savoryadmin.WhereRequest) { q.KeySHA256 = "" }, http.StatusUnauthorized, "UnknownKey"},
		{func(q *savoryadmin.WhereRequest) { q.AnswerTokens = 1 << 20 }, http.StatusBadRequest, "InvalidField"},
		{func(q *savoryadmin.WhereRequest) { q.Path = "/none" }, http.StatusNotFound, "NotFound"},
		{func(q *savoryadmin.WhereRequest) { q.Path = "/rosters/tonight" }, http.StatusMethodNotAllowed, "MethodNotAllowed"},
	} {
		q := completion
		c.change(&q)
		w := where(q)
		is.Equal(w.Error.Status, c.status)
		is.Equal(w.Error.Code, c.code)
		is.True(w.Choice == nil)
	}
	tried := completion
	tried.Tried = []string{where(completion).Choice.Chain[0].Server}
	is.True(!where(tried).Choice.Chain.Uses(tried.Tried[0]))
	_, err := client.Where(t.Context(), savoryadmin.WhereRequest{Path: "none"})
	is.True(err != nil)
}
