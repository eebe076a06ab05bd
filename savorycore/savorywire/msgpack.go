// Package savorywire encodes and decodes the system's own binary messages,
// which are MessagePack with field names as keys.
package savorywire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode writes v. Equal values give equal bytes, unless they hold maps.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return buf.Bytes(), nil
}

// Decode reads body into v. Every fault of the input is an error: the decoder
// panics on some, such as nil in place of a time.
func Decode(body []byte, v any) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("decode %T: %v", v, panicValue)
		}
	}()
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
