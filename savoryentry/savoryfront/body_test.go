package savoryfront

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryintake"
)

// start serves bodies of at most a limit, which it returns to the caller, within bounds.
func start(t *testing.T, bounds savoryintake.Bounds, limit int64) (*Front, *httptest.Server) {
	f := new(Front)
	f.Configure(bounds)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Serving(r)
		control := http.NewResponseController(w)
		body, err := f.ReadBody(r, control, BodyLimits{Bytes: limit, Deadline: time.Now().Add(10 * time.Second)})
		defer body.Release()
		if err != nil {
			Abandon(w.Header(), control)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.Copy(w, body.Reader())
	}))
	s.Listener = f.Callers(s.Listener)
	s.Config.ReadHeaderTimeout = time.Hour
	s.Config.ConnState, s.Config.ConnContext = ConnState, ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return f, s
}

// Guards against bodies that are changed, cut or refused although the caller is alone and inside
// the limits, against bodies over the limit, and against bytes that are never released.
func TestReadBody(t *testing.T) {
	const limit = 1 << 20
	f, s := start(t, savoryintake.Limits{MemoryBytes: 1, Descriptors: 1000, MaxBodyBytes: limit}.Bounds(), limit)
	f.Configure(savoryintake.Bounds{BudgetBytes: f.Bounds().BudgetBytes, Connections: 10})
	for _, size := range []int{0, 1, firstBlockBytes - 1, firstBlockBytes, firstBlockBytes + 1, 300_000, limit, limit + 1} {
		for _, announced := range []bool{true, false} {
			t.Run(fmt.Sprint(size, announced), func(t *testing.T) {
				is := is.New(t)
				sent := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
				var body io.Reader = bytes.NewReader(sent)
				if !announced {
					body = io.MultiReader(body)
				}
				resp, err := http.Post(s.URL, "", body)
				if size > limit {
					is.True(err != nil || resp.StatusCode == http.StatusServiceUnavailable)
					return
				}
				is.NoErr(err)
				received, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.True(bytes.Equal(received, sent))
			})
		}
	}
	s.Close()
	is.New(t).Equal(f.Used(), int64(0))
}

// Guards against bodies that stop and keep others from being served, and against one that gave
// way without hearing that it was not run.
func TestStoppedBodiesGiveWay(t *testing.T) {
	is := is.New(t)
	const size = 200_000
	f, s := start(t, savoryintake.Bounds{BudgetBytes: 500_000, Connections: 20}, size)
	var conns []net.Conn
	for range 6 {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-10))
		is.NoErr(err)
		conns = append(conns, conn)
	}
	for end := time.Now().Add(10 * time.Second); f.Used() < 300_000 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(1100 * time.Millisecond) // longer than a holder may be without progress
	resp, err := http.Post(s.URL, "", strings.NewReader(strings.Repeat("y", size)))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	gaveWay := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		text, err := io.ReadAll(conn)
		if bytes.Contains(text, []byte("503")) {
			gaveWay++
		} else {
			is.True(err != nil) // still held
		}
	}
	is.True(gaveWay > 0)
}

// Guards against connections that gave way but stay open, because the server sets their deadline
// at the same time: they would keep later callers out.
func TestQuietConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	f, s := start(t, savoryintake.Bounds{BudgetBytes: 1 << 20, Connections: 16}, 1<<10)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				if conn, err := net.Dial("tcp", s.Listener.Addr().String()); err == nil {
					t.Cleanup(func() { _ = conn.Close() })
				}
			}
		})
	}
	wg.Wait()
	resp, err := http.Post(s.URL, "", strings.NewReader("x"))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(f.TakeCounts()[Connections], 0) // each of them found room
}
