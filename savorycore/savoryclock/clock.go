// Package savoryclock helps tests whose time of day jumps. A time.Time carries the
// reading of a steady clock beside the time of day, and only the first counts when two
// of them are compared. What loses that reading, such as a Unix time, jumps as well.
package savoryclock

import (
	"fmt"
	"time"
	"unsafe"
)

// secondsShift is the position of the seconds in the first word of a time.Time that
// carries a reading of the steady clock, and steadyFlag the bit that states that it does.
const (
	secondsShift = 30
	steadyFlag   = 1 << 63
)

// Jump returns t with a time of day that has jumped by whole seconds, while the steady
// clock has not. It panics if t carries no reading of the steady clock.
func Jump(t time.Time, seconds int) time.Time {
	word := (*uint64)(unsafe.Pointer(&t))
	if *word&steadyFlag == 0 {
		panic(fmt.Sprintf("%s carries no reading of the steady clock", t))
	}
	*word += uint64(int64(seconds)) << secondsShift
	return t
}
