package savorynotice

// This file defines Copy, with which a request is previewed.

// Copy returns a board that knows the same about the servers with these IDs and about the
// demand for the service. Delay and ReturnDelay change the copy only.
func (b *Board) Copy(service string, ids []string) *Board {
	c := &Board{Entry: b.Entry, demandsKnown: b.demandsKnown, entries: b.entries, entriesSet: b.entriesSet}
	for _, id := range ids {
		if known := b.servers[id]; known != nil {
			*c.server(id) = *known
		}
	}
	if known := b.demands[service]; known != nil {
		*c.demand(service) = *known
	}
	return c
}
