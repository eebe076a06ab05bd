package savoryconfig

// This file defines Snapshot, a document with indexes for the lookups that
// requests need.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"savorycart.example/savorycore/savoryworld"
)

// Snapshot is a checked revision of the document. It is immutable and safe for
// concurrent use. The indexes are by name unless the comments say otherwise.
type Snapshot struct {
	Root     *Root
	Document *Document

	customersByKey   map[string]*savoryworld.Customer
	customers        map[string]*savoryworld.Customer
	pipelines        map[string]*savoryworld.Pipeline
	servers          map[string]*savoryworld.BackendServer
	serversByAddress map[netip.AddrPort]*savoryworld.BackendServer
	services         map[string][]*savoryworld.BackendServer
	accelerators     map[string]savoryworld.Accelerator
	zones            map[string]savoryworld.AvailabilityZone
	links            map[zonePair]savoryworld.Link
	routes           []*savoryworld.Route
}

// zonePair is the key of a link in one direction.
type zonePair struct{ from, to string }

// AssembleSnapshot decodes the buckets of root and returns the snapshot of the
// document. The manifests of root must be loaded. The function find looks up a
// bucket by its ID. A missing bucket, a bucket whose content does not match its
// ID, or an invalid document is an error.
func AssembleSnapshot(root *Root, find func(BucketID) (Bucket, bool)) (*Snapshot, error) {
	doc := new(Document)
	for _, ref := range root.Sections {
		for _, id := range ref.Buckets {
			bucket, ok := find(id)
			if !ok {
				return nil, fmt.Errorf("revision %d: bucket %s of section %s is missing", root.Revision, id, ref.Section)
			}
			if err := bucket.Parse(); err != nil {
				return nil, fmt.Errorf("revision %d: %w", root.Revision, err)
			}
			// A bucket may define records of its own section only.
			doc.appendDocument(bucket.parsed.ExtractSection(ref.Section))
		}
	}
	doc.sort()
	if err := doc.Check(); err != nil {
		return nil, fmt.Errorf("revision %d: %w", root.Revision, err)
	}
	return NewSnapshot(root, doc), nil
}

// NewSnapshot returns the snapshot of a checked document. It does not check doc.
func NewSnapshot(root *Root, doc *Document) *Snapshot {
	s := &Snapshot{
		Root:             root,
		Document:         doc,
		customersByKey:   make(map[string]*savoryworld.Customer),
		customers:        make(map[string]*savoryworld.Customer),
		pipelines:        make(map[string]*savoryworld.Pipeline),
		servers:          make(map[string]*savoryworld.BackendServer),
		serversByAddress: make(map[netip.AddrPort]*savoryworld.BackendServer),
		services:         make(map[string][]*savoryworld.BackendServer),
		accelerators:     make(map[string]savoryworld.Accelerator),
		zones:            make(map[string]savoryworld.AvailabilityZone),
		links:            make(map[zonePair]savoryworld.Link),
	}
	for i := range doc.Customers {
		customer := &doc.Customers[i]
		s.customers[customer.Name] = customer
		for _, key := range customer.KeySHA256 {
			s.customersByKey[key] = customer
		}
	}
	for i := range doc.Pipelines {
		s.pipelines[doc.Pipelines[i].Name] = &doc.Pipelines[i]
	}
	for i := range doc.BackendServers {
		server := &doc.BackendServers[i]
		s.servers[server.Name] = server
		s.serversByAddress[server.Address] = server
		if !server.IsEngine() {
			s.services[server.Service] = append(s.services[server.Service], server)
		}
	}
	for i := range doc.Routes {
		s.routes = append(s.routes, &doc.Routes[i])
	}
	// Route returns the first match, which must be the longest path prefix.
	slices.SortStableFunc(s.routes, func(a, b *savoryworld.Route) int { return len(b.Path) - len(a.Path) })
	s.indexTopology(doc)
	return s
}

// indexTopology indexes accelerators, zones and links. A link is indexed in both
// directions.
func (s *Snapshot) indexTopology(doc *Document) {
	for _, a := range doc.Accelerators {
		s.accelerators[a.Name] = a
	}
	for _, zone := range doc.Zones {
		s.zones[zone.Name] = zone
	}
	for _, link := range doc.Links {
		s.links[zonePair{link.From, link.To}] = link
		s.links[zonePair{link.To, link.From}] = link
	}
}

// Revision returns the revision of the document.
func (s *Snapshot) Revision() uint64 { return s.Root.Revision }

// CustomerByKey returns the customer that has the API key, or nil. The key is in
// plain text.
func (s *Snapshot) CustomerByKey(key string) *savoryworld.Customer {
	sum := sha256.Sum256([]byte(key))
	return s.customersByKey[hex.EncodeToString(sum[:])]
}

// CustomerByDigest returns the customer that has the API key with the SHA-256 digest, or nil.
func (s *Snapshot) CustomerByDigest(digest string) *savoryworld.Customer {
	return s.customersByKey[digest]
}

// Customer returns the customer with the name, or nil.
func (s *Snapshot) Customer(name string) *savoryworld.Customer { return s.customers[name] }

// Pipeline returns the pipeline with the name, or nil.
func (s *Snapshot) Pipeline(name string) *savoryworld.Pipeline { return s.pipelines[name] }

// Server returns the backend server with the name, or nil.
func (s *Snapshot) Server(name string) *savoryworld.BackendServer { return s.servers[name] }

// ServiceServers returns the backend servers that run a plain service.
func (s *Snapshot) ServiceServers(service string) []*savoryworld.BackendServer {
	return s.services[service]
}

// Accelerator returns the type of accelerator with the name, or the zero value.
func (s *Snapshot) Accelerator(name string) savoryworld.Accelerator { return s.accelerators[name] }

// Region returns the region of a zone, or "" if the zone does not exist.
func (s *Snapshot) Region(zone string) string { return s.zones[zone].Region }

// Link returns the link between two zones. For a zone and itself, and for zones
// without a configured link, it returns the zero value, which callers treat as
// no delay and unlimited bandwidth.
func (s *Snapshot) Link(from, to string) savoryworld.Link {
	return s.links[zonePair{from, to}]
}

// Route returns the route with the longest path that matches whole leading
// segments of path, or nil.
func (s *Snapshot) Route(path string) *savoryworld.Route {
	for _, r := range s.routes {
		prefix := strings.TrimSuffix(r.Path, "/")
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return r
		}
	}
	return nil
}

// ServerByAddress returns the backend server with the address, or nil.
func (s *Snapshot) ServerByAddress(address netip.AddrPort) *savoryworld.BackendServer {
	return s.serversByAddress[address]
}
