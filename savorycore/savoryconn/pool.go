// Package savoryconn sends HTTP requests to backend servers over persistent
// connections.
//
// Requests and responses are written and parsed by package net/http, but
// http.Client is not used: it may resend a request by itself, does not match a
// response to its request by ID, and does not report whether a failed request
// may have run. Here a request is sent at most once, and each failure carries a
// verdict that states whether the request may have run.
package savoryconn

import (
	"sync"
	"time"
)

// Pool keeps idle values by key and returns the newest first. The zero value is
// ready for use. A Pool is safe for concurrent use.
type Pool[K comparable, V any] struct {
	mu   sync.Mutex
	idle map[K][]pooled[V]
}

type pooled[V any] struct {
	value     V
	expiresAt time.Time
}

// Get removes and returns the newest value of the key that has not expired at
// now. It passes expired values to drop.
func (p *Pool[K, V]) Get(key K, now time.Time, drop func(V)) (V, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[key] = list
		if now.Before(last.expiresAt) {
			return last.value, true
		}
		drop(last.value)
	}
	delete(p.idle, key)
	var none V
	return none, false
}

// Put keeps a value until expiresAt.
func (p *Pool[K, V]) Put(key K, v V, expiresAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[K][]pooled[V])
	}
	p.idle[key] = append(p.idle[key], pooled[V]{v, expiresAt})
}

// RemoveExpired passes all values that have expired at now to drop.
func (p *Pool[K, V]) RemoveExpired(now time.Time, drop func(V)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, v := range list {
			if now.Before(v.expiresAt) {
				kept = append(kept, v)
			} else {
				drop(v.value)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// Len returns the number of idle values.
func (p *Pool[K, V]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}
