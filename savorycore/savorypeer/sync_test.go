package savorypeer

import (
	"net/netip"
	"os"
	"testing"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorypath"
)

// Guards against a fleet of two builds in which one cannot read the other's state: the
// build before encoded loads and entries with field names.
func TestSyncStateWithFieldNames(t *testing.T) {
	is := is.New(t)
	body, err := os.ReadFile("testdata/news-with-field-names.msgpack")
	is.NoErr(err)
	s := new(SyncState)
	is.NoErr(codec{}.Unmarshal(body, s))
	is.Equal(s.Loads, []savorypath.Load{{Server: "oak-1", Requests: 3, Memory: 2.5, First: 1}})
	is.Equal(s.Entries, []Entry{{Address: netip.MustParseAddrPort("10.0.0.1:7001"), Zone: "north-1", Strength: 1.5}})
}
