package savorymember

// This file defines the marks of leaving backend servers.

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MarkSource is the origin of a mark.
type MarkSource string

// The sources of marks. A mark of an operator is in force until the operator
// revokes it; the others expire unless they are renewed.
const (
	FromOperator MarkSource = "Operator"
	FromServer   MarkSource = "Server"
	FromVMList   MarkSource = "VMList"
)

// renewedMarkTTL is how long a mark from a server or the VM list is in force
// after its last renewal.
const renewedMarkTTL = 60 * time.Second

// maxMarkNameBytes is the maximum length of the server name in a mark, since
// marks are also received from peers.
const maxMarkNameBytes = 256

// Mark states that a backend server is leaving. A mark with Leaving false is an
// operator's revocation.
type Mark struct {
	Server  string
	Source  MarkSource
	Leaving bool
	// At orders the marks of one server and source; the latest one is in force.
	At time.Time
}

// Check returns an error if the server name is empty or too long or the source
// is unknown.
func (m Mark) Check() error {
	if m.Server == "" || len(m.Server) > maxMarkNameBytes {
		return errors.New("Mark.Server: the name is empty or too long")
	}
	if m.Source != FromOperator && m.Source != FromServer && m.Source != FromVMList {
		return fmt.Errorf("Mark.Source: unknown source %q", m.Source)
	}
	return nil
}

// markKey identifies the mark of a server from a source.
type markKey struct {
	server string
	source MarkSource
}

// Marks is the set of marks at an entry. Merging is commutative and idempotent,
// so marks may arrive in any order and more than once. The zero value is an
// empty set.
type Marks struct {
	marks map[markKey]Mark
}

// Merge adds a mark unless the set has an equal or later one for its server and
// source. It reports whether the set changed.
func (s *Marks) Merge(m Mark) bool {
	if s.marks == nil {
		s.marks = make(map[markKey]Mark)
	}
	key := markKey{m.Server, m.Source}
	old, exists := s.marks[key]
	if exists && !supersedes(m, old) {
		return false
	}
	s.marks[key] = m
	return true
}

// supersedes reports whether m replaces old, a mark with the same key. Of two
// marks of the same time, the one with Leaving true wins.
func supersedes(m, old Mark) bool {
	if !m.At.Equal(old.At) {
		return m.At.After(old.At)
	}
	return m.Leaving && !old.Leaving
}

// Leaving reports whether any mark in force at now states that the server is
// leaving.
func (s *Marks) Leaving(server string, now time.Time) bool {
	for _, source := range []MarkSource{FromOperator, FromServer, FromVMList} {
		if m, ok := s.marks[markKey{server, source}]; ok && m.inForce(now) {
			return true
		}
	}
	return false
}

// NeedsRenewal reports whether m, a renewal, should be merged and sent to the
// peers: the set has no such mark with Leaving true, or half of its time has
// passed.
func (s *Marks) NeedsRenewal(m Mark) bool {
	old, exists := s.marks[markKey{m.Server, m.Source}]
	return !exists || !old.Leaving || m.At.Sub(old.At) > renewedMarkTTL/2
}

// Expire removes the marks that are no longer in force at now and returns them.
// An operator's marks are kept, because a later copy of an older mark must not
// replace them.
func (s *Marks) Expire(now time.Time) []Mark {
	var expired []Mark
	for key, m := range s.marks {
		if m.Source != FromOperator && !m.inForce(now) {
			delete(s.marks, key)
			expired = append(expired, m)
		}
	}
	return expired
}

// All returns the marks that have not expired at now, sorted by server and
// source.
func (s *Marks) All(now time.Time) []Mark {
	var all []Mark
	for _, m := range s.marks {
		if m.Source == FromOperator || m.inForce(now) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Source, b.Source))
	})
	return all
}

// Digest returns a digest of the marks that have not expired at now. Equal sets
// have equal digests.
func (s *Marks) Digest(now time.Time) uint64 {
	d := xxhash.New()
	for _, m := range s.All(now) {
		var word [9]byte
		binary.LittleEndian.PutUint64(word[:], uint64(m.At.UnixNano()))
		if m.Leaving {
			word[8] = 1
		}
		_, _ = d.WriteString(m.Server + "\x00" + string(m.Source) + "\x00")
		_, _ = d.Write(word[:])
	}
	return d.Sum64()
}

// inForce reports whether the mark makes its server leaving at now.
func (m Mark) inForce(now time.Time) bool {
	if !m.Leaving {
		return false
	}
	return m.Source == FromOperator || now.Sub(m.At) < renewedMarkTTL
}
