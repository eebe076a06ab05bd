// Package savoryfleet measures in virtual time how news spread over a fleet of
// entries, with the product's own decisions on who talks to whom.
//
// Each node of a Fleet has its own view and clock phase. Messages take the time
// of the link, calls to dead nodes or across a cut are missed after a timeout.
// Bytes are the encoded messages plus the overhead of a call. A run repeats
// exactly by its seed.
package savoryfleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savorywire"
	"savorycart.example/savorycore/savoryworld"
	"savorycart.example/savorystand/savoryclock"
)

// The times are those of the entry's plumbing.
const (
	heartbeatInterval = time.Second
	pollInterval      = 2 * time.Second
	rarePollInterval  = 30 * time.Second
	listInterval      = 5 * time.Second
	callTimeout       = 2 * time.Second
	watchDelay        = 20 * time.Millisecond
)

const (
	// callOverhead is the bytes of a call in each direction beyond the encoded
	// message: framing of gRPC, HTTP/2 and TCP/IP.
	callOverhead = 150
	// bucketBytes is the size of a changed bucket with eight customers.
	bucketBytes = 1600
	// zonesPerRegion places the regions: zones 0-3, 4-7 and 8-10.
	zonesPerRegion = 4
)

// Fleet is one run. Its exported fields are set before Start.
type Fleet struct {
	Seed  uint64
	Nodes int
	Zones int
	// Buckets is the number of buckets of the document.
	Buckets int
	// ListDelay is how long the VM list hides a change.
	ListDelay time.Duration

	clock            savoryclock.Clock
	rand             *rand.Rand
	nodes            []*node
	revision         uint64
	changes          map[uint64]*change
	partitioned      map[string]bool
	store            StoreCalls
	storeUnavailable bool
	listed           []savoryworld.VM
}

// StoreCalls counts calls of the store.
type StoreCalls struct {
	Reads   int
	Watches int
}

// change follows one revision.
type change struct {
	acceptedAt time.Time
	origin     int
	// inForceAt is when it came into force inForceAt each node; 0 while it has not.
	inForceAt []time.Time
}

// node is one entry.
type node struct {
	index    int
	table    savorymember.Table
	revision uint64
	dead     bool
	fetching bool
	sent     int64
	received int64
	messages int64
	polledAt time.Time
}

// Traffic is the mean and the highest traffic of a node.
type Traffic struct {
	MeanBytes float64
	MaxBytes  float64
	Messages  float64
}

// Start makes the nodes and lets their loops begin.
func (f *Fleet) Start() {
	f.rand = rand.New(rand.NewPCG(f.Seed, 3))
	f.clock.Now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.changes = make(map[uint64]*change)
	f.partitioned = make(map[string]bool)
	f.revision = 1
	for i := range f.Nodes {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	f.updateList()
	for _, n := range f.nodes {
		n.table.SetListed(f.listed, f.clock.Now)
		f.loop(n, heartbeatInterval, f.heartbeat)
		f.loop(n, pollInterval, f.poll)
		f.loop(n, listInterval, func(n *node) { n.table.SetListed(f.listed, f.clock.Now) })
	}
}

func (f *Fleet) newNode(i int) *node {
	self := savorymember.Peer{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 7081),
		Zone:    fmt.Sprintf("zone-%d", i%f.Zones), Region: region(i % f.Zones),
	}
	return &node{index: i, revision: 1, table: savorymember.Table{Self: self, Rand: rand.New(rand.NewPCG(f.Seed, uint64(i)))}}
}

func region(zone int) string { return fmt.Sprintf("region-%d", zone/zonesPerRegion) }

// updateList shows the platform's list after its lag.
func (f *Fleet) updateList() {
	var vms []savoryworld.VM
	for _, n := range f.nodes {
		if !n.dead {
			self := n.table.Self
			vms = append(vms, savoryworld.VM{Address: self.Address, Zone: self.Zone, Region: self.Region, State: savoryworld.VMLive, Entry: true})
		}
	}
	if f.listed == nil {
		f.listed = vms
		return
	}
	f.clock.After(f.ListDelay, func() { f.listed = vms })
}

// loop runs a round of a node at an interval, from a random phase on.
func (f *Fleet) loop(n *node, interval time.Duration, round func(*node)) {
	var tick func()
	tick = func() {
		if !n.dead {
			round(n)
		}
		f.clock.After(interval, tick)
	}
	f.clock.After(time.Duration(f.rand.Int64N(int64(interval))), tick)
}

