// Package savoryfleet measures in virtual time how configuration changes
// propagate through a fleet of entries. The peers of each message are selected
// by savorymember, as in the router.
//
// Each node of a Fleet has its own membership table and its own phase of the
// periodic rounds. A message takes the delay of its link. A call to a stopped
// node or across a network partition fails after a timeout. Traffic counts the
// encoded messages plus the overhead of a call. Runs with the same seed and
// settings have equal results.
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

// Intervals and timeouts of the simulated entries, modelled on those in the
// package savorynode.
const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = time.Second
	// pollInterval is the time between two reads of the root by a watcher.
	pollInterval = 2 * time.Second
	// rarePollInterval is the minimum time between two reads of the root by an
	// entry that is not a watcher.
	rarePollInterval = 30 * time.Second
	// listInterval is the time between two reads of the VM list.
	listInterval = 5 * time.Second
	// callTimeout is the time after which a call without a response fails.
	callTimeout = 2 * time.Second
	// watchDelay is the time from a change to the event at a watcher.
	watchDelay = 20 * time.Millisecond
)

const (
	// callOverhead is the number of bytes of a call in each direction beyond the
	// encoded message: the framing of gRPC, HTTP/2 and TCP/IP.
	callOverhead = 150
	// bucketBytes is the size of a changed bucket with eight customers.
	bucketBytes = 1600
	// zonesPerRegion is the number of zones of a region. With 11 zones, the regions
	// have the zones 0-3, 4-7 and 8-10.
	zonesPerRegion = 4
)

// Fleet is one simulation run. Its exported fields are set before Start.
type Fleet struct {
	Seed  uint64
	Nodes int
	Zones int
	// Buckets is the number of buckets of the customers section of the document.
	Buckets int
	// ListDelay is the time from the stop of a node to its removal from the VM list.
	ListDelay time.Duration

	clock    savoryclock.Clock
	rand     *rand.Rand
	nodes    []*node
	revision uint64
	// changes holds the accepted changes by revision.
	changes map[uint64]*change
	// partitioned holds the names of the regions that are cut off by a network
	// partition.
	partitioned      map[string]bool
	store            StoreCalls
	storeUnavailable bool
	// listed is the current VM list of the platform.
	listed []savoryworld.VM
}

// StoreCalls counts calls to the store.
type StoreCalls struct {
	Reads   int
	Watches int
}

// change is the progress of one revision.
type change struct {
	acceptedAt time.Time
	origin     int
	// inForceAt holds, by node, the time at which the revision or a later one came
	// into force; the zero time means not yet.
	inForceAt []time.Time
}

// node is one entry.
type node struct {
	index    int
	table    savorymember.Table
	revision uint64
	// stopped reports whether the node has stopped.
	stopped bool
	// fetching reports whether a fetch is in flight.
	fetching bool
	// sent and received count bytes, messages counts sent messages.
	sent     int64
	received int64
	messages int64
	// polledAt is the time of the last poll of the root.
	polledAt time.Time
}

// Traffic is the traffic of live nodes.
type Traffic struct {
	// MeanBytes and MaxBytes are the mean and the maximum over the nodes, in bytes
	// per second. Messages is the mean number of sent messages per second.
	MeanBytes float64
	MaxBytes  float64
	Messages  float64
}

// Start creates the nodes and begins their periodic rounds.
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

