package savorywire

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	At    time.Time
	Names []string
}

// Guards against a panic of the decoder on nil in place of a time, which a fuzz
// run found. Decode must return an error.
func TestDecodeNilTime(t *testing.T) {
	is := is.New(t)
	is.True(Decode([]byte("\x81\xa2At\xc0"), new(sample)) != nil)
}

// Guards against an encoding that differs between runs or loses a field: equal
// values must have equal encodings, which decode to the same value.
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

// Guards against a deeply nested message that ends the process, which no recover catches: the
// store's largest values are below a megabyte, messages of peers below 16.
func TestDecodeDeeplyNested(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{1 << 10, 1 << 20, 16 << 20} {
		body := bytes.Repeat([]byte{0x91}, size) // arrays of one element
		is.True(Decode(body, new(sample)) != nil)
		is.True(Decode(append([]byte("\x81\xa1x"), body...), new(sample)) != nil) // an unknown field
	}
}
