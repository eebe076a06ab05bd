package savorygate

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// idleServer starts a server whose connections are tracked by a gate. onActive is called
// when a request was read, before the gate is told.
func idleServer(t *testing.T, onActive func(*Gate)) (*Gate, *httptest.Server) {
	g := &Gate{idle: make(map[net.Conn]idleConn)}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond):
			w.WriteHeader(http.StatusNoContent)
		}
	}))
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			onActive(g)
		}
		g.connState(c, state)
	}
	server.Start()
	t.Cleanup(server.Close)
	return g, server
}

// Guards against a connection that is closed as idle although a request has just been
// read from it.
func TestReadRequestIsNotIdle(t *testing.T) {
	is := is.New(t)
	_, server := idleServer(t, func(g *Gate) { g.closeIdle(time.Now().Add(time.Hour), time.Minute, time.Minute) })
	for range 3 {
		resp, err := server.Client().Post(server.URL, "", nil)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusNoContent)
	}
}

// Guards against connections that stay open after their idle time, before their first
// request or after one.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	g, server := idleServer(t, func(*Gate) {})
	for _, request := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = c.Write([]byte(request))
		is.NoErr(err)
		time.Sleep(200 * time.Millisecond)
		g.closeIdle(time.Now(), time.Minute, time.Minute)
		is.NoErr(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
		buf := make([]byte, 1<<10)
		n, _ := c.Read(buf)
		is.Equal(n > 0, request != "") // the connection is still open
		g.closeIdle(time.Now().Add(time.Hour), time.Minute, time.Minute)
		is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = c.Read(buf)
		is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	}
}
