package savoryconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection that the kernel closes because a working server does not
// read a large body for some time.
func TestServerPausesInLargeBody(t *testing.T) {
	is := is.New(t)
	const largeBody = 1 << 20 // more than the receive buffer of the server holds
	to := serve(t, func(c net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		is.NoErr(err)
		time.Sleep(2 * unackedTimeout)
		n, err := io.Copy(io.Discard, req.Body)
		is.NoErr(err)
		is.Equal(n, int64(largeBody))
		_, _ = io.WriteString(c, okResponse("1", "one"))
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := (&Client{DialTimeout: time.Second}).Do(ctx, to, &Request{
		Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{make([]byte, largeBody)}, ID: "1",
	})
	is.NoErr(err)
	body, err := io.ReadAll(a)
	is.NoErr(err)
	is.Equal(string(body), "one")
	is.NoErr(a.Close())
}