// Run lets time pass.
func (f *Fleet) Run(d time.Duration) { f.clock.RunUntil(f.clock.Now.Add(d)) }

// AcceptChange accepts a change at a live node and returns its revision.
func (f *Fleet) AcceptChange(at int) uint64 {
	f.revision++
	f.changes[f.revision] = &change{acceptedAt: f.clock.Now, origin: at, inForceAt: make([]time.Time, len(f.nodes))}
	n := f.nodes[at]
	f.apply(n, f.revision, true)
	for _, w := range f.nodes {
		if !w.dead && !f.storeUnavailable && f.reachesStore(w) && w.table.IsWatcher(f.clock.Now) {
			revision := f.revision
			f.clock.After(watchDelay, func() { f.readRoot(w, revision) })
		}
	}
	return f.revision
}

// PropagationTime returns the time from the acceptance of a revision until it is in
// force at each live node, or false if it is missing somewhere.
func (f *Fleet) PropagationTime(revision uint64) (time.Duration, bool) {
	c := f.changes[revision]
	var last time.Duration
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		at := c.inForceAt[n.index]
		if at.IsZero() {
			return 0, false
		}
		last = max(last, at.Sub(c.acceptedAt))
	}
	return last, true
}

// NotInForce returns the number of live nodes at which a revision, or a later one,
// is not in force.
func (f *Fleet) NotInForce(revision uint64) int {
	missing := 0
	for _, n := range f.nodes {
		if !n.dead && n.revision < revision {
			missing++
		}
	}
	return missing
}

// Kill ends nodes; the VM list shows it after its lag.
func (f *Fleet) Kill(selected func(index, zone int) bool) {
	for _, n := range f.nodes {
		if selected(n.index, n.index%f.Zones) {
			n.dead = true
		}
	}
	f.updateList()
}

// SetPartitioned cuts a region off from the others and, unless it is region-0, from
// the store; or heals it.
func (f *Fleet) SetPartitioned(name string, cut bool) { f.partitioned[name] = cut }

// SetStoreUnavailable takes the store out of service, or brings it back.
func (f *Fleet) SetStoreUnavailable(out bool) { f.storeUnavailable = out }

// Table returns the view of a node.
func (f *Fleet) Table(node int) *savorymember.Table { return &f.nodes[node].table }

// Listed returns the VM list as the platform shows it now.
func (f *Fleet) Listed() []savoryworld.VM { return f.listed }

// Traffic returns the traffic per second of live nodes, both directions added,
// over the time d since ResetTraffic.
func (f *Fleet) Traffic(d time.Duration) Traffic {
	var t Traffic
	live := 0
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		live++
		bytes := float64(n.sent+n.received) / d.Seconds()
		t.MeanBytes += bytes
		t.MaxBytes = max(t.MaxBytes, bytes)
		t.Messages += float64(n.messages) / d.Seconds()
	}
	t.MeanBytes /= float64(live)
	t.Messages /= float64(live)
	return t
}

// ResetTraffic begins a new count of traffic and store calls.
func (f *Fleet) ResetTraffic() {
	for _, n := range f.nodes {
		n.sent, n.received, n.messages = 0, 0, 0
	}
	f.store = StoreCalls{}
}

// StoreCalls returns the reads since ResetTraffic and the watches that wait.
func (f *Fleet) StoreCalls() StoreCalls {
	calls := f.store
	for _, n := range f.nodes {
		if !n.dead && n.table.IsWatcher(f.clock.Now) {
			calls.Watches++
		}
	}
	return calls
}

// heartbeat is a round of heartbeats of a node.
func (f *Fleet) heartbeat(n *node) {
	for _, peer := range n.table.HeartbeatTargets(f.clock.Now) {
		hello := f.newHeartbeat(n)
		f.call(n, peer, size(hello), func(to *node) int {
			to.table.RecordContact(n.table.Self, false, f.clock.Now)
			if n.revision > to.revision {
				f.fetch(to, n)
			}
			return size(f.newHeartbeat(to))
		}, func(to *node) {
			n.table.RecordContact(to.table.Self, false, f.clock.Now)
			if to.revision > n.revision {
				f.fetch(n, to)
			}
		})
	}
}

func (f *Fleet) newHeartbeat(n *node) *savorypeer.Heartbeat {
	self := n.table.Self
	return &savorypeer.Heartbeat{Address: self.Address, Zone: self.Zone, Region: self.Region, Revision: n.revision, MarkDigest: 1 << 60}
}

