package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savorynode"
	"savorycart.example/savorystand/savorysite"
)

const (
	// slowLinkBytesPerSecond is the rate of a slow link.
	slowLinkBytesPerSecond = 150_000
	// largeChangeRoutes makes a change that a slow link does not carry within
	// the time of one call between entries.
	largeChangeRoutes = 4250
)

// Guards against a large change that never arrives over a slow link because each
// transfer is thrown away after a fixed time and begun again.
func TestLargeChangeCrossesSlowLink(t *testing.T) {
	is := is.New(t)
	link := &slowLink{bytesPerSecond: slowLinkBytesPerSecond}
	entries := 0
	site := &savorysite.Site{
		Entries: 2, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard(),
		// The second entry receives the configuration from the first one only.
		EditSettings: func(s *savorynode.Settings) {
			s.Platform.ConfigHome = entries == 0
			entries++
		},
		WrapPeers: link.listen,
	}
	defer site.Stop()
	is.NoErr(site.Start())
	submitRoutes(t, site, largeChangeRoutes)
	err := site.WaitRevision(2)
	t.Logf("%d bytes over the slow link", link.total())
	is.NoErr(err)
	is.True(link.total() < maxLinkBytes) // the link is not filled with repetitions
}

// maxLinkBytes is twice the size of the large change.
const maxLinkBytes = 800_000

// submitRoutes submits a change that adds n routes.
func submitRoutes(t *testing.T, site *savorysite.Site, n int) {
	t.Helper()
	doc := *site.Document
	for i := range n {
		doc.Routes = append(doc.Routes, savoryworld.Route{
			Name: fmt.Sprint("route-", i), Path: fmt.Sprint("/route-", i), Service: "dispatch", Methods: []string{"GET"}, Idempotent: true,
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), scriptTimeout)
	defer cancel()
	if _, err := site.Nodes[0].Submit(ctx, savoryconfig.Routes, "desk", 1, &doc); err != nil {
		t.Fatal(err)
	}
}

// slowLink limits the bytes that the connections of its listeners send.
type slowLink struct {
	bytesPerSecond int

	mu   sync.Mutex
	sent int
}

func (l *slowLink) listen(inner net.Listener) net.Listener { return &slowListener{inner, l} }

// send waits while the link carries n bytes.
func (l *slowLink) send(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent += n
	time.Sleep(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
}

func (l *slowLink) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

type slowListener struct {
	net.Listener
	link *slowLink
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{conn, l.link}, nil
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c *slowConn) Write(p []byte) (int, error) {
	c.link.send(len(p))
	return c.Conn.Write(p)
}
