// Package savoryadmin defines the messages of the operators' listener of an
// entry, and its client.
package savoryadmin

import (
	"net/netip"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryverdict"
)

// Headers of requests and answers.
const (
	// HeaderRevision carries the revision of a document or section.
	HeaderRevision = "Savorycart-Revision"
	// HeaderVerdict carries the verdict of a refused request.
	HeaderVerdict = "Savorycart-Verdict"
)

// Status is what an entry says of itself.
type Status struct {
	Address  netip.AddrPort
	Zone     string
	Region   string
	Version  string
	Revision uint64
	Sections []SectionStatus
	Ready    bool
	// NotReady says why the entry is not ready.
	NotReady string `json:",omitempty"`
	Draining bool
	// Watcher says that the entry watches the store for its zone.
	Watcher bool
	// Keys says that the entry holds a lease for the records of idempotency
	// keys; without one it asks for it at the next request under a key.
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

// PeerStatus is another entry as this one sees it.
type PeerStatus struct {
	Address netip.AddrPort
	Zone    string
	Live    bool
}

// Accepted answers a submission.
type Accepted struct {
	Revision uint64
}

// LeaveRequest asks to mark a backend server as leaving, or not.
type LeaveRequest struct {
	Leaving bool
}

// ErrorBody is the form of errors: that of the OpenAI API with the verdict
// added.
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
