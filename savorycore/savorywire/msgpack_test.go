package savorywire

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	At    time.Time
	Names []string
}

// Nil in place of a time made the decoder panic; a fuzz run found it.
func TestDecodeNilTime(t *testing.T) {
	is := is.New(t)
	is.True(Decode([]byte("\x81\xa2At\xc0"), new(sample)) != nil)
}

func TestEncodeIsStable(t *testing.T) {
	is := is.New(t)
	v := sample{At: time.Unix(3, 0), Names: []string{"a", "b"}}
	first, err := Encode(v)
	is.NoErr(err)
	second, err := Encode(v)
	is.NoErr(err)
	is.Equal(first, second)
	got := new(sample)
	is.NoErr(Decode(first, got))
	is.Equal(*got, v)
}