// fetch gets the step to the revision of another node. While a fetch is under
// way others are left out.
func (f *Fleet) fetch(n, from *node) {
	if n.fetching {
		return
	}
	n.fetching = true
	request := size(&savorypeer.Fetch{Config: true, Since: n.revision})
	f.call(n, from.table.Self, request, func(*node) int { return f.fetchResponseSize() }, func(from *node) {
		n.fetching = false
		f.apply(n, from.revision, false)
	})
	f.clock.After(callTimeout, func() { n.fetching = false })
}

// apply puts a revision in force at a node and hands it on.
func (f *Fleet) apply(n *node, revision uint64, origin bool) {
	if revision <= n.revision {
		return
	}
	n.revision = revision
	for r, c := range f.changes {
		if r <= revision && c.inForceAt[n.index].IsZero() {
			c.inForceAt[n.index] = f.clock.Now
		}
	}
	offer := size(&savorypeer.Offer{Revision: revision, From: n.table.Self.Address})
	for _, peer := range n.table.GossipTargets(origin, f.clock.Now) {
		f.call(n, peer, offer, func(to *node) int {
			if n.revision > to.revision {
				f.fetch(to, n)
			}
			return size(&savorypeer.Ack{Revision: revision})
		}, func(*node) {})
	}
}

// fetchResponseSize returns the size of the answer to a fetch: a delta and one bucket.
func (f *Fleet) fetchResponseSize() int {
	return size(&savorypeer.State{Steps: []savoryconfig.Step{{
		Delta: savoryconfig.Delta{Base: f.revision, AcceptedAt: f.clock.Now, Submission: "01234567890123456789012345", Sections: []savoryconfig.SectionDelta{{
			Section: savoryconfig.Customers, Count: f.Buckets, Changed: []savoryconfig.BucketChange{{Index: 77}},
		}}},
		Buckets: []savoryconfig.Bucket{{Body: make([]byte, bucketBytes)}},
	}}})
}

// call carries a call and its answer. A call that cannot arrive is missed.
func (f *Fleet) call(n *node, peer savorymember.Peer, bytes int, serve func(*node) int, onResponse func(*node)) {
	to := f.node(peer)
	f.send(n, bytes)
	delay := f.delay(n, to)
	f.clock.After(delay, func() {
		if !f.connected(n, to) {
			f.clock.After(callTimeout, func() { n.table.RecordFailure(peer.Address, f.clock.Now) })
			return
		}
		f.receive(to, bytes)
		size := serve(to)
		f.send(to, size)
		f.clock.After(delay, func() {
			if n.dead {
				return
			}
			f.receive(n, size)
			onResponse(to)
		})
	})
}

func (f *Fleet) node(peer savorymember.Peer) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.table.Self.Address == peer.Address })
	return f.nodes[i]
}

func (f *Fleet) send(n *node, bytes int) {
	n.sent += int64(bytes + callOverhead)
	n.messages++
}

func (f *Fleet) receive(n *node, bytes int) { n.received += int64(bytes + callOverhead) }

// connected reports whether messages pass between two nodes.
func (f *Fleet) connected(a, b *node) bool {
	ra, rb := a.table.Self.Region, b.table.Self.Region
	return !a.dead && !b.dead && (ra == rb || (!f.partitioned[ra] && !f.partitioned[rb]))
}

// reachesStore reports whether a node reaches the store, which is in region-0.
func (f *Fleet) reachesStore(n *node) bool {
	return n.table.Self.Region == region(0)
}

func (f *Fleet) delay(a, b *node) time.Duration {
	switch {
	case a.table.Self.Zone == b.table.Self.Zone:
		return 250 * time.Microsecond
	case a.table.Self.Region == b.table.Self.Region:
		return 750 * time.Microsecond
	default:
		return 35 * time.Millisecond
	}
}

// poll reads the root if it is due.
func (f *Fleet) poll(n *node) {
	now := f.clock.Now
	if !f.reachesStore(n) || f.storeUnavailable {
		return
	}
	if !n.table.IsWatcher(now) && now.Sub(n.polledAt) < rarePollInterval {
		return
	}
	n.polledAt = now
	f.readRoot(n, f.revision)
}

// readRoot reads the root, and the changed bucket if it is new.
func (f *Fleet) readRoot(n *node, revision uint64) {
	f.store.Reads++
	if revision > n.revision {
		f.store.Reads++
	}
	f.apply(n, revision, true)
}

// size returns the encoded size of a message.
func size(v any) int {
	body, err := savorywire.Encode(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return len(body)
}
