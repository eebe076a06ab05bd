package savoryworld

import (
	"fmt"
	"time"
)

// Duration is a time.Duration whose text form is that of time.ParseDuration,
// such as "72ms".
type Duration time.Duration

// AsDuration converts d to a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalText returns the text form of d. The error is always nil.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the text form. A negative duration is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration is not of the form \"72ms\": %w", err)
	}
	if v < 0 {
		return fmt.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}
