// Package savorypeer carries messages between entries. It uses gRPC with a
// MessagePack codec on the domain types, so that no code is generated.
//
// There are five calls. Exchange is the heartbeat: both sides send their
// revision, the digest of their leaving marks and their demands. Offer
// announces a new revision of the configuration and forwards new marks. Fetch
// requests a root, buckets or marks that the caller lacks. Sync exchanges the
// state that entries share. ConfigPart requests a part of a configuration.
// Each message is checked when it is decoded.
package savorypeer

import (
	"errors"
	"fmt"
	"net/netip"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorylimit"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savoryquarantine"
)

const (
	// maxDemands bounds the demands in one message.
	maxDemands = 4096
	// maxMarks bounds the marks in one message.
	maxMarks = 16384
	// MaxBuckets bounds the buckets in one message.
	MaxBuckets = 64
)

// Heartbeat is the message that each side of an Exchange sends.
type Heartbeat struct {
	Address    netip.AddrPort
	Zone       string
	Region     string
	Draining   bool                 `msgpack:",omitempty"`
	Revision   uint64               `msgpack:",omitempty"`
	MarkDigest uint64               `msgpack:",omitempty"`
	Demands    []savorylimit.Demand `msgpack:",omitempty"`
	// PromptPrint is the fingerprint of what the sender knows of prompts that end engines.
	PromptPrint uint64 `msgpack:",omitempty"`
}

// Peer returns the sender.
func (h *Heartbeat) Peer() savorymember.Peer {
	return savorymember.Peer{Address: h.Address, Zone: h.Zone, Region: h.Region}
}

// Check returns an error if the message is not well formed.
func (h *Heartbeat) Check() error {
	if !h.Address.IsValid() {
		return errors.New("Heartbeat.Address: is not an IP address with a port")
	}
	if h.Zone == "" {
		return errors.New("Heartbeat.Zone: is empty")
	}
	if len(h.Demands) > maxDemands {
		return fmt.Errorf("Heartbeat.Demands: %d entries, more than %d", len(h.Demands), maxDemands)
	}
	return nil
}

// Offer announces new state. Marks are small and are sent at once; a receiver
// that lacks the revision fetches it.
type Offer struct {
	// Revision is the revision in force at the sender.
	Revision uint64              `msgpack:",omitempty"`
	Marks    []savorymember.Mark `msgpack:",omitempty"`
	// Quarantine is what the sender knows of prompts that end engines, if that is new.
	Quarantine *savoryquarantine.State `msgpack:",omitempty"`
	// From is the sender, from which the receiver can fetch the state that it
	// lacks.
	From netip.AddrPort
}

// Check returns an error if the message is not well formed.
func (o *Offer) Check() error {
	if !o.From.IsValid() {
		return errors.New("Offer.From: is not an IP address with a port")
	}
	if o.Quarantine != nil {
		if err := o.Quarantine.Check(); err != nil {
			return fmt.Errorf("Offer.Quarantine: %w", err)
		}
	}
	return checkMarks(o.Marks)
}

// Ack answers an Offer with the state in force at the receiver after the Offer.
type Ack struct {
	Revision    uint64
	MarkDigest  uint64
	PromptPrint uint64 `msgpack:",omitempty"`
}

// Check accepts every Ack.
func (a *Ack) Check() error { return nil }

// Fetch requests state.
type Fetch struct {
	// Config requests the configuration if it is newer than Since.
	Config bool   `msgpack:",omitempty"`
	Since  uint64 `msgpack:",omitempty"`
	// Marks requests all marks.
	Marks bool `msgpack:",omitempty"`
	// Quarantine requests what the receiver knows of prompts that end engines.
	Quarantine bool `msgpack:",omitempty"`
	// Buckets lists the requested buckets.
	Buckets []savoryconfig.BucketID `msgpack:",omitempty"`
}

// Check returns an error if the message is not well formed.
func (f *Fetch) Check() error {
	if len(f.Buckets) > MaxBuckets {
		return fmt.Errorf("Fetch.Buckets: %d buckets, more than %d", len(f.Buckets), MaxBuckets)
	}
	return nil
}

// State answers a Fetch. Buckets that the sender lacks are left out.
type State struct {
	// Steps leads from the revision Since of the Fetch to the revision in force.
	Steps []savoryconfig.Step `msgpack:",omitempty"`
	// Root is an encoded savoryconfig.Root. It is set if no steps lead to the
	// revision in force.
	Root    []byte                `msgpack:",omitempty"`
	Buckets []savoryconfig.Bucket `msgpack:",omitempty"`
	Marks   []savorymember.Mark   `msgpack:",omitempty"`
	// Quarantine is what the sender knows of prompts that end engines.
	Quarantine *savoryquarantine.State `msgpack:",omitempty"`
}

// Check returns an error if the message is not well formed.
func (s *State) Check() error {
	if len(s.Buckets) > MaxBuckets {
		return fmt.Errorf("State.Buckets: %d buckets, more than %d", len(s.Buckets), MaxBuckets)
	}
	for i := range s.Steps {
		if err := s.Steps[i].Check(); err != nil {
			return err
		}
	}
	for i := range s.Buckets {
		if err := s.Buckets[i].Check(); err != nil {
			return err
		}
	}
	if s.Quarantine != nil {
		if err := s.Quarantine.Check(); err != nil {
			return fmt.Errorf("State.Quarantine: %w", err)
		}
	}
	return checkMarks(s.Marks)
}

func checkMarks(marks []savorymember.Mark) error {
	if len(marks) > maxMarks {
		return fmt.Errorf("marks: %d entries, more than %d", len(marks), maxMarks)
	}
	for _, m := range marks {
		if err := m.Check(); err != nil {
			return err
		}
	}
	return nil
}
