package savorypeer

// This file defines the call by which an entry fetches a configuration from a peer in
// parts, and the packed form that travels.

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savorywire"
)

// ErrDigest is returned for a packed configuration whose bytes have another digest.
var ErrDigest = errors.New("the digest differs")

// ConfigRequest requests a part of a configuration newer than Known, the version that
// the sender has in force. If Version is not 0, the sender holds the first Offset bytes of
// that version in the packed form with this Digest.
type ConfigRequest struct {
	Known   int64
	Version int64  `msgpack:",omitempty"`
	Digest  uint64 `msgpack:",omitempty"`
	Offset  int    `msgpack:",omitempty"`
}

// ConfigPart is the part of a packed configuration that begins at Offset. Version is 0 if
// the sender has none that is newer. The part is of another version or another packed form
// than requested, and begins at 0, if the sender no longer has the requested one.
type ConfigPart struct {
	Version int64 `msgpack:",omitempty"`
	// Digest is that of the whole packed form, Size its length in bytes.
	Digest uint64 `msgpack:",omitempty"`
	Size   int    `msgpack:",omitempty"`
	Offset int    `msgpack:",omitempty"`
	Body   []byte `msgpack:",omitempty"`
}

// Check returns an error if the message is not well formed.
func (r *ConfigRequest) Check() error {
	if r.Offset < 0 {
		return fmt.Errorf("ConfigRequest.Offset: %d is below 0", r.Offset)
	}
	return nil
}

// Check returns an error if the message is not well formed.
func (p *ConfigPart) Check() error {
	switch {
	case p.Version == 0:
		return nil
	case p.Size <= 0 || p.Size > maxMessageBytes:
		return fmt.Errorf("ConfigPart.Size: %d is not from 1 to %d", p.Size, maxMessageBytes)
	case p.Offset < 0 || len(p.Body) == 0 || p.Offset > p.Size-len(p.Body):
		return fmt.Errorf("ConfigPart.Body: %d bytes at %d are no part of %d", len(p.Body), p.Offset, p.Size)
	}
	return nil
}

// ConfigPart requests a part of a configuration from a peer.
func (c *Client) ConfigPart(ctx context.Context, to netip.AddrPort, req *ConfigRequest) (*ConfigPart, error) {
	response := new(ConfigPart)
	return response, c.call(ctx, to, methodConfigPart, req, response)
}

// PackedConfig is a configuration in the form that travels between entries: encoded and
// compressed.
type PackedConfig struct {
	Version int64
	Digest  uint64
	Body    []byte
}

// PackConfig returns the packed form of a configuration.
func PackConfig(cfg *savoryrouting.Config) (*PackedConfig, error) {
	body, err := savorywire.Encode(cfg)
	if err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if len(body) > maxMessageBytes {
		return nil, fmt.Errorf("pack configuration %d: %d bytes exceed %d", cfg.Version, len(body), maxMessageBytes)
	}
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	return &PackedConfig{Version: cfg.Version, Digest: xxhash.Sum64(buf.Bytes()), Body: buf.Bytes()}, nil
}

// Part returns the part that answers a request. A part has at most maxBytes bytes.
func (p *PackedConfig) Part(req *ConfigRequest, maxBytes int) *ConfigPart {
	offset := 0
	if req.Version == p.Version && req.Digest == p.Digest && req.Offset < len(p.Body) {
		offset = req.Offset
	}
	end := min(len(p.Body), offset+maxBytes)
	return &ConfigPart{Version: p.Version, Digest: p.Digest, Size: len(p.Body), Offset: offset, Body: p.Body[offset:end]}
}

// Unpack decodes and checks the configuration.
func (p *PackedConfig) Unpack() (*savoryrouting.Config, error) {
	if d := xxhash.Sum64(p.Body); d != p.Digest {
		return nil, fmt.Errorf("unpack configuration %d: %w: %x, not %x", p.Version, ErrDigest, d, p.Digest)
	}
	r, err := gzip.NewReader(bytes.NewReader(p.Body))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration %d: %w", p.Version, err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration %d: %w", p.Version, err)
	}
	if len(body) > maxMessageBytes {
		return nil, fmt.Errorf("unpack configuration %d: it exceeds %d bytes", p.Version, maxMessageBytes)
	}
	cfg := new(savoryrouting.Config)
	if err := savorywire.Decode(body, cfg); err != nil {
		return nil, fmt.Errorf("unpack configuration %d: %w", p.Version, err)
	}
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("unpack configuration %d: %w", p.Version, err)
	}
	if cfg.Version != p.Version {
		return nil, fmt.Errorf("unpack configuration %d: it states version %d", p.Version, cfg.Version)
	}
	return cfg, nil
}
