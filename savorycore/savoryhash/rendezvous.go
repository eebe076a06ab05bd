// Package savoryhash chooses members of a set by rendezvous hashing. Adding or
// removing a member changes only the choices that involve that member.
package savoryhash

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous weight of member for key.
func Weight(key, member string) uint64 {
	var sum [8]byte
	binary.LittleEndian.PutUint64(sum[:], xxhash.Sum64String(key))
	d := xxhash.New()
	_, _ = d.Write(sum[:])
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Top returns the n members with the highest weight for key, in descending order
// of weight, or all members if there are fewer than n. Members of equal weight
// are sorted by name. Top does not modify members.
func Top[M any](key string, members []M, name func(M) string, n int) []M {
	type weighted struct {
		member M
		name   string
		weight uint64
	}
	candidates := make([]weighted, len(members))
	for i, m := range members {
		candidates[i] = weighted{member: m, name: name(m), weight: Weight(key, name(m))}
	}
	slices.SortFunc(candidates, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	top := make([]M, 0, min(n, len(candidates)))
	for _, w := range candidates[:min(n, len(candidates))] {
		top = append(top, w.member)
	}
	return top
}
