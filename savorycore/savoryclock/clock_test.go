package savoryclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a Jump that moves the steady clock, or not the time of day: the tests
// that use it would then show nothing.
func TestJump(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, seconds := range []int{7, -7, 2400} {
		jumped := Jump(now, seconds)
		is.Equal(jumped.Sub(now), time.Duration(0))
		is.Equal(jumped.UnixNano()-now.UnixNano(), int64(seconds)*int64(time.Second))
	}
}
