package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"savorycart.example/savorycore/savorylog"
	"savorycart.example/savorycore/savoryraw"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savoryentry/savorynode"
	"savorycart.example/savorystand/savoryservice"
	"savorycart.example/savorystand/savorysite"
)

// hostileSite starts a small site whose entry has low limits and short timeouts.
func hostileSite(t *testing.T) *savorysite.Site {
	t.Helper()
	site := &savorysite.Site{
		Entries: 1, EnginesPerStage: 1, ServiceServers: 1, Log: savorylog.Discard(),
		EditSettings: func(s *savorynode.Settings) {
			s.Callers.MaxBodyBytes = 4096
			s.Callers.MaxHeaderBytes = 4096
			s.Callers.HeaderTimeout = savoryworld.Duration(200 * time.Millisecond)
			s.Callers.BodyTimeout = savoryworld.Duration(200 * time.Millisecond)
			s.Callers.WriteTimeout = savoryworld.Duration(300 * time.Millisecond)
			s.Callers.MaxConnections = 8
		},
	}
	t.Cleanup(site.Stop)
	if err := site.Start(); err != nil {
		t.Fatal(err)
	}
	return site
}

// Guards against malformed, oversized or unauthorized requests that reach a
// backend server or are refused with the wrong status. Each file of
// testdata/hostile/requests.txt is a raw request; its first line gives the expected
// status and a text that the response must contain. BIG stands for 8,000 bytes.
func TestHostileRequests(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/hostile/requests.txt")
	is.NoErr(err)
	site := hostileSite(t)
	for _, f := range txtar.Parse(text).Files {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			want, raw, _ := strings.Cut(string(f.Data), "\n")
			status, wantText, _ := strings.Cut(strings.TrimPrefix(want, "# "), " ")
			raw = strings.ReplaceAll(strings.ReplaceAll(raw, "\n", "\r\n"), "BIG", strings.Repeat("x", 8000))
			conn, err := net.Dial("tcp", site.Nodes[0].Callers.String())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write([]byte(raw))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(strconv.Itoa(resp.StatusCode), status)
			if !bytes.Contains(body, []byte(wantText)) {
				t.Fatalf("response body %q does not contain %q", body, wantText)
			}
			if bytes.Contains(body, []byte(`"code"`)) {
				is.Equal(resp.Header.Get("Savorycart-Verdict"), "NotRun")
			}
		})
	}
	is.Equal(site.DispatchServers[0].Total(), 0)
}

// Guards against callers that hold a connection open indefinitely by stopping in the
// middle of a header or a body: the entry must close the connection after its
// timeout, without calling a backend server.
func TestSlowCallers(t *testing.T) {
	site := hostileSite(t)
	for name, raw := range map[string]string{
		"header": "GET /rosters HTTP/1.1\r\nHost: x\r\nX-Slow: ",
		"body": "POST /notes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + savorysite.CustomerKey("musina-guards") +
			"\r\nContent-Length: 10\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", site.Nodes[0].Callers.String())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write([]byte(raw))
			is.NoErr(err)
			_, err = io.Copy(io.Discard, conn) // ends when the entry closes the connection
			is.NoErr(err)
		})
	}
	is.New(t).Equal(site.DispatchServers[0].Total(), 0)
}

// Guards against an endless response of a backend server that is buffered without
// limit or stays in flight when its caller stops reading: the write timeout must
// end the request.
func TestEndlessAnswer(t *testing.T) {
	is := is.New(t)
	site := hostileSite(t)
	site.DispatchServers[0].SetFaults(savoryservice.Faults{EndlessResponse: true})
	conn, err := net.Dial("tcp", site.Nodes[0].Callers.String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET /rosters HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + savorysite.CustomerKey("musina-guards") + "\r\n\r\n"))
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, conn, 1<<20)
	is.NoErr(err)
	// The caller stops reading but keeps the connection open.
	is.NoErr(savorysite.Eventually(scriptTimeout, "no request is in flight", func() bool {
		status, err := site.Nodes[0].Operator("").Status(context.Background())
		return err == nil && status.InFlight == 0
	}))
}

// Guards against a response that the backend server truncates and that the entry
// passes on as complete.
func TestBrokenAnswerDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	site := hostileSite(t)
	site.DispatchServers[0].SetFaults(savoryservice.Faults{TruncatedResponse: true})
	caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards")}
	response, err := caller.Send(context.Background(), http.MethodPost, "/notes", "x", "")
	is.True(err != nil || response.Status != http.StatusOK)
}

// Guards against idle connections that use up the limit on connections indefinitely.
// Connections above the limit wait; the accepted ones are served.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	site := hostileSite(t)
	var idle []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", site.Nodes[0].Callers.String())
		is.NoErr(err)
		idle = append(idle, conn)
	}
	defer func() {
		for _, conn := range idle {
			conn.Close()
		}
	}()
	// The entry closes idle connections after the header timeout, so a later caller
	// is served.
	caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards")}
	response, err := caller.Send(context.Background(), http.MethodGet, "/rosters/tonight", "", "")
	is.NoErr(err)
	is.Equal(response.Status, http.StatusOK)
}

// Guards against a response of a backend server that breaks off, or that has no end, and reaches
// the caller as a whole one, and against a request that runs again after it.
func TestResponsesWithoutEnd(t *testing.T) {
	for _, r := range savoryraw.Responses() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			site := hostileSite(t)
			site.DispatchServers[0].SetFaults(savoryservice.Faults{Raw: &r})
			caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards")}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			for path, key := range map[string]string{"/notes": "", "/callouts": "key-" + strings.Fields(r.Name)[0]} {
				response, err := caller.Send(ctx, http.MethodPost, path, "x", key)
				if err == nil && (response.Verdict == "Ran" || response.Verdict == "NotRun") {
					t.Errorf("%s: status %d and %d bytes look whole, verdict %s", path, response.Status, len(response.Body), response.Verdict)
				}
			}
			is.New(t).True(site.DispatchServers[0].Total() <= 2) // each of the requests runs once
		})
	}
}

// Guards against a head of a backend server that is no response: it must not reach the caller, nor
// end its connection, and a request with a key runs once.
func TestInvalidHeads(t *testing.T) {
	for _, r := range savoryraw.InvalidHeads() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			site := hostileSite(t)
			site.DispatchServers[0].SetFaults(savoryservice.Faults{Raw: &r})
			caller := &savorysite.Caller{Entry: site.Nodes[0].Callers, Key: savorysite.CustomerKey("musina-guards")}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			for path, key := range map[string]string{"/notes": "", "/callouts": "key-" + strings.Fields(r.Name)[0]} {
				response, err := caller.Send(ctx, http.MethodPost, path, "x", key)
				if err != nil {
					t.Errorf("%s: %v", path, err)
				} else if response.Status != http.StatusBadGateway || response.Verdict != "MayHaveRun" {
					t.Errorf("%s: status %d, verdict %s", path, response.Status, response.Verdict)
				}
			}
			is.New(t).True(site.DispatchServers[0].Total() <= 2) // each of the requests runs once
		})
	}
}
