package savorywire

// This file defines Cache, with which a value that is sent to many is encoded once.

import (
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"
)

// Cache holds the encoding of a value that doesn't change. The zero value is ready for use,
// by several goroutines at once.
type Cache struct{ body atomic.Pointer[[]byte] }

// Encode writes the encoding of v, which must be the same value on each call.
func (c *Cache) Encode(enc *msgpack.Encoder, v any) error {
	body := c.body.Load()
	if body == nil {
		encoded, err := Encode(v)
		if err != nil {
			return err
		}
		body = &encoded
		c.body.Store(body)
	}
	return enc.Encode(msgpack.RawMessage(*body))
}
