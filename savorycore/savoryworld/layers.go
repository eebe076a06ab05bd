package savoryworld

import (
	"fmt"
	"strconv"
	"strings"
)

// LayerRange is the half-open range of layers [From, To) of a model. Its text
// form names the first and the last layer: "0-11".
type LayerRange struct {
	From int
	To   int
}

// Empty reports whether the range holds no layer.
func (r LayerRange) Empty() bool { return r.To <= r.From }

// Count returns the number of layers.
func (r LayerRange) Count() int { return r.To - r.From }

// Intersect returns the layers that both ranges hold.
func (r LayerRange) Intersect(s LayerRange) LayerRange {
	both := LayerRange{From: max(r.From, s.From), To: min(r.To, s.To)}
	if both.Empty() {
		return LayerRange{}
	}
	return both
}

// String returns the text form.
func (r LayerRange) String() string {
	if r.Empty() {
		return ""
	}
	return fmt.Sprintf("%d-%d", r.From, r.To-1)
}

// MarshalText writes the text form.
func (r LayerRange) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads "first-last", or "" for no layers.
func (r *LayerRange) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*r = LayerRange{}
		return nil
	}
	first, last, ok := strings.Cut(string(text), "-")
	if !ok {
		return fmt.Errorf("layers %q are not of the form \"0-11\"", text)
	}
	from, err := strconv.Atoi(first)
	if err != nil {
		return fmt.Errorf("layers %q: first layer is not a number", text)
	}
	to, err := strconv.Atoi(last)
	if err != nil {
		return fmt.Errorf("layers %q: last layer is not a number", text)
	}
	if from < 0 || to < from {
		return fmt.Errorf("layers %q: the last layer comes before the first", text)
	}
	*r = LayerRange{From: from, To: to + 1}
	return nil
}
