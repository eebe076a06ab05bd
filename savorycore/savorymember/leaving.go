package savorymember

// This file defines the marks of backend servers that are leaving.

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MarkSource says who told that a server is leaving.
type MarkSource string

// The sources of marks. A mark of the operator stays until the operator takes
// it back; the others end when they are not renewed.
const (
	FromOperator MarkSource = "Operator"
	FromServer   MarkSource = "Server"
	FromVMList   MarkSource = "VMList"
)

// renewedMarkTTL is how long a mark lasts that is not the operator's.
const renewedMarkTTL = 60 * time.Second

// maxMarkNameBytes bounds the name in a mark from a peer.
const maxMarkNameBytes = 256

// Mark says that a backend server is leaving, or by an operator's word that it
// no longer is.
type Mark struct {
	Server  string
	Source  MarkSource
	Leaving bool
	// At orders marks of one server and source; the later one holds.
	At time.Time
}

// Check returns an error if the mark is not well formed.
func (m Mark) Check() error {
	if m.Server == "" || len(m.Server) > maxMarkNameBytes {
		return errors.New("Mark.Server: is empty or too long")
	}
	if m.Source != FromOperator && m.Source != FromServer && m.Source != FromVMList {
		return fmt.Errorf("Mark.Source: %q is not a source", m.Source)
	}
	return nil
}

type markKey struct {
	server string
	source MarkSource
}

// Marks is the set of marks that an entry knows. Merging is commutative and
// idempotent, so marks may arrive in any order and more than once.
type Marks struct {
	marks map[markKey]Mark
}

// Merge takes a mark and reports whether it is news.
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

// supersedes orders marks of one key; of two at the same time, leaving holds.
func supersedes(m, old Mark) bool {
	if !m.At.Equal(old.At) {
		return m.At.After(old.At)
	}
	return m.Leaving && !old.Leaving
}

// Leaving reports whether a mark in force at now says that server is leaving.
func (s *Marks) Leaving(server string, now time.Time) bool {
	for _, source := range []MarkSource{FromOperator, FromServer, FromVMList} {
		if m, ok := s.marks[markKey{server, source}]; ok && m.inForce(now) {
			return true
		}
	}
	return false
}

// NeedsRenewal reports whether a renewal of a mark should be merged and spread: no such
// mark is in force, or half of its time is over.
func (s *Marks) NeedsRenewal(m Mark) bool {
	old, exists := s.marks[markKey{m.Server, m.Source}]
	return !exists || !old.Leaving || m.At.Sub(old.At) > renewedMarkTTL/2
}

// Expire drops the marks that ended by now and returns them. An operator's
// marks are kept, since they order later ones.
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

// All returns the marks that have not ended by now, sorted by server and
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

// Digest returns a digest of the marks; equal sets have equal digests.
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

func (m Mark) inForce(now time.Time) bool {
	if !m.Leaving {
		return false
	}
	return m.Source == FromOperator || now.Sub(m.At) < renewedMarkTTL
}
