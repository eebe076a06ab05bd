package savorypeer

// This file defines Server and the gRPC service description.

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
)

const (
	serviceName    = "savorycart.Peers"
	methodExchange = "Exchange"
	methodOffer    = "Offer"
	methodFetch    = "Fetch"
	methodSync     = "Sync"
	// methodConfigPart returns a part of a configuration.
	methodConfigPart = "ConfigPart"
	// maxMessageBytes bounds one message.
	maxMessageBytes = 16 << 20
	// keepaliveInterval is the time without a message after which a connection
	// with a call in flight is probed; it is closed if the probe gets no
	// response.
	keepaliveInterval = 10 * time.Second
	// keepaliveTimeout is the time that a probe waits for its response.
	keepaliveTimeout = 3 * time.Second
	// handshakeTimeout bounds the time until a new connection is ready for calls; the
	// library's default is 2 minutes.
	handshakeTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a call; that of an entry has below 1 KB.
	maxHeaderBytes = 16 << 10
	// idleTimeout is the time without a call after which a connection is closed.
	idleTimeout = time.Minute
)

// Server answers the calls of other entries. Its exported fields are set
// before Serve.
type Server struct {
	// Credentials secures the listener; nil leaves it open.
	Credentials credentials.TransportCredentials
	Exchange    func(context.Context, *Heartbeat) (*Heartbeat, error)
	Offer       func(context.Context, *Offer) (*Ack, error)
	Fetch       func(context.Context, *Fetch) (*State, error)
	// Sync exchanges state with another entry. A call whose function is nil is
	// refused as unimplemented.
	Sync func(context.Context, *SyncState) (*SyncState, error)
	// ConfigPart returns a part of the configuration.
	ConfigPart func(context.Context, *ConfigRequest) (*ConfigPart, error)

	grpc *grpc.Server
}

// Prepare builds the server. It is called once, before Serve.
func (s *Server) Prepare() {
	options := []grpc.ServerOption{
		grpc.ForceServerCodec(codec{}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 2 * idleTimeout, Timeout: keepaliveTimeout, MaxConnectionIdle: 2 * idleTimeout}),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2}),
	}
	if s.Credentials != nil {
		options = append(options, grpc.Creds(s.Credentials))
	}
	s.grpc = grpc.NewServer(options...)
	s.grpc.RegisterService(s.serviceDesc(), s)
}

// Serve answers calls on l until Stop.
func (s *Server) Serve(l net.Listener) error {
	if err := s.grpc.Serve(l); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	return nil
}

// Stop ends the server and aborts the calls in flight; this is safe, since each
// call may be repeated.
func (s *Server) Stop() { s.grpc.Stop() }

func (s *Server) serviceDesc() *grpc.ServiceDesc {
	return &grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			methodDesc(methodExchange, s.Exchange),
			methodDesc(methodOffer, s.Offer),
			methodDesc(methodFetch, s.Fetch),
			methodDesc(methodSync, s.Sync),
			methodDesc(methodConfigPart, s.ConfigPart),
		},
	}
}

// methodDesc describes one unary call.
func methodDesc[Req, Resp any](name string, handle func(context.Context, *Req) (*Resp, error)) grpc.MethodDesc {
	handler := func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		req := new(Req)
		if handle == nil {
			return nil, status.Errorf(codes.Unimplemented, "%s is not implemented by this entry", name)
		}
		if err := decode(req); err != nil {
			return nil, err
		}
		return handle(ctx, req)
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}
