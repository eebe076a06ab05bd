package savorygate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that may not be repeated and count as finished within the mean of
// all durations, although some of them take longer.
func TestNeededTime(t *testing.T) {
	is := is.New(t)
	var d durations
	_, ok := d.needed("s", true)
	is.True(!ok)
	for i := range 160 {
		took := 100 * time.Millisecond
		if i%4 == 0 {
			took = time.Second
		}
		d.record("s", took)
		needed, ok := d.needed("s", false)
		is.True(ok)
		is.True(needed >= 600*time.Millisecond)
	}
	mean, _ := d.needed("s", true)
	is.True(mean > 200*time.Millisecond && mean < 450*time.Millisecond)
	_, ok = d.needed("other", false)
	is.True(!ok)
}
