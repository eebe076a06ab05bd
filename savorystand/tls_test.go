package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorykeys"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savoryentry/savorynode"
	"savorycart.example/savorystand/savorysite"
)

// Guards against entries that accept peers without a client certificate, and against
// TLS settings with which entries cannot exchange changes or serve callers over
// HTTP/2.
func TestSiteWithTLS(t *testing.T) {
	is := is.New(t)
	authority, err := savorykeys.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	files, err := authority.Issue(t.TempDir(), []netip.Addr{netip.MustParseAddr("127.0.0.1")})
	is.NoErr(err)
	site := &savorysite.Site{
		Entries: 3, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard(),
		EditSettings: func(s *savorynode.Settings) {
			s.Peers.TLS = files
			s.Callers.TLS = files
		},
	}
	defer site.Stop()
	is.NoErr(site.Start())
	ctx := context.Background()
	doc := *site.Document
	revision, err := site.Nodes[0].Submit(ctx, savoryconfig.Customers, "desk", 1, &doc)
	is.NoErr(err)
	is.NoErr(site.WaitRevision(revision))
	is.NoErr(savorysite.Eventually(scriptTimeout, "the entries exchange heartbeats", func() bool {
		status, err := site.Nodes[0].Operator("").Status(ctx)
		return err == nil && status.Traffic.ReceivedBytes > 0
	}))

	uncertified := &savorypeer.Client{Timeout: time.Second}
	defer uncertified.Close()
	_, err = uncertified.Fetch(ctx, site.Nodes[0].Peers, &savorypeer.Fetch{Config: true})
	is.True(err != nil)

	text, err := os.ReadFile(files.Authorities)
	is.NoErr(err)
	pool := x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(text))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}}
	for _, entry := range site.Nodes {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+entry.Callers.String()+"/v1/models", nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+savorysite.CustomerKey("musina-guards"))
		resp, err := client.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(resp.ProtoMajor, 2)
	}
}
