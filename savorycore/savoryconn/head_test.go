package savoryconn

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a copy of the body when the head is encoded. It delays a large request
// while its deadline runs.
func TestEncodeHeadDoesNotCopyBody(t *testing.T) {
	is := is.New(t)
	body := make([]byte, 32<<20)
	r := &Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: [][]byte{body}}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	head, err := encodeHead(r.httpRequest())
	runtime.ReadMemStats(&after)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(head), "Content-Length: 33554432\r\n\r\n"))
	is.True(after.TotalAlloc-before.TotalAlloc < uint64(len(body)))
}
