package savorygate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryrouting"
)

// namedConfig returns a configuration whose names and prefixes are random, as those of the
// operators, so that it cannot be packed better than theirs.
func namedConfig(routes int) *savoryrouting.Config {
	random := rand.New(rand.NewPCG(1, 2))
	cfg := &savoryrouting.Config{Version: 1, Services: []savoryrouting.Service{{Name: "s"}}}
	for range routes {
		cfg.Routes = append(cfg.Routes, savoryrouting.Route{
			Name: fmt.Sprintf("r-%08x", random.Uint32()), Host: fmt.Sprintf("h%04x.example", random.Uint32N(1<<16)), Prefix: fmt.Sprintf("/%08x/", random.Uint32()),
			Kind: savoryrouting.Idempotent, Timeout: time.Second, Shares: []savoryrouting.Share{{Service: "s", Weight: 1}},
		})
	}
	return cfg
}

// Pattern: a version of 10,000 routes for a zone of the target's size. Guards against a way to
// the last entry that is longer than the target allows: the bytes that the zone's leader sends
// and that the smallest VM receives, and the waits of each hop. Over these links the bytes,
// not the processor, take the time.
func TestLargeConfigurationReachesZoneInTime(t *testing.T) {
	const (
		routes       = 10_000
		zoneEntries  = 172             // 860 entries in 5 zones
		leaderLink   = 200e6 / 8       // bytes a second, of the VMs that lead
		smallestLink = 20e6 / 8        // bytes a second
		target       = 6 * time.Second // a change is in force at every entry
		hops         = 3               // reader, leader of the zone, entry
	)
	is := is.New(t)
	packed, err := savorypeer.PackConfig(namedConfig(routes))
	is.NoErr(err)
	size := float64(len(packed.Body))
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	sending := seconds(size * zoneEntries / leaderLink)
	receiving := seconds(size / smallestLink)
	waits := hops * (syncInterval + maxLeaderInterval)
	t.Logf("%d bytes: sending %s, receiving %s, waits %s", len(packed.Body), sending, receiving, waits)
	is.True(sending+receiving+waits < target)
}

// BenchmarkConfigInForce measures the work of an entry for a configuration that it has
// received, and of a leader that packs it.
func BenchmarkConfigInForce(b *testing.B) {
	for _, routes := range []int{500, 1000, 2000, 4250, 10_000} {
		cfg := namedConfig(routes)
		packed, err := savorypeer.PackConfig(cfg)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("Pack%d", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := savorypeer.PackConfig(cfg); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(packed.Body)), "bytes")
		})
		b.Run(fmt.Sprintf("Apply%d", routes), func(b *testing.B) {
			for b.Loop() {
				got, err := packed.Unpack()
				if err != nil {
					b.Fatal(err)
				}
				savoryrouting.NewTable(got)
			}
		})
	}
}
