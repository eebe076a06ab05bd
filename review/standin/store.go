package main

// This file defines the stand-in for the platform's metadata store.

import (
	"encoding/json"
	"flag"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// putPath is the call by which the stand-ins of the operator and of the workers write. It is
// not part of the protocol of the system under test.
const putPath = "/standin/put"

const maxPageItems = 500

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev"`
	Lease    int64  `json:"lease"`
	AsOf     int64  `json:"as_of,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type store struct {
	mu       sync.Mutex
	items    map[string]item
	leases   map[int64]lease
	revision int64
	nextID   int64
}

func runStore(args []string) error {
	f := flag.NewFlagSet("store", flag.ExitOnError)
	addr := f.String("addr", "", "listen address")
	_ = f.Parse(args)
	s := &store{items: map[string]item{}, leases: map[int64]lease{}, revision: 1, nextID: 1000}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return http.ListenAndServe(*addr, s)
}

// expire removes the leases that have ended, with their keys.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.Lease == id {
				s.revision++
				delete(s.items, key)
			}
		}
	}
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.serve(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(r *http.Request) (int, any) {
	var write struct {
		Key    string
		Value  []byte
		Delete bool
	}
	var txn struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Deletes  []string `json:"deletes"`
	}
	var grant struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	q, path := r.URL.Query(), r.URL.Path
	var decodeErr error
	switch path {
	case putPath:
		decodeErr = json.NewDecoder(r.Body).Decode(&write)
	case "/api/kv-txn":
		decodeErr = json.NewDecoder(r.Body).Decode(&txn)
	case "/api/kv-lease":
		decodeErr = json.NewDecoder(r.Body).Decode(&grant)
	}
	if decodeErr != nil {
		return http.StatusBadRequest, decodeErr.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	switch {
	case path == putPath:
		if write.Delete {
			s.revision++
			delete(s.items, write.Key)
		} else {
			s.put(write.Key, write.Value, 0)
		}
		return http.StatusOK, map[string]int64{"revision": s.revision}
	case path == "/api/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]int64{"as_of": s.revision}
		}
		it.AsOf = s.revision
		return http.StatusOK, it
	case path == "/api/kv-range":
		return http.StatusOK, s.page(q.Get("prefix"), q.Get("after"))
	case path == "/api/kv-txn":
		return s.commit(txn.Expected, txn.Writes, txn.Deletes)
	case path == "/api/kv-lease":
		s.nextID++
		ttl := time.Duration(max(1000, grant.TTLMS)) * time.Millisecond
		s.leases[s.nextID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.nextID, "ttl_ms": ttl.Milliseconds()}
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, "no such lease"
		}
		l.expiresAt = time.Now().Add(l.ttl)
		if r.Method == http.MethodDelete {
			l.expiresAt = time.Time{}
		}
		s.leases[id] = l
		s.expire(time.Now())
		return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
	}
	return http.StatusNotFound, "no such call"
}

func (s *store) page(prefix, after string) any {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := []item{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		page = append(page, s.items[key])
	}
	return map[string]any{"items": page, "truncated": len(keys) > maxPageItems, "as_of": s.revision}
}

func (s *store) commit(expected, writes []item, deletes []string) (int, any) {
	var current []item
	ok := true
	for _, e := range expected {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		ok = ok && it.Revision == e.Revision
	}
	if !ok {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, "not yours"
		}
		if _, held := s.leases[w.Lease]; w.Lease != 0 && !held {
			return http.StatusNotFound, "no such lease"
		}
	}
	for _, w := range writes {
		s.put(w.Key, w.Value, w.Lease)
	}
	for _, key := range deletes {
		s.revision++
		delete(s.items, key)
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}
