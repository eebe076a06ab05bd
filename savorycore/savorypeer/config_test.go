package savorypeer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savoryrouting"
)

func sampleConfig() *savoryrouting.Config {
	return &savoryrouting.Config{
		Version:  3,
		Routes:   []savoryrouting.Route{{Name: "r", Host: "h", Prefix: "/", Kind: savoryrouting.Idempotent, Timeout: time.Second, Shares: []savoryrouting.Share{{Service: "s", Weight: 1}}}},
		Services: []savoryrouting.Service{{Name: "s"}},
	}
}

// Guards against a configuration that is put in force although bytes of its packed form
// were lost or changed, and against one that is not the announced version.
func TestPackedConfigIsChecked(t *testing.T) {
	is := is.New(t)
	p, err := PackConfig(sampleConfig())
	is.NoErr(err)
	got, err := p.Unpack()
	is.NoErr(err)
	is.Equal(got, sampleConfig())
	for i := range p.Body {
		changed := *p
		changed.Body = append([]byte(nil), p.Body...)
		changed.Body[i] ^= 1
		_, err := changed.Unpack()
		is.True(err != nil)
	}
	short := *p
	short.Body = p.Body[:len(p.Body)-1]
	_, err = short.Unpack()
	is.True(err != nil)
	other := *p
	other.Version++
	_, err = other.Unpack()
	is.True(err != nil)
}

// Guards against a part that lies outside the announced size, or brings no progress.
func TestConfigPartCheck(t *testing.T) {
	is := is.New(t)
	for _, p := range []ConfigPart{
		{}, {Version: 1, Size: 3, Body: []byte("abc")}, {Version: 1, Size: 3, Offset: 2, Body: []byte("c")},
	} {
		is.NoErr(p.Check())
	}
	for _, p := range []ConfigPart{
		{Version: 1},
		{Version: 1, Size: 3},
		{Version: 1, Size: 3, Offset: 3, Body: []byte("c")},
		{Version: 1, Size: 3, Offset: -1, Body: []byte("c")},
		{Version: 1, Size: maxMessageBytes + 1, Body: []byte("c")},
	} {
		is.True(p.Check() != nil)
	}
	is.True((&ConfigRequest{Offset: -1}).Check() != nil)
}
