package savorygate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against spaced readings of a small configuration, and against large ones that
// come so seldom that a new version is in force too late.
func TestReadingInterval(t *testing.T) {
	const base, configTime, megabyte = 900 * time.Millisecond, 3 * time.Second, 1 << 20
	for _, c := range []struct {
		name  string
		bytes int
		took  time.Duration
		want  time.Duration
	}{
		{"small and slow", 20_000, time.Second, base},
		{"large over a fast link", megabyte, 50 * time.Millisecond, base},
		{"large over a slow link", megabyte, 500 * time.Millisecond, 2 * time.Second},
		{"bounded by the time to be in force", megabyte, 800 * time.Millisecond, 1900 * time.Millisecond},
		{"too slow to be in force in time", 4 * megabyte, 2 * time.Second, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := readingInterval(base, c.bytes, c.took, configTime)
			is.Equal(got, c.want)
		})
	}
}
