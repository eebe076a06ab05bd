package savorychain

// This file defines the index of the prompt prefixes that engines may have
// cached.

// maxPrefixes bounds the number of prefixes in the index.
const maxPrefixes = 4096

// enginesPerPrefix is the number of engines of a group that are considered for
// a prefix in addition to the random sample. Rendezvous hashing selects the
// same engines in all entries without shared state.
const enginesPerPrefix = 2

// prefixIndex records which servers last ran a prompt prefix. It is a hint,
// since engines evict prefixes without a report.
type prefixIndex struct {
	servers map[uint64][]string
	// order lists the prefixes in the order of their first use, oldest first.
	order []uint64
}

// add records that servers ran the prefix. It removes the oldest prefix if
// there are more than maxPrefixes.
func (p *prefixIndex) add(prefix uint64, servers []string) {
	if prefix == 0 {
		return
	}
	if p.servers == nil {
		p.servers = make(map[uint64][]string)
	}
	if _, known := p.servers[prefix]; !known {
		p.order = append(p.order, prefix)
	}
	p.servers[prefix] = servers
	if len(p.order) > maxPrefixes {
		delete(p.servers, p.order[0])
		p.order = p.order[1:]
	}
}

// holds reports whether server ran the prefix in the last request with it.
func (p *prefixIndex) holds(prefix uint64, server string) bool {
	for _, name := range p.servers[prefix] {
		if name == server {
			return true
		}
	}
	return false
}
