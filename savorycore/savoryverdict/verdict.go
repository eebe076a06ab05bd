// Package savoryverdict says what is known about a request that failed.
//
// Every error that leaves the system carries a Verdict. Retries, releases of
// idempotency claims and the answer that a caller sees are all decided from
// it, so a Verdict is set where the fact is known and only ever weakened (from
// NotRun to MayHaveRun) on the way up.
package savoryverdict

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Verdict says whether a request may have run at a backend server.
type Verdict string

// The verdicts.
const (
	// NotRun means that no backend server began to run the request.
	NotRun Verdict = "NotRun"
	// MayHaveRun means that a backend server may have run all or part of it.
	MayHaveRun Verdict = "MayHaveRun"
	// Ran means that a backend server ran the request to its end.
	Ran Verdict = "Ran"
)

// Valid reports whether v is one of the three verdicts.
func (v Verdict) Valid() bool {
	return v == NotRun || v == MayHaveRun || v == Ran
}

// Error is a failure with its verdict, as it is written to a caller.
type Error struct {
	Verdict Verdict
	// Status is the HTTP status code of the answer.
	Status int
	// Code is a stable word for programs, such as "UnknownKey".
	Code string
	// Field names the part of the input at fault; it may be empty.
	Field string
	// Message explains the failure to a person.
	Message string
	// RetryAfter is when the caller may ask again; 0 means not stated.
	RetryAfter time.Duration
	// Err is the cause; it may be nil and is not written to callers.
	Err error
}

var _ error = (*Error)(nil)

// Error returns code, field, message and verdict on one line.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries, or MayHaveRun when it carries none:
// an error of unknown origin proves nothing about the request.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) && e.Verdict.Valid() {
		return e.Verdict
	}
	return MayHaveRun
}

// OfDial returns NotRun if err says that no connection was made, and MayHaveRun
// otherwise.
func OfDial(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return MayHaveRun
}

// Wrap returns err as an *Error, giving one of unknown origin the status 502
// and the verdict MayHaveRun.
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

// Invalid returns the 400 error for a wrong field of a request.
func Invalid(field, format string, args ...any) *Error {
	return &Error{
		Verdict: NotRun,
		Status:  http.StatusBadRequest,
		Code:    "InvalidField",
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	}
}

// Unavailable returns a 503 error with the verdict NotRun.
func Unavailable(code string, after time.Duration, format string, args ...any) *Error {
	return &Error{
		Verdict:    NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: after,
	}
}
