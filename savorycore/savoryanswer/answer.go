// Package savoryanswer decides whether the head of a response is the answer of a backend server.
// A faulty server may send a head in which a field is missing or spoiled; nothing that such a head
// states is true: not its status, a limit, or that the request did not run.
//
// The package does no I/O.
package savoryanswer

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Head is what the head of a response states about the response itself.
type Head struct {
	Status int
	// IDs, Signatures and Encodings are the values of the fields for the request's ID, the server's
	// signature and the coding of the body, one for each line of a field.
	IDs        []string
	Signatures []string
	Encodings  []string
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
}

// Reason names why a head is no answer.
type Reason string

// The reasons why a head is no answer.
const (
	// SignatureMissing means that the head has no signature, or an empty one.
	SignatureMissing  Reason = "SignatureMissing"
	SignatureRepeated Reason = "SignatureRepeated"
	IDRepeated        Reason = "IDRepeated"
	// BodyEncoded means that the body has a coding, which no request asks for.
	BodyEncoded Reason = "BodyEncoded"
	// NotRunContradicted means that the server states that it did not run the request, with a status
	// that it gives only to a request that it ran.
	NotRunContradicted Reason = "NotRunContradicted"
)

// Error is a head that is no answer. The request may have run.
type Error struct {
	Reason Reason
	Status int
}

var _ error = (*Error)(nil)

// Error returns the reason and the status.
func (e *Error) Error() string {
	return fmt.Sprintf("the response with status %d is no answer of the server: %s", e.Status, e.Reason)
}

// refusals are the statuses with which a server turns a request away.
var refusals = []int{
	http.StatusBadRequest, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// Check returns an *Error unless the head is an answer: a refusal, which needs no signature, or the
// signed response of a server that ran the request, whatever its status.
func (h *Head) Check() error {
	reason := h.reason()
	if reason == "" {
		return nil
	}
	return &Error{Reason: reason, Status: h.Status}
}

// reason returns why the head is no answer, "" if it is one.
func (h *Head) reason() Reason {
	switch {
	case len(h.IDs) > 1:
		return IDRepeated
	case h.NotRun && slices.Contains(refusals, h.Status):
		return ""
	case h.NotRun:
		return NotRunContradicted
	case len(h.Signatures) > 1:
		return SignatureRepeated
	case len(h.Signatures) == 0 || strings.TrimSpace(h.Signatures[0]) == "":
		return SignatureMissing
	case len(h.Encodings) > 0:
		return BodyEncoded
	}
	return ""
}
