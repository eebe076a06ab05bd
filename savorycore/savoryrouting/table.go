package savoryrouting

// This file defines Table, the configuration in force, indexed for requests.

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is a Config with its indexes. It is immutable.
type Table struct {
	Config *Config

	// byHost maps a host to its routes, longest prefix first; byKey maps the digest of a
	// key to its customer.
	byHost map[string][]*Route
	byKey  map[string]*Customer
	// urgency maps a service to the priorities of its routes.
	urgency map[string]urgency
}

// urgency is the most urgent route of a service, and whether its routes have different
// priorities.
type urgency struct {
	first  *Route
	ranked bool
}

// NewTable indexes a configuration that Check accepted.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, byHost: make(map[string][]*Route), byKey: make(map[string]*Customer), urgency: make(map[string]urgency)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		t.addUrgency(r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Customers {
		for _, digest := range c.Customers[i].KeySHA256 {
			t.byKey[digest] = &c.Customers[i]
		}
	}
	return t
}

// addUrgency adds a route to the priorities of its services.
func (t *Table) addUrgency(r *Route) {
	for _, share := range r.Shares {
		u := t.urgency[share.Service]
		if u.first == nil {
			u.first = r
		}
		u.ranked = u.ranked || r.Priority != u.first.Priority
		if r.Priority < u.first.Priority {
			u.first = r
		}
		t.urgency[share.Service] = u
	}
}

// MostUrgent returns the most urgent route of a service, and whether the routes of the service
// have different priorities. The route is nil if there is none.
func (t *Table) MostUrgent(service string) (first *Route, ranked bool) {
	u := t.urgency[service]
	return u.first, u.ranked
}

// Match returns the route of the host with the longest prefix of path, or nil. A
// port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	routes, ok := t.byHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.byHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether a request of the route must carry a customer's key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Config.Customers) > 0 && !r.Open }

// Customer returns the customer with the key, or nil.
func (t *Table) Customer(key string) *Customer { return t.byKey[KeyDigest(key)] }

// CustomerByDigest returns the customer with the key of the digest, or nil.
func (t *Table) CustomerByDigest(digest string) *Customer { return t.byKey[digest] }

// CustomerByName returns the customer with the name, or nil.
func (t *Table) CustomerByName(name string) *Customer {
	for i := range t.Config.Customers {
		if t.Config.Customers[i].Name == name {
			return &t.Config.Customers[i]
		}
	}
	return nil
}

// KeyDigest returns the digest under which a key is stored.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Service selects the service for a request of the route by a hash of its ID. The
// requests are divided in proportion to the weights of the shares, and a repeated
// ID always selects the same service.
func (t *Table) Service(r *Route, requestID string) *Service {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	offset := int(xxhash.Sum64String(requestID) % uint64(max(1, total)))
	for _, s := range r.Shares {
		if offset < s.Weight {
			return t.Config.Service(s.Service)
		}
		offset -= s.Weight
	}
	return nil
}

// Priority returns the rank of a customer's request; 0 is the highest. c may be nil.
func Priority(r *Route, c *Customer) int {
	if c != nil && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}
