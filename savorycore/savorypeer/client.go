package savorypeer

// This file defines Client, which calls the peer service of other entries.

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
)

// maxFailedCalls is the number of consecutive failed calls after which a
// connection is replaced: its path may be broken while new connections work.
const maxFailedCalls = 2

// Client calls other entries. Its exported fields are set before its first
// use.
type Client struct {
	// Credentials secures the connections; nil leaves them open.
	Credentials credentials.TransportCredentials
	// Timeout bounds each call.
	Timeout time.Duration
	// Dial opens a connection; nil uses the dialer of gRPC.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mu    sync.Mutex
	conns map[netip.AddrPort]*peerConn

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	messages      atomic.Int64
}

type peerConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
	// failedCalls counts consecutive failed calls.
	failedCalls atomic.Int32
}

// Traffic counts the bytes of messages that a client sent and received, framing
// included, and the messages that it sent.
type Traffic struct {
	SentBytes     int64
	ReceivedBytes int64
	Messages      int64
}

// Exchange sends a heartbeat and returns the heartbeat of the peer.
func (c *Client) Exchange(ctx context.Context, to netip.AddrPort, hello *Heartbeat) (*Heartbeat, error) {
	response := new(Heartbeat)
	return response, c.call(ctx, to, methodExchange, hello, response)
}

// Offer announces new state to a peer.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, offer *Offer) (*Ack, error) {
	response := new(Ack)
	return response, c.call(ctx, to, methodOffer, offer, response)
}

// Fetch requests state from a peer.
func (c *Client) Fetch(ctx context.Context, to netip.AddrPort, fetch *Fetch) (*State, error) {
	response := new(State)
	return response, c.call(ctx, to, methodFetch, fetch, response)
}

// Traffic returns the totals since the client was made.
func (c *Client) Traffic() Traffic {
	return Traffic{
		SentBytes:     c.sentBytes.Load(),
		ReceivedBytes: c.receivedBytes.Load(),
		Messages:      c.messages.Load(),
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.conns {
		_ = p.conn.Close()
		delete(c.conns, address)
	}
}

// Disconnect closes the connection to a peer that is no longer used.
func (c *Client) Disconnect(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.conns[address]; p != nil {
		_ = p.conn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, method string, req, response any) error {
	p, err := c.connect(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	err = p.conn.Invoke(ctx, "/"+serviceName+"/"+method, req, response)
	if err == nil {
		p.failedCalls.Store(0)
		return nil
	}
	if p.failedCalls.Add(1) >= maxFailedCalls {
		c.Disconnect(to)
	}
	return fmt.Errorf("peer %s: %s: %w", to, method, err)
}

func (c *Client) connect(to netip.AddrPort) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.conns[to]; p != nil {
		p.lastUsed = time.Now()
		return p, nil
	}
	c.closeIdle()
	creds := c.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithStatsHandler((*trafficCounter)(c)),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
	}
	if c.Dial != nil {
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return c.Dial(ctx, to) }))
	}
	conn, err := grpc.NewClient("passthrough:///"+to.String(), options...)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", to, err)
	}
	if c.conns == nil {
		c.conns = make(map[netip.AddrPort]*peerConn)
	}
	p := &peerConn{conn: conn, lastUsed: time.Now()}
	c.conns[to] = p
	return p, nil
}

// closeIdle closes connections that have been idle for twice idleTimeout: in a
// large fleet most pairs of entries exchange messages rarely.
func (c *Client) closeIdle() {
	for address, p := range c.conns {
		if time.Since(p.lastUsed) > 2*idleTimeout {
			_ = p.conn.Close()
			delete(c.conns, address)
		}
	}
}

// trafficCounter counts a client's messages and their bytes.
type trafficCounter Client

var _ stats.Handler = (*trafficCounter)(nil)

// TagRPC implements stats.Handler.
func (*trafficCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (*trafficCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler; connections are not counted.
func (*trafficCounter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC adds the length of each payload to the totals.
func (t *trafficCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.OutPayload:
		t.sentBytes.Add(int64(s.WireLength))
		t.messages.Add(1)
	case *stats.InPayload:
		t.receivedBytes.Add(int64(s.WireLength))
	}
}
