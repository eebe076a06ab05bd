package savorystore

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

const storeTimeout = 300 * time.Millisecond

// startSlowStore starts a service whose response to a read of one key arrives in
// parts with a pause after each.
func startSlowStore(t *testing.T, parts int, pause time.Duration) *Store {
	t.Helper()
	kv := KeyValue{Key: []byte("key"), Value: make([]byte, 1<<20), ModRevision: 1}
	body, err := json.Marshal(TxnResponse{Responses: []ResponseOp{{Range: &RangeResponse{Kvs: []KeyValue{kv}}}}})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range parts {
			_, _ = w.Write(body[i*len(body)/parts : (i+1)*len(body)/parts])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}))
	t.Cleanup(server.Close)
	return &Store{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: storeTimeout}
}

// Guards against reads that a slow link carries, but not within the timeout: each
// would be thrown away and begun again.
func TestReadOverSlowLink(t *testing.T) {
	is := is.New(t)
	store := startSlowStore(t, 8, storeTimeout/4)
	values, err := store.GetMany(t.Context(), []string{"key"})
	is.NoErr(err)
	is.Equal(len(values), 1)
}

// Guards against reads that never end because of a service that stops or drips.
func TestReadWithoutProgressEnds(t *testing.T) {
	for name, store := range map[string]*Store{
		"stop": startSlowStore(t, 2, 3*storeTimeout),
		"drip": startSlowStore(t, 8*maxReadTimeouts, storeTimeout/4),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := store.GetMany(t.Context(), []string{"key"})
			is.New(t).True(err != nil)
		})
	}
}
