package main

// This file defines the stand-in for the platform's store.

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev"`
	Lease    int64  `json:"lease"`
	AsOf     int64  `json:"as_of,omitempty"`

	// writtenAt is when the key was last written. Registrations expire after expiry.
	writtenAt time.Time
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store is the key-value service of the platform, without failures.
type store struct {
	// expiry is the age of a registration under servers/ at which it is removed.
	expiry time.Duration

	mu       sync.Mutex
	items    map[string]item
	leases   map[int64]lease
	revision int64
	nextID   int64
}

func newStore(expiry time.Duration) *store {
	return &store{expiry: expiry, items: make(map[string]item), leases: make(map[int64]lease), revision: 1}
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

func (s *store) write(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID, writtenAt: time.Now()}
}

func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		maps.DeleteFunc(s.items, func(_ string, it item) bool {
			if it.Lease == id {
				s.revision++
			}
			return it.Lease == id
		})
	}
	maps.DeleteFunc(s.items, func(key string, it item) bool {
		expired := strings.HasPrefix(key, "servers/") && now.Sub(it.writtenAt) > s.expiry
		if expired {
			s.revision++
		}
		return expired
	})
}

// ServeHTTP serves the calls of the store. /standin/put is the way of the stand-in servers.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/standin/put":
		s.put(query.Get("key"), body)
		return
	case "/api/kv-watch":
		time.Sleep(time.Second)
	}
	s.mu.Lock()
	s.expire(time.Now())
	status, answer := s.serve(r, query.Get, body)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // The caller may have left.
}

// maxPageItems is the number of items of a page.
const maxPageItems = 500

func (s *store) serve(r *http.Request, query func(string) string, body []byte) (int, any) {
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		it, ok := s.items[query("key")]
		if !ok {
			return http.StatusNotFound, map[string]int64{"as_of": s.revision}
		}
		it.AsOf = s.revision
		return http.StatusOK, it
	case path == "/api/kv-range":
		items, truncated := []item{}, false
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if !strings.HasPrefix(key, query("prefix")) || key <= query("after") {
				continue
			}
			if len(items) == maxPageItems {
				truncated = true
				break
			}
			items = append(items, s.items[key])
		}
		return http.StatusOK, map[string]any{"items": items, "truncated": truncated, "as_of": s.revision}
	case path == "/api/kv-watch":
		return http.StatusOK, map[string]any{"events": []item{}, "as_of": s.revision}
	case path == "/api/kv-txn":
		return s.transact(body)
	case path == "/api/kv-lease":
		var call struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &call) != nil || call.TTLMS <= 0 {
			return http.StatusBadRequest, "no ttl_ms"
		}
		s.nextID++
		ttl := time.Duration(call.TTLMS) * time.Millisecond
		s.leases[s.nextID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.nextID, "ttl_ms": call.TTLMS}
	}
	id, err := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	l, ok := s.leases[id]
	if err != nil || !ok {
		return http.StatusNotFound, "no such lease"
	}
	if strings.HasPrefix(path, "/api/kv-lease-end/") {
		l.expiresAt = time.Time{}
		s.leases[id] = l
		s.expire(time.Now())
		return http.StatusOK, "ended"
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
}

// transact carries out a transaction if all expected revisions match.
func (s *store) transact(body []byte) (int, any) {
	var call struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Deletes  []string `json:"deletes"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	current, matches := []item{}, true
	for _, e := range call.Expected {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		matches = matches && it.Revision == e.Revision
	}
	if !matches {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range call.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, "no such lease"
		}
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, "not yours"
		}
	}
	for _, w := range call.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range call.Deletes {
		if _, ok := s.items[key]; ok {
			s.revision++
			delete(s.items, key)
		}
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}
