// Package savoryclaim decides how a request under an idempotency key is run at
// most once.
//
// The key's Record in the platform's store is the right to send the request.
// An entry creates the record by compare-and-swap and only the entry whose
// Nonce stands in it may send. A record is never taken over: if its entry dies
// the key stays MayHaveRun until the record's retention ends. The record is
// deleted only by its own entry, and only when that entry knows that it sent
// nothing.
//
// An Attempt is the state machine of one request at one entry. It is told what
// the store and the backend server answered and returns the next Action; it
// does no I/O and reads no clock.
package savoryclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"savorycart.example/savorycore/savorywire"
)

const (
	// KeyPrefix begins the store keys of all records.
	KeyPrefix = "savorycart/claim/"
	// MaxAnswerBytes is the largest body that a record keeps. Past it the
	// record only says that the request ran.
	MaxAnswerBytes = 16 << 10
	// Retention is how long a record is kept after its claim, at least. A key
	// must not be used again after it.
	Retention = 24 * time.Hour
	// maxKeyBytes bounds the idempotency key of a caller.
	maxKeyBytes = 255
)

// State is the state of a record.
type State string

// The states.
const (
	// Claimed means that the entry may have sent the request.
	Claimed State = "Claimed"
	// Done means that the backend server answered.
	Done State = "Done"
)

// Identity is what must be the same in each request under one key.
type Identity struct {
	Customer string
	Route    string
	Method   string
	Target   string
	// BodySHA256 is the digest of the body, in hex.
	BodySHA256 string
}

// Answer is the recorded answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Record is the value of a key in the store.
type Record struct {
	Identity Identity
	// Entry names the entry that claimed the key, for operators.
	Entry string
	// Nonce names the claim; no two claims share one.
	Nonce string
	At    time.Time
	State State
	// Answer is set once State is Done, unless it was too large.
	Answer *Answer
}

// StoreKey returns the store key of a customer's idempotency key. Digests keep
// customers apart whatever their keys contain.
func StoreKey(customer, key string) string {
	c := sha256.Sum256([]byte(customer))
	k := sha256.Sum256([]byte(key))
	return KeyPrefix + hex.EncodeToString(c[:8]) + "/" + hex.EncodeToString(k[:])
}

// CheckKey returns an error if a caller's key may not be used.
func CheckKey(key string) error {
	if key == "" {
		return errors.New("is empty")
	}
	if len(key) > maxKeyBytes {
		return fmt.Errorf("has %d bytes, more than %d", len(key), maxKeyBytes)
	}
	for _, r := range key {
		if r < 0x21 || r > 0x7e {
			return errors.New("has a character that is not printable ASCII")
		}
	}
	return nil
}

// Encode writes the record for the store.
func (r *Record) Encode() ([]byte, error) {
	body, err := savorywire.Encode(r)
	if err != nil {
		return nil, fmt.Errorf("claim record: %w", err)
	}
	return body, nil
}

// DecodeRecord reads a record and checks it.
func DecodeRecord(body []byte) (*Record, error) {
	r := new(Record)
	if err := savorywire.Decode(body, r); err != nil {
		return nil, fmt.Errorf("claim record: %w", err)
	}
	if r.State != Claimed && r.State != Done {
		return nil, fmt.Errorf("claim record: State: %q is not a state", r.State)
	}
	if r.Nonce == "" {
		return nil, errors.New("claim record: Nonce: is empty")
	}
	return r, nil
}
