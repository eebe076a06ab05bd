package savorynotice

// This file reads notices from the headers of responses.

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Fields are the names of the header fields in which servers state a limit, as a decimal
// number of requests per second, and that they leave, as "1". They ask for a pause by
// Retry-After, in seconds.
type Fields struct {
	Limit   string
	Leaving string
}

const retryAfter = "Retry-After"

// FieldError is a header field whose value is not valid.
type FieldError struct {
	Field   string
	Message string
}

var _ error = (*FieldError)(nil)

// Error returns the name of the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

// Read reads the notice in a response. A server asks for a pause only where it turns the
// request away with status 503. The error joins a *FieldError for each field that is not
// valid; the other fields hold.
func (f Fields) Read(status int, h http.Header) (Notice, error) {
	n := Notice{Leaving: h.Get(f.Leaving) == "1"}
	limit, limitErr := readNumber(h, f.Limit, CheckLimit)
	n.Limit, n.LimitUnknown = limit, limitErr != nil
	if status != http.StatusServiceUnavailable {
		return n, limitErr
	}
	_, pauseErr := readNumber(h, retryAfter, func(seconds float64) (err error) {
		n.Pause, err = PauseOf(seconds)
		return err
	})
	return n, errors.Join(limitErr, pauseErr)
}

// readNumber reads a field that holds one number, which check accepts. It returns 0 if the
// header lacks the field.
func readNumber(h http.Header, name string, check func(float64) error) (float64, error) {
	values := h.Values(name)
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) > 1 {
		return 0, &FieldError{Field: name, Message: fmt.Sprintf("is given %d times", len(values))}
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, &FieldError{Field: name, Message: fmt.Sprintf("%q is not a number", values[0])}
	}
	// A number out of range is infinite, or 0.
	if err := check(v); err != nil {
		return 0, &FieldError{Field: name, Message: err.Error()}
	}
	return v, nil
}
