// Package savorywire encodes and decodes the binary messages and records of the
// system. The encoding is MessagePack with field names as keys.
package savorywire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the encoding of v. Equal values have equal encodings, unless
// they contain maps.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return buf.Bytes(), nil
}

// Decode decodes body into v. Every invalid input is an error. The MessagePack
// decoder panics on some, such as nil in place of a time; Decode recovers and
// returns the panic as an error.
func Decode(body []byte, v any) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("decode %T: %v", v, panicValue)
		}
	}()
	if err := checkDepth(body); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
