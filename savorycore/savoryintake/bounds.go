// Package savoryintake decides how much an entry holds for its callers: the bytes of heads and
// bodies in progress, the connections, and who gives way when these are used up.
//
// The package does no I/O, reads no clock and starts no goroutine.
package savoryintake

import "fmt"

const (
	// defaultMemoryBytes is the memory of the smallest VM in use, assumed if the settings
	// state none. defaultDescriptors is a usual limit of a process.
	defaultMemoryBytes = 184 << 20
	defaultDescriptors = 4096
	// budgetDivisor is the divisor of the memory for bytes in progress. Garbage of ended
	// requests can take as much again, and the state of a large fleet takes a third.
	budgetDivisor = 8
	// connBytes is the memory of a caller's connection with a request in flight and its
	// connection to a server, measured at 30 to 35 KB: buffers, stacks, head and first block
	// of the body. connDivisor is the divisor of the memory for all of them.
	connBytes   = 40 << 10
	connDivisor = 3
	// bodyForms is how often a body may be held at a time: as received and as one slice.
	// blockSlackBytes are reserved beyond a body by its last blocks.
	bodyForms       = 2
	blockSlackBytes = 256 << 10
	// fileDescriptors are reserved for files, storeDescriptors for the store.
	fileDescriptors  = 200
	storeDescriptors = 20
	// peerDivisor and toolDivisor are the divisors of the descriptors for connections of peers,
	// and for those at each of two listeners for operators and checks.
	peerDivisor = 8
	toolDivisor = 32
	// minConnections is the number of connections below which an entry is of no use.
	minConnections = 16
	// closingDivisor is the divisor of the connections that may be open beyond the bound
	// while they are being closed.
	closingDivisor = 8
)

// Limits are the limits of a VM; 0 means the default.
type Limits struct {
	MemoryBytes int64
	Descriptors int
	// MaxBodyBytes is the largest body of one request.
	MaxBodyBytes int64
}

// Bounds are derived from Limits.
type Bounds struct {
	// BudgetBytes bounds the bytes in progress. It is never below one body in two forms.
	BudgetBytes int64
	// Connections bounds the connections of callers, and their requests in flight.
	Connections int
	// PeerConnections and ToolConnections bound the connections at the listener for peers,
	// and at each other listener.
	PeerConnections int
	ToolConnections int
}

// Bounds returns the bounds of a VM.
func (l Limits) Bounds() Bounds {
	memory, descriptors := l.MemoryBytes, l.Descriptors
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	b := Bounds{
		BudgetBytes:     max(memory/budgetDivisor, bodyForms*l.MaxBodyBytes+blockSlackBytes),
		PeerConnections: max(1, descriptors/peerDivisor),
		ToolConnections: max(1, descriptors/toolDivisor),
	}
	// Each caller's connection may need one to a server.
	left := (descriptors - fileDescriptors - storeDescriptors - b.PeerConnections - 2*b.ToolConnections) / 2
	left = left * closingDivisor / (closingDivisor + 1)
	b.Connections = max(1, min(left, int(memory/connDivisor/connBytes)))
	return b
}

// OpenConnections returns how many connections may be open for a bound, together with those
// that are being closed.
func OpenConnections(bound int) int { return bound + max(1, bound/closingDivisor) }

// Check returns an error if the memory or the descriptors do not suffice, with the names that
// these and the limit on bodies have in the settings.
func (l Limits) Check(memoryField, descriptorsField, bodyField string) (field string, err error) {
	memory := l.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	switch {
	case memory/connDivisor/connBytes < minConnections:
		return memoryField, fmt.Errorf("%d MB do not suffice for %d connections of callers", memory>>20, minConnections)
	case l.MaxBodyBytes > memory/budgetDivisor:
		return bodyField, fmt.Errorf("%d bytes are more than %d, an eighth of the memory", l.MaxBodyBytes, memory/budgetDivisor)
	case l.Bounds().Connections < minConnections:
		return descriptorsField, fmt.Errorf("%d do not suffice for %d connections of callers", l.Descriptors, minConnections)
	}
	return "", nil
}
