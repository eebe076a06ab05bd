package savorygate

// This file transfers configurations between entries. An entry that hears of a newer
// version fetches it from the peer part by part, one part at a time. What has arrived is
// kept, so the transfer ends over a link of any speed, and the parts leave room on the link
// for the traffic of callers.

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// maxPartBytes bounds one part of a configuration. At the 20 Mbit/s of the smallest
	// VMs a part takes 26 ms.
	maxPartBytes = 64 << 10
	// partTimeout bounds the call for one part. It is longer than syncTimeout since a part
	// that is late must not be sent again while it waits on a busy link.
	partTimeout = time.Second
	// maxPartsServed bounds the parts that an entry sends at once. On a link of 20 Mbit/s
	// they take 0.2 s, so none is late because of the others.
	maxPartsServed = 8
	// maxPackedConfigs is the number of versions that an entry keeps in packed form: an
	// entry on a slow link completes the one that it has begun while newer ones follow.
	maxPackedConfigs = 4
)

// configFetch is the state of the transfer of a configuration to this entry.
type configFetch struct {
	mu      sync.Mutex
	running bool
	// partial is the beginning of a packed configuration of size bytes, if size is not 0.
	partial savorypeer.PackedConfig
	size    int
	// refused is the last version that could not be put in force.
	refused int64
	// progressAt is when the last part arrived.
	progressAt savoryworld.AtomicTime
}

// begin reports whether a version may be fetched now, and marks a fetch as running.
func (f *configFetch) begin(version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running || version == f.refused {
		return false
	}
	f.running = true
	return true
}

func (f *configFetch) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = false
}

// request returns the request for the next part, for an entry with a version in force.
func (f *configFetch) request(known int64) *savorypeer.ConfigRequest {
	if f.size == 0 || f.partial.Version <= known {
		return &savorypeer.ConfigRequest{Known: known}
	}
	return &savorypeer.ConfigRequest{Known: known, Version: f.partial.Version, Digest: f.partial.Digest, Offset: len(f.partial.Body)}
}

// refuse records that a version cannot be put in force.
func (f *configFetch) refuse(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = version
}

// add adds a part. It returns the packed configuration once it is complete, and whether
// the part brought the transfer forward.
func (f *configFetch) add(p *savorypeer.ConfigPart) (complete *savorypeer.PackedConfig, progress bool) {
	before := len(f.partial.Body)
	if f.partial.Version != p.Version || f.partial.Digest != p.Digest || len(f.partial.Body) != p.Offset || f.size != p.Size {
		if p.Offset != 0 {
			return nil, false // not the part that was requested
		}
		f.partial, f.size = savorypeer.PackedConfig{Version: p.Version, Digest: p.Digest}, p.Size
	}
	f.partial.Body = append(f.partial.Body, p.Body...)
	if len(f.partial.Body) < f.size {
		return nil, len(f.partial.Body) > before
	}
	whole := f.partial
	f.partial, f.size = savorypeer.PackedConfig{}, 0
	return &whole, true
}

// startFetch fetches the newer version of a peer, unless a fetch is running. The next
// contact with a peer starts another one if this one fails.
func (g *Gate) startFetch(from netip.AddrPort, version int64) {
	if version <= g.configVersion() || !g.fetch.begin(version) {
		return
	}
	go func() {
		defer g.fetch.end()
		g.fetchConfig(from)
	}()
}

// fetchConfig fetches newer configurations from a peer until it has none.
func (g *Gate) fetchConfig(from netip.AddrPort) {
	for g.alive() {
		startedAt := g.now()
		req := g.fetch.request(g.configVersion())
		part, err := g.configClient.ConfigPart(g.ctx, from, req)
		g.metrics.peerCalls.WithLabelValues("config", resultOf(err)).Inc()
		if err != nil {
			if g.ctx.Err() == nil {
				g.Log.WithError(err).WithFields(log.Fields{
					"peer": from.String(), "version": req.Version, "offset": req.Offset, "tookMs": g.now().Sub(startedAt).Milliseconds(),
				}).Info("part of the configuration not received")
			}
			return
		}
		if !g.applyPart(part, from) {
			return
		}
	}
}

// applyPart adds a part that a peer sent, and puts the configuration in force if it is the last
// one. It reports whether the peer can be asked for the next part.
func (g *Gate) applyPart(part *savorypeer.ConfigPart, from netip.AddrPort) bool {
	if part.Version <= g.configVersion() {
		return false
	}
	packed, progress := g.fetch.add(part)
	if !progress {
		return false // the peer has other parts than before
	}
	g.fetch.progressAt.Store(g.now())
	if packed == nil {
		return true
	}
	cfg, err := packed.Unpack()
	if err != nil {
		g.Log.WithError(err).WithField("peer", from.String()).Error("configuration refused")
		if !errors.Is(err, savorypeer.ErrDigest) {
			g.fetch.refuse(packed.Version)
		}
		return false
	}
	if g.setConfig(cfg, "peer") {
		g.forwardToZone()
	}
	return true
}

// configVersion returns the version in force, 0 if there is none.
func (g *Gate) configVersion() int64 {
	if cfg := g.config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// packedConfigs holds the newest versions in packed form.
type packedConfigs struct {
	mu   sync.Mutex
	kept []*savorypeer.PackedConfig
}

// get returns the packed form of the requested version if it is kept, or else that of cfg.
func (p *packedConfigs) get(cfg *savoryrouting.Config, req *savorypeer.ConfigRequest) (*savorypeer.PackedConfig, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	find := func(version int64) *savorypeer.PackedConfig {
		i := slices.IndexFunc(p.kept, func(c *savorypeer.PackedConfig) bool { return c.Version == version })
		if i < 0 {
			return nil
		}
		return p.kept[i]
	}
	if c := find(req.Version); c != nil && c.Digest == req.Digest {
		return c, nil
	}
	if c := find(cfg.Version); c != nil {
		return c, nil
	}
	c, err := savorypeer.PackConfig(cfg)
	if err != nil {
		return nil, err
	}
	p.kept = append(p.kept, c)
	if len(p.kept) > maxPackedConfigs {
		p.kept = slices.Delete(p.kept, 0, 1)
	}
	return c, nil
}

// handleConfigPart returns the part of a configuration that a peer requests.
func (g *Gate) handleConfigPart(ctx context.Context, req *savorypeer.ConfigRequest) (*savorypeer.ConfigPart, error) {
	cfg := g.config()
	if cfg == nil || cfg.Version <= req.Known {
		return &savorypeer.ConfigPart{}, nil
	}
	select {
	case g.partsServed <- struct{}{}:
		defer func() { <-g.partsServed }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	packed, err := g.packed.get(cfg, req)
	if err != nil {
		g.Log.WithError(err).Error("configuration not sent")
		return nil, err
	}
	return packed.Part(req, maxPartBytes), nil
}
