// Package savoryadmin provides the messages of the operators' listener of an
// entry, and a client that calls it.
package savoryadmin

import (
	"net/netip"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryverdict"
)

// Headers of requests and responses.
const (
	// HeaderRevision carries the revision of a document or section.
	HeaderRevision = "Savorycart-Revision"
	// HeaderVerdict carries the verdict of a refused request.
	HeaderVerdict = "Savorycart-Verdict"
)

// Status is an entry's report of its state.
type Status struct {
	Address  netip.AddrPort
	Zone     string
	Region   string
	Version  string
	Revision uint64
	Sections []SectionStatus
	Ready    bool
	// NotReady gives the reason why the entry is not ready.
	NotReady string `json:",omitempty"`
	Draining bool
	// Watcher is set if the entry watches the store for its zone.
	Watcher bool
	// Keys is set if the entry holds a lease for the records of idempotency keys.
	// An entry without a lease requests it at the next request with an
	// idempotency key.
	Keys     bool
	InFlight int
	Peers    []PeerStatus
	Servers  []savorychain.ServerStatus
	Leaving  []savorymember.Mark
	Traffic  savorypeer.Traffic
}

// SectionStatus is the revision that last changed a section, and its owner.
type SectionStatus struct {
	Section  savoryconfig.Section
	Revision uint64
	Owner    string
}

// PeerStatus is the state of another entry according to the reporting entry.
type PeerStatus struct {
	Address netip.AddrPort
	Zone    string
	Live    bool
}

// Accepted is the response to an accepted submission.
type Accepted struct {
	Revision uint64
}

// LeaveRequest sets or clears the leaving mark of a backend server.
type LeaveRequest struct {
	Leaving bool
}

// ErrorBody is the body of an error response: the format of the OpenAI API with
// the verdict added.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Message string                `json:"message"`
	Type    string                `json:"type"`
	Param   string                `json:"param,omitempty"`
	Code    string                `json:"code"`
	Verdict savoryverdict.Verdict `json:"Verdict"`
}
