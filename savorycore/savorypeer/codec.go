package savorypeer

// This file defines the gRPC codec, which encodes messages as MessagePack.

import (
	"fmt"

	"google.golang.org/grpc/encoding"

	"savorycart.example/savorycore/savorywire"
)

// codecName is the content subtype on the wire.
const codecName = "msgpack"

// message is a message that is checked when it is decoded.
type message interface{ Check() error }

var (
	_ message = (*Heartbeat)(nil)
	_ message = (*Offer)(nil)
	_ message = (*Ack)(nil)
	_ message = (*Fetch)(nil)
	_ message = (*State)(nil)
	_ message = (*ConfigRequest)(nil)
	_ message = (*ConfigPart)(nil)
)

// codec encodes messages as MessagePack.
type codec struct{}

var _ encoding.Codec = codec{}

// Name returns the content subtype.
func (codec) Name() string { return codecName }

// Marshal encodes a message.
func (codec) Marshal(v any) ([]byte, error) {
	body, err := savorywire.Encode(v)
	if err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	return body, nil
}

// Unmarshal decodes a message and checks it.
func (codec) Unmarshal(data []byte, v any) error {
	if err := savorywire.Decode(data, v); err != nil {
		return fmt.Errorf("peer message: %w", err)
	}
	m, ok := v.(message)
	if !ok {
		return fmt.Errorf("peer message: type %T does not implement message", v)
	}
	if err := m.Check(); err != nil {
		return fmt.Errorf("peer message: %w", err)
	}
	return nil
}
