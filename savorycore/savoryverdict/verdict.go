// Package savoryverdict defines errors that state whether a failed request may
// have run.
//
// Every error that leaves the system has a Verdict. Retries, releases of
// idempotency claims and the response to the caller depend on it. Set the
// verdict where the request was sent; code further up the call stack may change
// only NotRun to MayHaveRun.
package savoryverdict

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Verdict states whether a request may have run at a backend server.
type Verdict string

const (
	// NotRun means that no backend server began to run the request.
	NotRun Verdict = "NotRun"
	// MayHaveRun means that a backend server may have run all or part of the
	// request.
	MayHaveRun Verdict = "MayHaveRun"
	// Ran means that a backend server ran the request to its end.
	Ran Verdict = "Ran"
)

// Valid reports whether v is one of the three verdicts.
func (v Verdict) Valid() bool {
	return v == NotRun || v == MayHaveRun || v == Ran
}

// Error is a failure with its verdict, in the form in which it is written to a
// caller.
type Error struct {
	Verdict Verdict
	// Status is the HTTP status code of the response.
	Status int
	// Code is a stable identifier for programs, such as "UnknownKey".
	Code string
	// Field names the invalid part of the input; it may be empty.
	Field   string
	Message string
	// RetryAfter is the time after which the caller may retry; 0 means not
	// stated.
	RetryAfter time.Duration
	// Err is the cause. It may be nil and is not written to callers.
	Err error
}

var _ error = (*Error)(nil)

// Error returns the code, the field, the message, the verdict and the cause on
// one line.
func (e *Error) Error() string {
	text := e.Code
	if e.Field != "" {
		text += " " + e.Field
	}
	text = fmt.Sprintf("%s: %s (%s)", text, e.Message, e.Verdict)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of err, or MayHaveRun if err has none, since an error
// that is not an *Error does not show that the request did not run.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) && e.Verdict.Valid() {
		return e.Verdict
	}
	return MayHaveRun
}

// OfDial returns NotRun if err shows that no connection was established, and
// MayHaveRun otherwise.
func OfDial(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return MayHaveRun
}

// Wrap returns err as an *Error. An error that is not an *Error gets the status
// 502, the code BackendServerFailed and the verdict MayHaveRun.
func Wrap(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Verdict: MayHaveRun,
		Status:  http.StatusBadGateway,
		Code:    "BackendServerFailed",
		Message: "the backend server failed",
		Err:     err,
	}
}

// Invalid returns a 400 error with the verdict NotRun for an invalid field of a
// request.
func Invalid(field, format string, args ...any) *Error {
	return &Error{
		Verdict: NotRun,
		Status:  http.StatusBadRequest,
		Code:    "InvalidField",
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	}
}

// Unavailable returns a 503 error with the verdict NotRun and a time after
// which the caller may retry.
func Unavailable(code string, after time.Duration, format string, args ...any) *Error {
	return &Error{
		Verdict:    NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: after,
	}
}
