package savoryworld

import (
	"fmt"
	"strconv"
	"strings"
)

// LayerRange is the half-open range [From, To) of a model's layers. The text
// form is "first-last", with both layers included: LayerRange{0, 12} is "0-11".
// The text form of an empty range is "".
type LayerRange struct {
	From int
	To   int
}

// Empty reports whether r contains no layers.
func (r LayerRange) Empty() bool { return r.To <= r.From }

// Count returns the number of layers in r.
func (r LayerRange) Count() int { return r.To - r.From }

// Intersect returns the layers that are in both r and s, or the zero range if
// there are none.
func (r LayerRange) Intersect(s LayerRange) LayerRange {
	overlap := LayerRange{From: max(r.From, s.From), To: min(r.To, s.To)}
	if overlap.Empty() {
		return LayerRange{}
	}
	return overlap
}

// String returns the text form of r.
func (r LayerRange) String() string {
	if r.Empty() {
		return ""
	}
	return fmt.Sprintf("%d-%d", r.From, r.To-1)
}

// MarshalText returns the text form of r. The error is always nil.
func (r LayerRange) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the text form, "first-last" or "".
func (r *LayerRange) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*r = LayerRange{}
		return nil
	}
	first, last, ok := strings.Cut(string(text), "-")
	if !ok {
		return fmt.Errorf("layer range %q is not of the form \"0-11\"", text)
	}
	from, err := strconv.Atoi(first)
	if err != nil {
		return fmt.Errorf("layer range %q: the first layer is not a number", text)
	}
	to, err := strconv.Atoi(last)
	if err != nil {
		return fmt.Errorf("layer range %q: the last layer is not a number", text)
	}
	if from < 0 || to < from {
		return fmt.Errorf("layer range %q: the last layer comes before the first", text)
	}
	*r = LayerRange{From: from, To: to + 1}
	return nil
}
