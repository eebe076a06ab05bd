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
	// width is the size of the length that follows the code, extra that of the type of an
	// extension.
	width, extra := uint64(0), uint64(0)
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0, nil
	case msgpcode.Uint16, msgpcode.Int16:
		return 3, 0, nil
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0, nil
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0, nil
	case msgpcode.FixExt1, msgpcode.FixExt2, msgpcode.FixExt4, msgpcode.FixExt8, msgpcode.FixExt16:
		return 2 + 1<<(c-msgpcode.FixExt1), 0, nil
	case msgpcode.Str8, msgpcode.Bin8:
		width = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Array16, msgpcode.Map16:
		width = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Array32, msgpcode.Map32:
		width = 4
	case msgpcode.Ext8:
		width, extra = 1, 1
	case msgpcode.Ext16:
		width, extra = 2, 1
	case msgpcode.Ext32:
		width, extra = 4, 1
	default:
		return 1, 0, nil // nil, a Boolean, or a code that the decoder refuses
	}
	if uint64(len(body)) < 1+width {
		return 0, 0, errTruncated
	}
	var length [8]byte
	copy(length[8-width:], body[1:1+width])
	n := binary.BigEndian.Uint64(length[:])
	switch c {
	case msgpcode.Array16, msgpcode.Array32:
		return 1 + width, n, nil
	case msgpcode.Map16, msgpcode.Map32:
		return 1 + width, 2 * n, nil
	}
	return 1 + width + extra + n, 0, nil
}
