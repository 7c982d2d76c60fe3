package router

import (
	"container/list"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxPrefixes is the size of a prefixLRU.
const maxPrefixes = 8192

// A prefixEntry records the endpoint to which a prefix was last sent.
type prefixEntry struct {
	hash uint64
	id   gooseberrypass.ID
}

// A prefixLRU maps the hash of each prefix to the endpoint to which it was last
// sent. It evicts the least recently sent prefix.
type prefixLRU struct {
	entries map[uint64]*list.Element // elements of order, by hash
	order   *list.List               // values of type prefixEntry, most recent first
}

func newPrefixLRU() *prefixLRU {
	return &prefixLRU{entries: map[uint64]*list.Element{}, order: list.New()}
}

// has reports whether a prefix was last sent to the endpoint with the given ID.
func (l *prefixLRU) has(hash uint64, id gooseberrypass.ID) bool {
	e, ok := l.entries[hash]
	return ok && e.Value.(prefixEntry).id == id
}

// put records that a prefix is sent to an endpoint. A hash of 0 means no prefix.
func (l *prefixLRU) put(hash uint64, id gooseberrypass.ID) {
	if hash == 0 {
		return
	}
	if e, ok := l.entries[hash]; ok {
		e.Value = prefixEntry{hash: hash, id: id}
		l.order.MoveToFront(e)
		return
	}
	l.entries[hash] = l.order.PushFront(prefixEntry{hash: hash, id: id})
	if l.order.Len() > maxPrefixes {
		last := l.order.Remove(l.order.Back()).(prefixEntry)
		delete(l.entries, last.hash)
	}
}
