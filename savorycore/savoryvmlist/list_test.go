package savoryvmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against one odd element of the list, left by another writer, because of which an
// entry follows the list no more. The elements stand in testdata/odd.txt.
func TestOddElementsAreLeftOut(t *testing.T) {
	text, err := os.ReadFile("testdata/odd.txt")
	if err != nil {
		t.Fatal(err)
	}
	sound := `{"targets":["10.0.0.%:7001"],"labels":{"zone":"a","region":"r","state":"live","role":"entry"}}`
	for _, odd := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		t.Run(odd, func(t *testing.T) {
			is := is.New(t)
			odd = strings.ReplaceAll(odd, "DEEP", strings.Repeat("[", 200_000)+strings.Repeat("]", 200_000))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("[" + strings.Replace(sound, "%", "1", 1) + "," + odd + "," + strings.Replace(sound, "%", "2", 1) + "]"))
			}))
			defer server.Close()
			var invalid error
			c := &Client{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: time.Second, OnInvalid: func(err error) { invalid = err }}
			vms, err := c.Read(context.Background())
			is.NoErr(err)
			is.Equal(len(vms), 2)
			is.True(invalid != nil)
		})
	}
}

// Guards against a text that is no list and is taken for an empty one, which would remove all
// VMs.
func TestTextThatIsNoList(t *testing.T) {
	for _, text := range []string{"", "null", "{}", "[", "[{]", `["]`, "]["} {
		is := is.New(t)
		groups, err := decodeGroups([]byte(text))
		is.True(groups == nil)
		is.True(err != nil)
	}
	is := is.New(t)
	groups, err := decodeGroups([]byte(" [] "))
	is.NoErr(err)
	is.Equal(len(groups), 0)
	is.True(groups != nil)
}
