//go:build crowd

package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorycrowd"
	"savorycart.example/savorycore/savorykeys"
	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorystand/savorysite"
)

const (
	// crowdMemoryMB is the memory of the smallest VM, which the defaults must support.
	crowdMemoryMB    = 184
	crowdConnections = 300
	// crowdDescriptors leaves two descriptors for each connection of a caller, as for the
	// connection to a server, and 200 for the entry itself.
	crowdDescriptors = 2*crowdConnections + 200
	crowdTime        = 2 * time.Second
)

// crowdFactor multiplies the clients, for runs by hand.
var crowdFactor = flag.Int("crowd", 1, "factor of the number of clients")

const crowdSettings = `Zone = "limpopo-a"
Region = "limpopo"
PlainText = true
[Callers]
Address = "%s"
MaxConnections = %d
%s
[Peers]
Address = "%s"
[Admin]
Address = "%s"
[Platform]
Store = "%s"
VMList = "%s"
`

// Guards against callers that end the process or use up its memory or descriptors: heads and
// bodies over their limit or without end, bodies, connections and handshakes that are left
// open, and responses that are not read.
func TestCrowd(t *testing.T) {
	is := is.New(t)
	site := &savorysite.Site{Entries: 1, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard()}
	t.Cleanup(site.Stop)
	is.NoErr(site.Start())
	program := filepath.Join(t.TempDir(), "savoryentry")
	if out, err := exec.Command("go", "build", "-o", program, "savorycart.example/savoryentry").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	fields := " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + savorysite.CustomerKey("musina-guards") + "\r\n"
	body := fmt.Sprintf(`{"model":%q,"prompt":"north fence","max_tokens":500,"stream":true}`, savorysite.ModelName)
	request := savorycrowd.Request{
		Post: "POST /notes" + fields, Get: "GET /rosters/tonight" + fields + "\r\n",
		Stream: fmt.Sprintf("POST /v1/completions%sContent-Length: %d\r\n\r\n%s", fields, len(body), body),
	}
	c := crowdCase{site: site, program: program, get: request.Get, clients: 250}
	for _, p := range savorycrowd.Callers(request, 1<<20) {
		t.Run(p.Name, func(t *testing.T) { c.run(t, p) })
	}
	c.clients = 900
	c.tls = true
	half := savorycrowd.Pattern{Name: "half a handshake", First: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("x", 200)}
	t.Run(half.Name, func(t *testing.T) { c.run(t, half) })
	c.tls = false
	for i, port := range []string{"peers", "admin"} {
		c.listener = i + 1
		for _, p := range savorycrowd.Ports() {
			t.Run(port+" "+p.Name, func(t *testing.T) { c.run(t, p) })
		}
	}
}

// crowdCase is a crowd at a listener of an entry: 0 for callers, 1 for peers, 2 for operators.
type crowdCase struct {
	site     *savorysite.Site
	program  string
	get      string
	clients  int
	listener int
	tls      bool
}

// run starts an entry as a process, runs a crowd and checks that the process stays within
// its memory and descriptors and serves a request afterwards.
func (c crowdCase) run(t *testing.T, p savorycrowd.Pattern) {
	is := is.New(t)
	var addresses [3]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		addresses[i] = l.Addr().String()
		l.Close()
	}
	keys, scheme := "", "http://"
	if c.tls {
		authority, err := savorykeys.NewAuthority(time.Now(), time.Hour)
		is.NoErr(err)
		files, err := authority.Issue(t.TempDir(), []netip.Addr{netip.MustParseAddr("127.0.0.1")})
		is.NoErr(err)
		keys, scheme = fmt.Sprintf("TLS.Certificate = %q\nTLS.Key = %q", files.Certificate, files.Key), "https://"
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	store := c.site.Store().Address
	is.NoErr(os.WriteFile(file, fmt.Appendf(nil, crowdSettings, addresses[0], crowdConnections, keys, addresses[1], addresses[2], store, store), 0o600))
	cmd := exec.Command(c.program, "-settings", file)
	var out bytes.Buffer
	cmd.Stderr = &out
	is.NoErr(cmd.Start())
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			t.Logf("%s", out.Bytes()[max(0, out.Len()-4000):])
		}
	}()
	answered := func() bool { return crowdAnswer(scheme+addresses[0]) == nil }
	is.NoErr(savorysite.Eventually(scriptTimeout, "response before the crowd", answered))
	var used savorycrowd.Usage
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	go p.Run(ctx, addresses[c.listener], c.clients**crowdFactor, c.get)
	for ctx.Err() == nil {
		is.NoErr(used.Observe(cmd.Process.Pid))
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(savorysite.Eventually(scriptTimeout, "response after the crowd", answered))
	is.NoErr(used.Observe(cmd.Process.Pid))
	t.Logf("%d MB, %d descriptors", used.Memory>>20, used.Descriptors)
	is.True(used.Memory <= crowdMemoryMB<<20)     // memory of the smallest VM
	is.True(used.Descriptors <= crowdDescriptors) // derived from Callers.MaxConnections
}

// crowdAnswer sends an ordinary request on a new connection.
func crowdAnswer(address string) error {
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	req, err := http.NewRequest(http.MethodGet, address+"/rosters/tonight", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+savorysite.CustomerKey("musina-guards"))
	resp, err := (&http.Client{Transport: transport, Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
