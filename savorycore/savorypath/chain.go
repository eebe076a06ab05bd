package savorypath

// This file defines Chain, the sequence of engines that serves a request, and
// its element Hop.

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"savorycart.example/savorycore/savoryworld"
)

// Hop is one element of a chain: an engine and the layers that it runs.
type Hop struct {
	Server  string
	Address netip.AddrPort
	Layers  savoryworld.LayerRange
}

// Chain is the sequence of engines that serves a request. Its hops cover all
// layers in order.
type Chain []Hop

// String returns the hops as a comma-separated list for the log. The upper
// layer of each hop is exclusive.
func (c Chain) String() string {
	var b strings.Builder
	for i, h := range c {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%d-%d", h.Server, h.Layers.From, h.Layers.To)
	}
	return b.String()
}

// Uses reports whether the chain has a hop at the server.
func (c Chain) Uses(server string) bool {
	return slices.ContainsFunc(c, func(h Hop) bool { return h.Server == server })
}

// LayersOf returns the layers of the hop at the server, or the empty range if
// there is no such hop.
func (c Chain) LayersOf(server string) savoryworld.LayerRange {
	for _, h := range c {
		if h.Server == server {
			return h.Layers
		}
	}
	return savoryworld.LayerRange{}
}

// MaxHops is the maximum number of hops of a chain. Engines refuse longer
// chains.
const MaxHops = 32

// Check returns an error unless the chain covers layers 0 to layers-1 exactly
// once and in order.
func (c Chain) Check(layers int) error {
	next := 0
	for _, h := range c {
		if h.Layers.From != next || h.Layers.Empty() {
			return fmt.Errorf("chain %s: the hop at layer %d is missing or empty", c, next)
		}
		next = h.Layers.To
	}
	if next != layers {
		return fmt.Errorf("chain %s: ends at layer %d of %d", c, next, layers)
	}
	return nil
}
