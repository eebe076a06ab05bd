package savorygate

// This file defines how entries report live entries to each other, and the text under
// which an entry is registered in the store.

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savorypeer"
)

// entriesTTL is the age up to which the live entries are not listed anew. It is short against
// peerTTL, after which an entry no longer counts as live.
const entriesTTL = peerTTL / 20

// entryReport is the live entries at a time, in the order of their addresses.
type entryReport struct {
	at          time.Time
	entries     []savorypeer.Entry
	fingerprint uint64
}

// entriesToReport returns the live peers. In a large fleet it adds the entries of other
// zones that were lately reported as live. The result is at most sumInterval old.
func (r *relay) entriesToReport(now time.Time) entryReport {
	if age := now.Sub(r.entries.at); age >= 0 && age < entriesTTL {
		return r.entries
	}
	var all []savorypeer.Entry
	large := r.large()
	for _, p := range r.peers {
		if p.live(now) || large && p.entry.Zone != r.self.Zone && now.Sub(p.reportedAt) < peerTTL {
			all = append(all, p.entry)
		}
	}
	slices.SortFunc(all, func(a, b savorypeer.Entry) int { return a.Address.Compare(b.Address) })
	r.entries = entryReport{at: now, entries: all, fingerprint: fingerprintOf(all)}
	return r.entries
}

// newEntriesFor returns the live entries to report to a peer: all of them if they have
// changed since the last report or entriesInterval has passed, and none otherwise. In a
// large fleet they are most of a message.
func (r *relay) newEntriesFor(to netip.AddrPort, now time.Time) []savorypeer.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.entriesToReport(now)
	p := r.peers[to]
	if p == nil {
		return report.entries
	}
	if report.fingerprint == p.reportedEntries && now.Sub(p.entriesReportedAt) < entriesInterval {
		return nil
	}
	p.reportedEntries, p.entriesReportedAt = report.fingerprint, now
	return report.entries
}

// fingerprintOf returns a fingerprint of the addresses of sorted entries.
func fingerprintOf(entries []savorypeer.Entry) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		a := e.Address.Addr().As16()
		port := e.Address.Port()
		_, _ = d.Write(append(a[:], byte(port>>8), byte(port))) // a digest returns no error
	}
	return d.Sum64()
}

// formatEntry returns the text under which an entry is registered in the store.
func formatEntry(e savorypeer.Entry) string {
	return e.Zone + " " + strconv.FormatFloat(e.Strength, 'f', 3, 64)
}

// parseEntry parses a text of formatEntry.
func parseEntry(address, text string) (savorypeer.Entry, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return savorypeer.Entry{}, err
	}
	zone, strength, ok := strings.Cut(text, " ")
	if !ok {
		return savorypeer.Entry{}, fmt.Errorf("registered entry %q: strength is missing", text)
	}
	e := savorypeer.Entry{Address: at, Zone: zone}
	if e.Strength, err = strconv.ParseFloat(strength, 64); err != nil {
		return savorypeer.Entry{}, fmt.Errorf("registered entry %q: invalid strength: %w", text, err)
	}
	return e, nil
}
