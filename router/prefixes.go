package router

import (
	"container/list"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxPrefixes bounds the prefixes remembered.
const maxPrefixes = 8192

// A prefixEntry is where a prefix was sent last.
type prefixEntry struct {
	hash uint64
	id   gooseberrypass.ID
}

// A prefixes remembers to which endpoint each prefix went last, the least
// recently used forgotten first.
type prefixes struct {
	entries map[uint64]*list.Element
	order   *list.List
}

func newPrefixes() *prefixes {
	return &prefixes{entries: map[uint64]*list.Element{}, order: list.New()}
}

func (p *prefixes) has(hash uint64, id gooseberrypass.ID) bool {
	e, ok := p.entries[hash]
	return ok && e.Value.(prefixEntry).id == id
}

func (p *prefixes) put(hash uint64, id gooseberrypass.ID) {
	if hash == 0 {
		return
	}
	if e, ok := p.entries[hash]; ok {
		e.Value = prefixEntry{hash: hash, id: id}
		p.order.MoveToFront(e)
		return
	}
	p.entries[hash] = p.order.PushFront(prefixEntry{hash: hash, id: id})
	if p.order.Len() > maxPrefixes {
		last := p.order.Remove(p.order.Back()).(prefixEntry)
		delete(p.entries, last.hash)
	}
}
