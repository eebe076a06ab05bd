package savoryfront

// This file reads bodies of requests into blocks, within the budget.

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// firstBlockBytes is the size of the first block of a body, which takes no part of the
	// budget: nearly all bodies are smaller. Further blocks are four times as large as the one
	// before, up to maxBlockBytes.
	firstBlockBytes = 4 << 10
	blockGrowth     = 4
	maxBlockBytes   = 64 << 10
	// bodyGrace is the time in which a body may arrive at any rate, minBodyRate the lowest
	// rate in bytes per second over the time beyond. 4 MB at this rate take longer than any
	// route allows, so only bodies that have nearly stopped are too slow.
	bodyGrace   = 5 * time.Second
	minBodyRate = 16 << 10
	// RetryDelay is the retry delay of a request that is refused for want of memory: by then
	// a holder that stalls has given way.
	RetryDelay = time.Second
)

// RefusalError is the error of a request that was refused before it was sent to a server.
type RefusalError struct {
	Cause Cause
	Err   error
}

var _ error = (*RefusalError)(nil)

// Error returns the cause and what lies behind it.
func (r *RefusalError) Error() string {
	if r.Err != nil {
		return string(r.Cause) + ": " + r.Err.Error()
	}
	return string(r.Cause)
}

// Unwrap returns what lies behind the cause.
func (r *RefusalError) Unwrap() error { return r.Err }

// Body is a body of a request. The zero value is empty.
type Body struct {
	// Blocks are its bytes, in order.
	Blocks [][]byte

	front *Front
	id    uint64
	size  int64
	// reserved is set while bytes of it are held in the budget.
	reserved bool
	control  *http.ResponseController
	mu       sync.Mutex
	// gaveWay is set once the body must be dropped, read once it was received.
	gaveWay bool
	read    bool
}

// Len returns the number of bytes.
func (b *Body) Len() int64 { return b.size }

// Reader returns a reader of the bytes.
func (b *Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b.Blocks))
	for i, block := range b.Blocks {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}

// Join returns the bytes in one slice, for which it reserves as many bytes again. The error is a
// *RefusalError.
func (b *Body) Join() ([]byte, error) {
	if len(b.Blocks) == 1 {
		return b.Blocks[0], nil
	}
	if b.reserved && !b.front.reserve(b.id, b.size, func() {}) {
		return nil, b.refuse(BudgetUsedUp, nil)
	}
	joined := bytes.Join(b.Blocks, nil)
	b.Blocks = [][]byte{joined}
	return joined, nil
}

// Release returns the bytes to the budget.
func (b *Body) Release() {
	if b.reserved {
		b.front.release(b.id)
	}
}

// BodyLimits bounds the reading of a body.
type BodyLimits struct {
	Bytes int64
	// Deadline is when the body must be complete at the latest.
	Deadline time.Time
}

// ReadBody reads the body of a request. The error is a *RefusalError; the rest of the body is then not
// read, and the connection must be closed. Release must be called once the body is not needed.
func (f *Front) ReadBody(r *http.Request, control *http.ResponseController, limits BodyLimits) (*Body, error) {
	b := &Body{front: f, control: control}
	if r.ContentLength > limits.Bytes {
		return b, b.refuse(BodyTooLarge, nil)
	}
	if r.ContentLength == 0 {
		return b, nil
	}
	if err := b.receive(r, limits, time.Now()); err != nil {
		b.drop()
		return b, err
	}
	b.mu.Lock()
	b.read = true
	err := control.SetReadDeadline(time.Time{})
	gaveWay := b.gaveWay
	b.mu.Unlock()
	if gaveWay || err != nil && !errors.Is(err, http.ErrNotSupported) {
		b.drop()
		return b, b.refuse(GaveWay, err)
	}
	if b.reserved {
		f.complete(b.id)
	}
	return b, nil
}

// drop drops what was received.
func (b *Body) drop() {
	b.mu.Lock()
	b.read = true
	b.mu.Unlock()
	b.Release()
	b.Blocks, b.size, b.reserved = nil, 0, false
}

func (b *Body) refuse(cause Cause, err error) error {
	b.front.Refused(cause)
	return &RefusalError{Cause: cause, Err: err}
}

// receive reads blocks until the end of the body.
func (b *Body) receive(r *http.Request, limits BodyLimits, startedAt time.Time) error {
	size := int64(firstBlockBytes)
	var ahead [1]byte
	n := 0
	for {
		if left := r.ContentLength - b.size; r.ContentLength > 0 && left < size {
			size = max(left, int64(n))
		}
		block := make([]byte, 0, size)
		block = append(block, ahead[:n]...)
		b.size += int64(n)
		b.Blocks = append(b.Blocks, block)
		if err := b.extend(limits, startedAt); err != nil {
			return err
		}
		done, err := b.fill(r.Body, limits.Bytes)
		if done || err != nil {
			return err
		}
		// A further block is allocated once there is a byte for it.
		for n = 0; n == 0; {
			if n, err = r.Body.Read(ahead[:]); n == 0 && err != nil {
				return b.end(err)
			}
		}
		if b.size+int64(n) > limits.Bytes {
			return b.refuse(BodyTooLarge, nil)
		}
		if size = min(maxBlockBytes, size*blockGrowth); !b.front.reserve(b.blockID(), size, b.giveWay) {
			return b.refuse(BudgetUsedUp, nil)
		}
		b.reserved = true
	}
}

// blockID returns the ID of the body in the budget.
func (b *Body) blockID() uint64 {
	if b.id == 0 {
		b.id = b.front.nextID.Add(1)
	}
	return b.id
}

// fill reads into the last block, until it is full or the body ends.
func (b *Body) fill(r io.Reader, limit int64) (done bool, err error) {
	last := len(b.Blocks) - 1
	for block := b.Blocks[last]; len(block) < cap(block); b.Blocks[last] = block {
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		b.size += int64(n)
		if b.size > limit {
			return true, b.refuse(BodyTooLarge, nil)
		}
		if err != nil {
			b.Blocks[last] = block
			return true, b.end(err)
		}
	}
	return false, nil
}

// end returns nil for the end of a body, and otherwise the refusal for an error.
func (b *Body) end(err error) error {
	b.mu.Lock()
	gaveWay := b.gaveWay
	b.mu.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case gaveWay:
		return b.refuse(GaveWay, nil)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return b.refuse(BodyTooSlow, err)
	}
	return b.refuse(BodyIncomplete, err)
}

// extend sets the time by which further bytes must arrive.
func (b *Body) extend(limits BodyLimits, startedAt time.Time) error {
	deadline := startedAt.Add(bodyGrace + time.Duration(b.size)*time.Second/minBodyRate)
	if limits.Deadline.Before(deadline) {
		deadline = limits.Deadline
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gaveWay {
		return b.refuse(GaveWay, nil)
	}
	if err := b.control.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return b.refuse(BodyIncomplete, err)
	}
	return nil
}

// giveWay ends the reading of the body.
func (b *Body) giveWay() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gaveWay = true
	if !b.read {
		_ = b.control.SetReadDeadline(time.Now()) // If it fails, the connection is closed.
	}
}

// Abandon makes the server close the connection after the response without waiting for what is
// left of the body.
func Abandon(h http.Header, control *http.ResponseController) {
	h.Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now()) // If it fails, the connection is closed.
}
