package savorygate

// This file decides whether a response is the answer of its server, before anything that it states
// is believed.

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryanswer"
	"savorycart.example/savorycore/savoryconn"
	"savorycart.example/savorycore/savoryverdict"
)

// droppedResponse is a response that was no answer of its server.
type droppedResponse struct {
	server string
	*savoryanswer.Error
}

// exchange sends a request to a server at sentAt and returns its response, whose head is an answer of
// the server, and what the head states. A response that is none is dropped: its error is that of a
// request that may have run, and its connection is closed, since what follows may be spoiled as well.
func (c *call) exchange(ctx context.Context, server string, address netip.AddrPort, sentAt time.Time, req *savoryconn.Request) (*savoryconn.Response, ResponseInfo, error) {
	response, err := c.g.serverClient.Do(ctx, address, req)
	if err != nil {
		return nil, ResponseInfo{}, err
	}
	info := c.g.Dialect.ReadResponse(response.StatusCode, response.Header)
	if err := info.Check(); err != nil {
		_ = response.Close()
		if failure := (*savoryanswer.Error)(nil); errors.As(err, &failure) {
			c.dropped = &droppedResponse{server: server, Error: failure}
			c.g.metrics.droppedResponses.WithLabelValues(string(failure.Reason)).Inc()
		}
		return nil, ResponseInfo{}, &savoryconn.Error{Address: address, Stage: "read", Verdict: savoryverdict.MayHaveRun, Reused: response.Reused, Err: err}
	}
	c.g.observeResponse(server, sentAt, info)
	return response, info, nil
}

// logDropped logs the response that the last send has dropped, if it has, and whether the request is
// sent again.
func (c *call) logDropped(again bool) {
	d := c.dropped
	if d == nil {
		return
	}
	c.dropped = nil
	next := "failed"
	if again {
		next = "sent again"
	}
	c.log.WithFields(log.Fields{"server": d.server, "status": d.Status, "reason": string(d.Reason), "next": next}).Warn("response dropped")
}
