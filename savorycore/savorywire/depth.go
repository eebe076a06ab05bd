package savorywire

// This file bounds how deeply a message is nested, before it is decoded: the decoder calls
// itself for each level, and a stack that overflows ends the process.

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the number of levels of arrays and maps in a message. The types of the system
// have less than ten.
const maxDepth = 64

var (
	errTooDeep   = errors.New("the message is nested too deeply")
	errTruncated = errors.New("the message ends early")
)

// checkDepth returns an error if the first value of body has more than maxDepth levels, or
// ends early.
func checkDepth(body []byte) error {
	// open holds the number of values that are still to come at each level.
	open := []uint64{1}
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		size, values, err := header(body)
		if err != nil {
			return err
		}
		if size > uint64(len(body)) {
			return errTruncated
		}
		body = body[size:]
		if values == 0 {
			continue
		}
		if len(open) > maxDepth {
			return errTooDeep
		}
		open = append(open, values)
	}
	return nil
}

// layout is how the values of a code are encoded after it: the size of the bytes that follow
// in any case, the width of the length, and the number of values for each unit of the length,
// 0 if the length counts bytes.
type layout struct {
	fixed  uint64
	width  uint64
	values uint64
}

var layouts = map[byte]layout{
	msgpcode.Uint8: {fixed: 1}, msgpcode.Uint16: {fixed: 2}, msgpcode.Uint32: {fixed: 4}, msgpcode.Uint64: {fixed: 8},
	msgpcode.Int8: {fixed: 1}, msgpcode.Int16: {fixed: 2}, msgpcode.Int32: {fixed: 4}, msgpcode.Int64: {fixed: 8},
	msgpcode.Float: {fixed: 4}, msgpcode.Double: {fixed: 8},
	// Extensions have a type of one byte.
	msgpcode.FixExt1: {fixed: 2}, msgpcode.FixExt2: {fixed: 3}, msgpcode.FixExt4: {fixed: 5}, msgpcode.FixExt8: {fixed: 9}, msgpcode.FixExt16: {fixed: 17},
	msgpcode.Ext8: {fixed: 1, width: 1}, msgpcode.Ext16: {fixed: 1, width: 2}, msgpcode.Ext32: {fixed: 1, width: 4},
	msgpcode.Str8: {width: 1}, msgpcode.Str16: {width: 2}, msgpcode.Str32: {width: 4},
	msgpcode.Bin8: {width: 1}, msgpcode.Bin16: {width: 2}, msgpcode.Bin32: {width: 4},
	msgpcode.Array16: {width: 2, values: 1}, msgpcode.Array32: {width: 4, values: 1},
	msgpcode.Map16: {width: 2, values: 2}, msgpcode.Map32: {width: 4, values: 2},
}

// header returns the size of a value in bytes, without the values inside it, and their
// number.
func header(body []byte) (size, values uint64, err error) {
	if len(body) == 0 {
		return 0, 0, errTruncated
	}
	c := body[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 1, 0, nil
	case msgpcode.IsFixedMap(c):
		return 1, 2 * uint64(c&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(c):
		return 1, uint64(c & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(c):
		return 1 + uint64(c&msgpcode.FixedStrMask), 0, nil
	}
	// A code without a layout is nil, a Boolean, or one that the decoder refuses.
	l := layouts[c]
	if uint64(len(body)) < 1+l.width {
		return 0, 0, errTruncated
	}
	var length [8]byte
	copy(length[8-l.width:], body[1:1+l.width])
	n := binary.BigEndian.Uint64(length[:])
	if l.values > 0 {
		return 1 + l.width, n * l.values, nil
	}
	return 1 + l.fixed + l.width + n, 0, nil
}
