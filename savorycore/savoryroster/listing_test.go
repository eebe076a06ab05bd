package savoryroster

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorywire"
)

// Pattern: a leader sends the same list of servers to hundreds of entries. Guards against a
// list that is encoded for each of them.
func TestListingIsEncodedOnce(t *testing.T) {
	is := is.New(t)
	listing := func(beat int64) *Listing {
		l := &Listing{Revision: beat}
		for i := range 200 {
			l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("i-%010x", i), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:8244"), Zone: "z", Beat: beat})
		}
		return l
	}
	l := listing(1)
	first, err := savorywire.Encode(l)
	is.NoErr(err)
	const maxAllocs = 20 // those of the message; a list of 200 servers takes more than one for each
	is.True(testing.AllocsPerRun(10, func() {
		again, err := savorywire.Encode(l)
		is.NoErr(err)
		is.True(bytes.Equal(first, again))
	}) < maxAllocs)
	other, err := savorywire.Encode(listing(2))
	is.NoErr(err)
	is.True(!bytes.Equal(first, other))
	got := new(Listing)
	is.NoErr(savorywire.Decode(first, got))
	is.Equal(got.Servers, l.Servers)
}
