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

// Known says how new a sender's knowledge is.
type Known struct {
	// Config is the version of the configuration in force, 0 for none.
	Config int64
	// ListRevision and ListPrint describe the list of servers; ListAge is the
	// time since it was read from the store.
	ListRevision int64
	ListPrint    uint64
	ListAge      time.Duration
}

// Fault is a server that an engine or the sender itself found at fault.
type Fault struct {
	Server string
	Age    time.Duration
}

// News is what one side of a Sync tells. The payloads are set only if the other
// side is known to lack them.
type News struct {
	From netip.AddrPort
	Zone string
	// Draining entries are about to end.
	Draining bool `msgpack:",omitempty"`
	// StoreWorks says that the sender reached the store lately, Orderer that it
	// gives the orders to engines.
	StoreWorks bool             `msgpack:",omitempty"`
	Orderer    bool             `msgpack:",omitempty"`
	Entries    []netip.AddrPort `msgpack:",omitempty"`
	Known      Known
	// Loads is what the sender has in flight at engines.
	Loads   []savorypath.Load     `msgpack:",omitempty"`
	Faults  []Fault               `msgpack:",omitempty"`
	Config  *savoryrouting.Config `msgpack:",omitempty"`
	Listing *savoryroster.Listing `msgpack:",omitempty"`
}

var _ message = (*News)(nil)

// Check returns an error if the message is not well formed.
func (n *News) Check() error {
	if !n.From.IsValid() {
		return errors.New("News.From: is not an IP address with a port")
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
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, news *News) (*News, error) {
	answer := new(News)
	return answer, c.call(ctx, to, methodSync, news, answer)
}
