package savorypath

// This file defines Path, a chain of engines.

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

// Path is a chain of engines that covers all layers in order.
type Path []Hop

// String returns the hops as a comma-separated list for the log. The upper
// layer of each hop is exclusive.
func (p Path) String() string {
	var b strings.Builder
	for i, h := range p {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%d-%d", h.Server, h.Layers.From, h.Layers.To)
	}
	return b.String()
}

// Uses reports whether the path has a hop at the server.
func (p Path) Uses(server string) bool {
	return slices.ContainsFunc(p, func(h Hop) bool { return h.Server == server })
}

// layersOf returns the layers of the hop at the server, or the empty range if
// there is no such hop.
func (p Path) layersOf(server string) savoryworld.LayerRange {
	for _, h := range p {
		if h.Server == server {
			return h.Layers
		}
	}
	return savoryworld.LayerRange{}
}

// MaxHops is the maximum number of hops of a chain. Engines refuse longer
// chains.
const MaxHops = 32

// Check returns an error unless the path covers layers 0 to layers-1 exactly
// once and in order.
func (p Path) Check(layers int) error {
	next := 0
	for _, h := range p {
		if h.Layers.From != next || h.Layers.Empty() {
			return fmt.Errorf("path %s: the hop at layer %d is missing or empty", p, next)
		}
		next = h.Layers.To
	}
	if next != layers {
		return fmt.Errorf("path %s: ends at layer %d of %d", p, next, layers)
	}
	return nil
}
