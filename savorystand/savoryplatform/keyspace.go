package savoryplatform

// This file defines the store's keys, leases and transactions.

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"savorycart.example/savorycore/savorystore"
)

// keyspace is the content of the key-value store. Its methods are called with
// Platform.mu held.
type keyspace struct {
	revision  int64
	values    map[string]savorystore.KeyValue
	leases    map[int64]*lease
	lastLease int64
	// history holds all events in order of revision, for watches that start at an
	// earlier revision.
	history []historyEvent
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type historyEvent struct {
	revision int64
	event    savorystore.WatchEvent
}

func newKeyspace() *keyspace {
	return &keyspace{
		revision: 1,
		values:   make(map[string]savorystore.KeyValue),
		leases:   make(map[int64]*lease),
	}
}

// read returns the key-value pairs of a range request, sorted by key.
func (k *keyspace) read(req savorystore.RangeRequest) *savorystore.RangeResponse {
	response := &savorystore.RangeResponse{Header: savorystore.Header{Revision: k.revision}}
	if len(req.RangeEnd) == 0 {
		if kv, ok := k.values[string(req.Key)]; ok {
			response.Kvs = append(response.Kvs, kv)
		}
		return response
	}
	for key, kv := range k.values {
		if inRange(key, req.Key, req.RangeEnd) {
			response.Kvs = append(response.Kvs, kv)
		}
	}
	slices.SortFunc(response.Kvs, func(a, b savorystore.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	if req.KeysOnly {
		for i := range response.Kvs {
			response.Kvs[i].Value = nil
		}
	}
	return response
}

// commit runs a transaction; all of its writes get the same new revision.
func (k *keyspace) commit(txn savorystore.TxnRequest) *savorystore.TxnResponse {
	next := k.revision + 1
	response, wrote := k.run(txn, next)
	if wrote {
		k.revision = next
	}
	response.Header.Revision = k.revision
	return response
}

func (k *keyspace) run(txn savorystore.TxnRequest, next int64) (*savorystore.TxnResponse, bool) {
	response := &savorystore.TxnResponse{Succeeded: true}
	for _, c := range txn.Compare {
		if k.values[string(c.Key)].ModRevision != c.ModRevision {
			response.Succeeded = false
		}
	}
	ops := txn.Failure
	if response.Succeeded {
		ops = txn.Success
	}
	wrote := false
	for _, op := range ops {
		result, opWrote := k.runOp(op, next)
		response.Responses = append(response.Responses, result)
		wrote = wrote || opWrote
	}
	return response, wrote
}

func (k *keyspace) runOp(op savorystore.RequestOp, next int64) (savorystore.ResponseOp, bool) {
	switch {
	case op.Range != nil:
		return savorystore.ResponseOp{Range: k.read(*op.Range)}, false
	case op.Put != nil:
		k.put(*op.Put, next)
		return savorystore.ResponseOp{}, true
	case op.Delete != nil:
		return savorystore.ResponseOp{}, k.remove(string(op.Delete.Key), next)
	case op.Txn != nil:
		response, wrote := k.run(*op.Txn, next)
		return savorystore.ResponseOp{Txn: response}, wrote
	}
	return savorystore.ResponseOp{}, false
}

func (k *keyspace) put(put savorystore.PutRequest, revision int64) {
	kv := savorystore.KeyValue{Key: put.Key, Value: put.Value, ModRevision: revision, Lease: put.Lease}
	k.values[string(put.Key)] = kv
	k.history = append(k.history, historyEvent{revision, savorystore.WatchEvent{Kv: kv}})
}

func (k *keyspace) remove(key string, revision int64) bool {
	if _, ok := k.values[key]; !ok {
		return false
	}
	delete(k.values, key)
	kv := savorystore.KeyValue{Key: []byte(key), ModRevision: revision}
	event := savorystore.WatchEvent{Type: savorystore.EventDelete, Kv: kv}
	k.history = append(k.history, historyEvent{revision, event})
	return true
}

// grant creates a lease and returns its ID.
func (k *keyspace) grant(ttl time.Duration, now time.Time) int64 {
	k.lastLease++
	k.leases[k.lastLease] = &lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return k.lastLease
}

// renew renews a lease and returns its time to live, or 0 if it does not exist.
func (k *keyspace) renew(id int64, now time.Time) time.Duration {
	l := k.leases[id]
	if l == nil {
		return 0
	}
	l.expiresAt = now.Add(l.ttl)
	return l.ttl
}

// expire revokes the expired leases and deletes their keys.
func (k *keyspace) expire(now time.Time) {
	for id, l := range k.leases {
		if now.After(l.expiresAt) {
			k.revoke(id)
		}
	}
}

func (k *keyspace) revoke(id int64) {
	delete(k.leases, id)
	for key, kv := range k.values {
		if kv.Lease == id {
			k.revision++
			k.remove(key, k.revision)
		}
	}
}

// since returns the events on a range that have revision from or a later one.
func (k *keyspace) since(from int64, create savorystore.WatchCreate) []savorystore.WatchEvent {
	start, _ := slices.BinarySearchFunc(k.history, from, func(h historyEvent, from int64) int {
		return int(h.revision - from)
	})
	var events []savorystore.WatchEvent
	for _, h := range k.history[start:] {
		if inRange(string(h.event.Kv.Key), create.Key, create.RangeEnd) {
			events = append(events, h.event)
		}
	}
	return events
}

func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	return strings.Compare(key, string(from)) >= 0 && strings.Compare(key, string(end)) < 0
}
