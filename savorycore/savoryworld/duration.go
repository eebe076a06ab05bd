package savoryworld

import (
	"fmt"
	"time"
)

// Duration is a time.Duration written as text, such as "72ms".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalText writes d in the form that time.ParseDuration reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form of time.ParseDuration; a negative duration is
// an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("not a duration such as \"72ms\": %w", err)
	}
	if v < 0 {
		return fmt.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}
