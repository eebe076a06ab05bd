package savorypace

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an allowance that stays low after some sequence of events, that is zero where
// others cannot replace the server, or that exceeds its slots, and against totals that drift.
func TestAllowanceRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := &Table{Entry: "e0", ExchangeTime: exchangeTime}, begin
		ids := []string{"a", "b", "c", "d"}
		births := make(map[string]int)
		list := func() {
			var all []Server
			for _, id := range ids {
				all = append(all, Server{ID: id, Service: "app", Slots: 8, Born: begin.Add(time.Duration(births[id]) * time.Second)})
			}
			table.SetServers(all)
		}
		list()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0:
				births[id]++
				list()
			case 1:
				table.Failed(id, now)
			case 2:
				table.Rejected(id)
			case 3, 4:
				table.Started(id, now)
			case 5:
				table.Ended(id)
			case 6, 7:
				took := time.Duration(rapid.IntRange(0, 5000).Draw(t, "took")) * time.Millisecond
				table.Answered(Answer{Service: "app", Took: took}, []string{id}, now)
			case 8:
				n := rapid.IntRange(1, 90).Draw(t, "entries")
				names := make([]string, n)
				for i := range names {
					names[i] = fmt.Sprint("e", i)
				}
				table.SetEntries(names)
				table.SetPeerReports([]Report{{Server: id, Requests: 1, Unproven: n - 1}}, now)
			}
			checkTotals(t, table, now)
		}
		// Answers as usual prove each server in a few steps; the estimate may have to settle first.
		usual := func() time.Duration {
			u := table.services["app"].usual(Answer{})
			return time.Duration(max(u.seconds, 0.1) * float64(time.Second))
		}
		for range 40 {
			now = now.Add(usual())
			for _, id := range ids {
				table.Answered(Answer{Service: "app", Took: usual()}, []string{id}, now)
			}
		}
		for _, id := range ids {
			if n, ok := table.Allowance(id, true, now); ok {
				t.Fatalf("%s is not proven, allowance %d", id, n)
			}
		}
	})
}

func checkTotals(t *rapid.T, table *Table, now time.Time) {
	slots, proven, inFlight := 0, 0, 0
	for id, s := range table.servers {
		slots, inFlight = slots+s.Slots, inFlight+s.inFlight
		if s.proven {
			proven += s.Slots
		}
		if n, ok := table.Allowance(id, false, now); ok && (n < 1 || n > s.Slots) {
			t.Fatalf("allowance of %s is %d", id, n)
		}
		if table.Beyond(id, now) && 2*table.services["app"].provenSlots < table.services["app"].slots {
			t.Fatalf("%s is bounded without others", id)
		}
	}
	if svc := table.services["app"]; svc.slots != slots || svc.provenSlots != proven || svc.inFlight != inFlight {
		t.Fatalf("totals %d, %d, %d, want %d, %d, %d", svc.slots, svc.provenSlots, svc.inFlight, slots, proven, inFlight)
	}
}

// BenchmarkDecision measures the bounds of the 120 servers of a service for one request at 860
// entries and 7,200 servers, of which each tenth is unproven; "rank" is added to a choice after the
// live entries have changed, "list" is a new list of servers.
func BenchmarkDecision(b *testing.B) {
	table, now := &Table{Entry: "e0", ExchangeTime: exchangeTime}, begin
	var servers, first []Server
	for i := range 7200 {
		s := Server{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", i%60), Slots: 8}
		if servers = append(servers, s); i/60%10 != 0 {
			first = append(first, s)
		}
	}
	table.SetServers(first)
	table.SetServers(servers)
	names := make([]string, 860)
	for i := range names {
		names[i] = fmt.Sprint("10.0.0.1:", i)
	}
	ids := make([]string, 0, 120)
	for i := range 120 {
		ids = append(ids, fmt.Sprint("i-", 60*i))
	}
	decide := func() {
		for _, id := range ids {
			table.Beyond(id, now)
		}
		table.Chosen("s0", now)
		table.Started(ids[1], now)
		table.Answered(Answer{Service: "s0", Size: 1000, Took: time.Second}, ids[1:2], now)
		table.Ended(ids[1])
	}
	table.SetEntries(names)
	b.Run("usual", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			decide()
		}
	})
	b.Run("rank", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.rankFor(ids[0])
		}
	})
	b.Run("list", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.SetServers(servers)
		}
	})
}
