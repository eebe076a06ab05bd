// Package savoryclaim decides how a request with an idempotency key is executed
// at most once.
//
// The Record under the key in the platform's store is the permission to send the
// request. An entry creates the record by compare-and-swap, and only the attempt
// whose Nonce is in the record may send. No other entry ever takes over a
// record: if its entry fails, the verdict for the key stays MayHaveRun until the
// record's retention ends. Only the entry that created a record deletes it, and
// only if it has certainly sent nothing.
//
// An Attempt is the state machine of one request at one entry. It receives the
// results of the store and of the backend server and returns the next Action. It
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
	// KeyPrefix is the prefix of the store keys of all records.
	KeyPrefix = "savorycart/claim/"
	// MaxAnswerBytes is the maximum size of a recorded answer body. For a larger
	// one the record states only that the request ran.
	MaxAnswerBytes = 16 << 10
	// Retention is the minimum time that a record is kept after its claim.
	// Callers must not use a key again after it.
	Retention = 24 * time.Hour
	// maxKeyBytes is the maximum length of a caller's idempotency key.
	maxKeyBytes = 255
)

// State is the state of a record.
type State string

// The states.
const (
	// Claimed means that the entry may have sent the request.
	Claimed State = "Claimed"
	// Done means that the backend server has answered the request.
	Done State = "Done"
)

// Identity is what all requests with one key must have in common.
type Identity struct {
	Customer string
	Route    string
	Method   string
	Target   string
	// BodySHA256 is the SHA-256 digest of the request body, in hex.
	BodySHA256 string
}

// Answer is the recorded answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Record is the value of an idempotency key in the store.
type Record struct {
	Identity Identity
	// Entry is the name of the entry that claimed the key, for operators.
	Entry string
	// Nonce identifies the claim; it is unique among all claims.
	Nonce string
	At    time.Time
	State State
	// Answer is the answer if State is Done; nil if the answer was too large.
	Answer *Answer
}

// StoreKey returns the store key for a customer's idempotency key. It hashes
// both, so that no choice of keys makes the store keys of two customers collide.
func StoreKey(customer, key string) string {
	c := sha256.Sum256([]byte(customer))
	k := sha256.Sum256([]byte(key))
	return KeyPrefix + hex.EncodeToString(c[:8]) + "/" + hex.EncodeToString(k[:])
}

// CheckKey returns an error if key is empty, longer than 255 bytes or not
// printable ASCII without blanks.
func CheckKey(key string) error {
	if key == "" {
		return errors.New("the key is empty")
	}
	if len(key) > maxKeyBytes {
		return fmt.Errorf("the key has %d bytes, the maximum is %d", len(key), maxKeyBytes)
	}
	for _, r := range key {
		if r < 0x21 || r > 0x7e {
			return errors.New("the key has a character that is not printable ASCII")
		}
	}
	return nil
}

// Encode encodes the record for the store.
func (r *Record) Encode() ([]byte, error) {
	body, err := savorywire.Encode(r)
	if err != nil {
		return nil, fmt.Errorf("encoding claim record: %w", err)
	}
	return body, nil
}

// DecodeRecord decodes a record. It returns an error if the state is unknown or
// the nonce is empty.
func DecodeRecord(body []byte) (*Record, error) {
	r := new(Record)
	if err := savorywire.Decode(body, r); err != nil {
		return nil, fmt.Errorf("decoding claim record: %w", err)
	}
	if r.State != Claimed && r.State != Done {
		return nil, fmt.Errorf("decoding claim record: State: unknown state %q", r.State)
	}
	if r.Nonce == "" {
		return nil, errors.New("decoding claim record: Nonce: the nonce is empty")
	}
	return r, nil
}