// updateList sets the platform's list to the live nodes after ListDelay, or at
// once for the first list.
func (f *Fleet) updateList() {
	var vms []savoryworld.VM
	for _, n := range f.nodes {
		if !n.stopped {
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

// loop runs a round of a live node at an interval, from a random phase.
func (f *Fleet) loop(n *node, interval time.Duration, round func(*node)) {
	var tick func()
	tick = func() {
		if !n.stopped {
			round(n)
		}
		f.clock.After(interval, tick)
	}
	f.clock.After(time.Duration(f.rand.Int64N(int64(interval))), tick)
}

// Run advances the virtual time by d.
func (f *Fleet) Run(d time.Duration) { f.clock.RunUntil(f.clock.Now.Add(d)) }

// AcceptChange accepts a change at the node with index at, and returns its
// revision.
func (f *Fleet) AcceptChange(at int) uint64 {
	f.revision++
	f.changes[f.revision] = &change{acceptedAt: f.clock.Now, origin: at, inForceAt: make([]time.Time, len(f.nodes))}
	n := f.nodes[at]
	f.apply(n, f.revision, true)
	for _, watcher := range f.nodes {
		if !watcher.stopped && !f.storeUnavailable && f.reachesStore(watcher) && watcher.table.IsWatcher(f.clock.Now) {
			revision := f.revision
			f.clock.After(watchDelay, func() { f.readRoot(watcher, revision) })
		}
	}
	return f.revision
}

// PropagationTime returns the time from the acceptance of a revision until it
// was in force at every live node. It returns false if the revision is not in
// force at some live node.
func (f *Fleet) PropagationTime(revision uint64) (time.Duration, bool) {
	c := f.changes[revision]
	var last time.Duration
	for _, n := range f.nodes {
		if n.stopped {
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

// NotInForce returns the number of live nodes at which neither the revision nor
// a later one is in force.
func (f *Fleet) NotInForce(revision uint64) int {
	count := 0
	for _, n := range f.nodes {
		if !n.stopped && n.revision < revision {
			count++
		}
	}
	return count
}

// Kill stops the selected nodes. The VM list omits them after ListDelay.
func (f *Fleet) Kill(selected func(index, zone int) bool) {
	for _, n := range f.nodes {
		if selected(n.index, n.index%f.Zones) {
			n.stopped = true
		}
	}
	f.updateList()
}

// SetPartitioned sets whether a region is separated from the other regions by a
// network partition. Nodes outside region-0 have no connection to the store at
// any time, see reachesStore.
func (f *Fleet) SetPartitioned(name string, isolated bool) { f.partitioned[name] = isolated }

// SetStoreUnavailable sets whether the store is unavailable.
func (f *Fleet) SetStoreUnavailable(unavailable bool) { f.storeUnavailable = unavailable }

// Table returns the membership table of a node.
func (f *Fleet) Table(node int) *savorymember.Table { return &f.nodes[node].table }

// Listed returns the current VM list of the platform.
func (f *Fleet) Listed() []savoryworld.VM { return f.listed }

// Traffic returns the traffic of live nodes per second, the sum of both
// directions, over the time d since ResetTraffic.
func (f *Fleet) Traffic(d time.Duration) Traffic {
	var t Traffic
	live := 0
	for _, n := range f.nodes {
		if n.stopped {
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

// ResetTraffic resets the counts of traffic and of store calls.
func (f *Fleet) ResetTraffic() {
	for _, n := range f.nodes {
		n.sent, n.received, n.messages = 0, 0, 0
	}
	f.store = StoreCalls{}
}

// StoreCalls returns the number of reads since ResetTraffic and the current
// number of watches.
func (f *Fleet) StoreCalls() StoreCalls {
	calls := f.store
	for _, n := range f.nodes {
		if !n.stopped && n.table.IsWatcher(f.clock.Now) {
			calls.Watches++
		}
	}
	return calls
}

// heartbeat runs one round of heartbeats of a node.
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

// newHeartbeat returns the heartbeat message of a node.
func (f *Fleet) newHeartbeat(n *node) *savorypeer.Heartbeat {
	self := n.table.Self
	return &savorypeer.Heartbeat{Address: self.Address, Zone: self.Zone, Region: self.Region, Revision: n.revision, MarkDigest: 1 << 60}
}

// fetch gets the current revision from another node. A node has at most one
// fetch in flight; a further call does nothing.
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

// apply puts a revision in force at a node and offers it to the gossip targets.
// origin reports that the node accepted the revision or read it from the store.
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

// fetchResponseSize returns the encoded size of the response to a fetch: a
// delta and one bucket.
func (f *Fleet) fetchResponseSize() int {
	return size(&savorypeer.State{Steps: []savoryconfig.Step{{
		Delta: savoryconfig.Delta{Base: f.revision, AcceptedAt: f.clock.Now, Submission: "01234567890123456789012345", Sections: []savoryconfig.SectionDelta{{
			Section: savoryconfig.Customers, Count: f.Buckets, Changed: []savoryconfig.BucketChange{{Index: 77}},
		}}},
		Buckets: []savoryconfig.Bucket{{Body: make([]byte, bucketBytes)}},
	}}})
}

// call simulates a call and its response. If the nodes are not connected, it
// records a failure after callTimeout. serve runs at the called node and
// returns the size of the response.
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
			if n.stopped {
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
	return !a.stopped && !b.stopped && (ra == rb || (!f.partitioned[ra] && !f.partitioned[rb]))
}

// reachesStore reports whether a node has a connection to the store. Only the
// nodes of region-0 have one.
func (f *Fleet) reachesStore(n *node) bool {
	return n.table.Self.Region == region(0)
}

// delay returns the one-way delay between two nodes.
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

// poll reads the root if a poll is due.
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

// readRoot reads the root, and the changed bucket if the revision is new.
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
