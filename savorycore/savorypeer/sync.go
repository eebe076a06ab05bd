package savorypeer

// This file defines the message and the call by which entries synchronize their
// state.

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"savorycart.example/savorycore/savoryecho"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

// Versions gives the versions of the state that the sender holds.
type Versions struct {
	// Config is the version of the configuration in force; 0 means none.
	Config int64
	// ListRevision and ListPrint are the revision and the fingerprint of the list
	// of servers. ListAge is the time since the list was read from the store; MaxAge or more
	// means that it has not been read, but comes from a copy.
	ListRevision int64
	ListPrint    uint64
	// ListEra is the era of the store in which the list was read, StoreEra the
	// newest era that the sender knows.
	ListEra  int64 `msgpack:",omitempty"`
	StoreEra int64 `msgpack:",omitempty"`
	ListAge  time.Duration
	// ListReading identifies that read. A receiver uses the age of each read only
	// once: from a build without stamps it counts from the receipt, so every hop moves
	// the time of the read forward by the delay of the message, and an age that
	// came back would make the list look newer than it is.
	ListReading uint64
	// ConfigReading identifies the last reading of the store, ConfigAge ago, that found no
	// configuration newer than Config. It is 0 if the sender knows of none. The age of each
	// reading counts once, as with ListReading.
	ConfigReading uint64        `msgpack:",omitempty"`
	ConfigAge     time.Duration `msgpack:",omitempty"`
	// FetchesConfig is set if the sender fetches configurations itself. A sender that does
	// not, of an older build, gets them in SyncState.Config.
	FetchesConfig bool `msgpack:",omitempty"`
	// PromptPrint is the fingerprint of what the sender knows of parts of prompts that end
	// servers. TracksPrompts is set if the sender merges the states of others.
	PromptPrint   uint64 `msgpack:",omitempty"`
	TracksPrompts bool   `msgpack:",omitempty"`
	// NoticePrint is the fingerprint of the limits of servers that the sender knows.
	// TracksNotices is set if the sender merges those of others.
	NoticePrint   uint64 `msgpack:",omitempty"`
	TracksNotices bool   `msgpack:",omitempty"`
}

// ListPosition returns the store's position of the list of servers.
func (v Versions) ListPosition() savoryworld.Position {
	return savoryworld.Position{Era: v.ListEra, Revision: v.ListRevision}
}

// Entry is an entry that is live according to the sender.
type Entry struct {
	// Exchanges carry an Entry for each live entry, so it is encoded without field
	// names.
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	Address netip.AddrPort
	Zone    string
	// Strength is the processor share of the entry's VM in cores. The entries
	// with the largest shares relay for the others.
	Strength float64
}

// ServerFailure is a server that failed, as an engine reported or the sender
// detected. Age is the time since the detection.
type ServerFailure struct {
	Server string
	Age    time.Duration
}

// ServerSlowdown is how much slower than usual an engine was, as the orderer found.
// Factor is 1 if it is as fast as usual again. Age is the time since the finding.
type ServerSlowdown struct {
	Server string
	Factor float64
	Age    time.Duration
}

// SyncState is the state that one side of a Sync sends. Listing is set only if the
// other side is known to lack it, Config only if it does not fetch it itself either.
type SyncState struct {
	From Entry
	// Stamp tells the receiver how old the message may be. All ages in it are those at the
	// time when it was made.
	Stamp savoryecho.Stamp `msgpack:",omitempty"`
	// Draining is set if the sender is in a planned shutdown.
	Draining bool `msgpack:",omitempty"`
	// StoreWorks is set if the sender has recently reached the store, Orderer if
	// it gives the orders to engines.
	StoreWorks bool `msgpack:",omitempty"`
	Orderer    bool `msgpack:",omitempty"`
	// Entries are the entries that are live according to the sender; none if they are
	// as reported shortly before.
	Entries []Entry `msgpack:",omitempty"`
	Known   Versions
	// Loads is the work that the sender has in flight at engines. If Relayed is
	// set, Loads includes the work of the entries for which the sender relays,
	// except that of the receiver.
	Loads   []savorypath.Load `msgpack:",omitempty"`
	Relayed bool              `msgpack:",omitempty"`
	Faults  []ServerFailure   `msgpack:",omitempty"`
	// Slowdowns are the engines that are or were lately slower than usual.
	Slowdowns []ServerSlowdown      `msgpack:",omitempty"`
	Config    *savoryrouting.Config `msgpack:",omitempty"`
	Listing   *savoryroster.Listing `msgpack:",omitempty"`
	// Quarantine is set if the other side is known to have another state of parts of
	// prompts.
	Quarantine *savoryquarantine.State `msgpack:",omitempty"`
	// Notices are the limits of servers, if the other side is known to have others. Demands
	// is the demand of the sender's callers by service; Relayed applies as to Loads.
	Notices []savorynotice.State  `msgpack:",omitempty"`
	Demands []savorynotice.Demand `msgpack:",omitempty"`
}

