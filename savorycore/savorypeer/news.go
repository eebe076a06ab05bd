package savorypeer

// This file defines the message by which the entries of a gate keep each other
// up to date: what each knows, and what the other lacks of it.

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
)

// Versions says how new a sender's knowledge is.
type Versions struct {
	// Config is the version of the configuration in force, 0 for none.
	Config int64
	// ListRevision and ListPrint describe the list of servers; ListAge is the
	// time since it was read from the store.
	ListRevision int64
	ListPrint    uint64
	ListAge      time.Duration
	// ListReading identifies the reading. An entry takes the age of a reading
	// only once: each hop adds its delay, so an age that came back would make
	// the list look newer than it is.
	ListReading uint64
}

// Entry is an entry that the sender knows to live.
type Entry struct {
	Address netip.AddrPort
	Zone    string
	// Strength is the processor share of the entry's VM in cores: the strong
	// ones relay for the others.
	Strength float64
}

// ServerFailure is a server that an engine or the sender itself found at fault.
type ServerFailure struct {
	Server string
	Age    time.Duration
}

// SyncState is what one side of a Sync tells. The payloads are set only if the other
// side is known to lack them.
type SyncState struct {
	From Entry
	// Draining entries are about to end.
	Draining bool `msgpack:",omitempty"`
	// StoreWorks says that the sender reached the store lately, Orderer that it
	// gives the orders to engines.
	StoreWorks bool    `msgpack:",omitempty"`
	Orderer    bool    `msgpack:",omitempty"`
	Entries    []Entry `msgpack:",omitempty"`
	Known      Versions
	// Loads is what the sender has in flight at engines. If it is Relayed, those
	// for which it relays are part of it, but for the receiver.
	Loads   []savorypath.Load     `msgpack:",omitempty"`
	Relayed bool                  `msgpack:",omitempty"`
	Faults  []ServerFailure       `msgpack:",omitempty"`
	Config  *savoryrouting.Config `msgpack:",omitempty"`
	Listing *savoryroster.Listing `msgpack:",omitempty"`
}

var _ message = (*SyncState)(nil)

// Check returns an error if the message is not well formed.
func (n *SyncState) Check() error {
	if !n.From.Address.IsValid() {
		return errors.New("News.From.Address: is not an IP address with a port")
	}
	for i, e := range n.Entries {
		if !e.Address.IsValid() {
			return fmt.Errorf("News.Entries[%d].Address: is not an IP address with a port", i)
		}
	}
	if n.Known.ListAge < 0 {
		return fmt.Errorf("News.Known.ListAge: %s is below 0", n.Known.ListAge)
	}
	if n.Config != nil {
		if err := n.Config.Check(); err != nil {
			return fmt.Errorf("News.Config: %w", err)
		}
	}
	if n.Listing != nil {
		return n.Listing.Check()
	}
	return nil
}

// Sync tells news to a peer and returns the peer's.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, news *SyncState) (*SyncState, error) {
	answer := new(SyncState)
	return answer, c.call(ctx, to, methodSync, news, answer)
}
