package savoryquarantine

// This file defines the parts of prompts and the decisions on them.

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"
)

// Part is a part of a prompt, or another property that requests to a service share.
type Part struct {
	// States are exchanged between entries, so their records are encoded without field
	// names.
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	Service string
	Model   string
	ID      string
}

// String returns the service, the model and the ID of the part.
func (p Part) String() string { return p.Service + "/" + p.Model + "/" + p.ID }

func compareParts(a, b Part) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.ID, b.ID))
}

// Prompt is what a request shares with others: its parts in order. Owner identifies what
// is its own.
type Prompt struct {
	Parts []Part
	Owner uint64
}

// Server is an incarnation of a server.
type Server struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	ID      string
	Born    time.Time
	Address netip.AddrPort
}

func (s Server) key() serverKey { return serverKey{id: s.ID, born: s.Born.UnixMilli()} }

type serverKey struct {
	id   string
	born int64
}

// Decision is what is done with a request.
type Decision string

// The decisions.
const (
	Send Decision = "Send"
	// Hold means that it is about to be known whether a part is sound. The request waits
	// and asks again.
	Hold Decision = "Hold"
	// Refuse means that a part is quarantined.
	Refuse Decision = "Refuse"
)

// Admission is the decision on a request. Part and RetryAfter are set with Refuse, Part
// also with Hold; Trial is set if the request tries a quarantined part.
type Admission struct {
	Decision   Decision
	Part       Part
	RetryAfter time.Duration
	Trial      bool
}

// Change is a change of what is known of a part.
type Change struct {
	Part        Part
	Quarantined bool
	// Ends is the number of servers that ended under the part, and Entry the name of the
	// entry that decided.
	Ends  int
	Entry string
}

// Check returns an error that names the first invalid field, or nil.
func (p Part) Check() error {
	if p.Service == "" || p.ID == "" {
		return fmt.Errorf("Part: service %q or ID %q is empty", p.Service, p.ID)
	}
	return nil
}