var _ message = (*SyncState)(nil)

// Check returns an error if the message is not well formed.
func (n *SyncState) Check() error {
	if !n.From.Address.IsValid() {
		return errors.New("SyncState.From.Address: is not an IP address with a port")
	}
	for i, e := range n.Entries {
		if !e.Address.IsValid() {
			return fmt.Errorf("SyncState.Entries[%d].Address: is not an IP address with a port", i)
		}
	}
	if err := n.checkAges(); err != nil {
		return err
	}
	if n.Config != nil {
		if err := n.Config.Check(); err != nil {
			return fmt.Errorf("SyncState.Config: %w", err)
		}
	}
	if n.Listing != nil {
		if err := n.Listing.Check(); err != nil {
			return err
		}
	}
	if n.Quarantine != nil {
		if err := n.Quarantine.Check(); err != nil {
			return fmt.Errorf("SyncState.Quarantine: %w", err)
		}
	}
	if err := savorynotice.CheckAll(n.Notices, n.Demands); err != nil {
		return fmt.Errorf("SyncState.Notices: %w", err)
	}
	return nil
}

// checkAges checks the ages, and what tells how old the message is.
func (n *SyncState) checkAges() error {
	if err := n.Stamp.Check(); err != nil {
		return fmt.Errorf("SyncState.%w", err)
	}
	if err := checkSlowdowns(n.Slowdowns); err != nil {
		return err
	}
	if n.Known.ListAge < 0 {
		return fmt.Errorf("SyncState.Known.ListAge: %s is below 0", n.Known.ListAge)
	}
	if n.Known.ConfigAge < 0 {
		return fmt.Errorf("SyncState.Known.ConfigAge: %s is below 0", n.Known.ConfigAge)
	}
	return nil
}

// MaxAge is the age from which on readings of the store do not count. Ages are bounded by it,
// because the age of what was never read overflows when a delay is added: such a list looked
// as if it had been read in the future, and never aged.
const MaxAge = 24 * time.Hour

// Delay adds d, the time since the state was made, to its ages.
func (n *SyncState) Delay(d time.Duration) {
	n.Known.ListAge = min(MaxAge, n.Known.ListAge) + d
	n.Known.ConfigAge = min(MaxAge, n.Known.ConfigAge) + d
	for i := range n.Faults {
		n.Faults[i].Age += d
	}
	for i := range n.Slowdowns {
		n.Slowdowns[i].Age += d
	}
	for i := range n.Notices {
		n.Notices[i].Age += d
	}
	if n.Quarantine != nil {
		n.Quarantine.Delay(d)
	}
}

func checkSlowdowns(slowdowns []ServerSlowdown) error {
	for i, s := range slowdowns {
		if s.Factor < 1 || s.Age < 0 {
			return fmt.Errorf("SyncState.Slowdowns[%d]: factor %g is below 1, or age %s below 0", i, s.Factor, s.Age)
		}
	}
	return nil
}

// Sync sends state to a peer and returns the state of the peer.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, state *SyncState) (*SyncState, error) {
	response := new(SyncState)
	return response, c.call(ctx, to, methodSync, state, response)
}
