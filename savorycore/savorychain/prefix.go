package savorychain

// This file defines the index of prompt prefixes that engines may have cached.

// maxPrefixes bounds the number of remembered prefixes.
const maxPrefixes = 4096

// enginesPerPrefix is the number of engines of a group that are weighed for a
// prefix beyond the random sample. Rendezvous hashing lets all entries agree on
// them without sharing state.
const enginesPerPrefix = 2

// prefixIndex remembers which servers last ran a prompt prefix. It is a hint:
// engines drop prefixes without word.
type prefixIndex struct {
	servers map[uint64][]string
	// order lists the prefixes as they came, oldest first.
	order []uint64
}

// add records that servers ran the prefix.
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

// holds reports whether server ran the prefix when it was last sent.
func (p *prefixIndex) holds(prefix uint64, server string) bool {
	for _, name := range p.servers[prefix] {
		if name == server {
			return true
		}
	}
	return false
}
