// Package savoryconn sends HTTP requests to backend servers over connections
// that it keeps.
//
// It goes its own way where the HTTP library's client would hide what matters
// here: nothing is sent a second time by itself, an answer is matched to its
// request by ID, and each failure carries a verdict that says whether the
// request may have run. Requests and answers are written and parsed by the
// HTTP library.
package savoryconn

import (
	"sync"
	"time"
)

// Pool keeps idle values by key, the newest on top. The zero value is ready for
// use; it is safe for concurrent use.
type Pool[K comparable, V any] struct {
	mu   sync.Mutex
	idle map[K][]pooled[V]
}

type pooled[V any] struct {
	value     V
	expiresAt time.Time
}

// Get takes the newest value of the key that is usable until after now. Values
// that have run out are handed to drop.
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

// Put keeps a value until the given time.
func (p *Pool[K, V]) Put(key K, v V, expiresAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[K][]pooled[V])
	}
	p.idle[key] = append(p.idle[key], pooled[V]{v, expiresAt})
}

// RemoveExpired hands all values that have run out at now to drop.
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
