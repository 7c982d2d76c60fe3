// Package cacher caches verified chunks in memory, up to a limit in bytes, and serves
// them to other instances.
package cacher

import (
	"container/list"
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// ErrFull is returned for a chunk that does not fit into the limit together with the
// pinned ones.
var ErrFull = errors.New("chunk memory full")

// ErrWrongDigest is returned for bytes that do not have the given digest.
var ErrWrongDigest = errors.New("bytes do not match the digest")

// maxDemands is the buffer size of the Demands channel. Demands beyond it are
// dropped.
const maxDemands = 1024

// A Cacher is an in-memory LRU cache of verified chunks. Pinned chunks are never
// evicted. The others are evicted, least recently used first, if they exceed the
// limit. It is safe for concurrent use.
type Cacher struct {
	mu        sync.Mutex
	bytes     int64
	demands   chan gooseberrypass.Digest
	evictions uint64
	held      map[gooseberrypass.Digest]*list.Element
	limit     int64      // bytes
	lru       *list.List // values of type *entry, most recently used first
	pinned    map[gooseberrypass.Digest]struct{}
	waiters   map[gooseberrypass.Digest]*waiter
}

type entry struct {
	body   []byte
	digest gooseberrypass.Digest
}

// A waiter is shared by all calls of Await for one chunk. done is closed when the
// chunk is held or no longer pinned.
type waiter struct {
	count int // number of calls
	done  chan struct{}
}

// New returns a cacher that holds at most limit bytes.
func New(limit int64) *Cacher {
	return &Cacher{
		demands: make(chan gooseberrypass.Digest, maxDemands),
		held:    map[gooseberrypass.Digest]*list.Element{},
		limit:   limit,
		lru:     list.New(),
		pinned:  map[gooseberrypass.Digest]struct{}{},
		waiters: map[gooseberrypass.Digest]*waiter{},
	}
}

// Bytes returns the number of bytes held.
func (c *Cacher) Bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// Limit returns the maximum number of bytes held.
func (c *Cacher) Limit() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}

// SetLimit changes the maximum number of bytes held. It evicts unpinned chunks as
// needed.
func (c *Cacher) SetLimit(limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limit
	c.evict(0)
}

// Pin replaces the set of pinned chunks, whether they are held or still to be
// fetched. Calls of Await for other chunks that are not held return. Callers must not
// modify the map afterwards.
func (c *Cacher) Pin(digests map[gooseberrypass.Digest]struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinned = digests
	for digest, w := range c.waiters {
		if _, ok := digests[digest]; !ok {
			close(w.done)
			delete(c.waiters, digest)
		}
	}
	c.evict(0)
}

// Put verifies body and adds it. It returns ErrWrongDigest or ErrFull if it can't.
func (c *Cacher) Put(digest gooseberrypass.Digest, body []byte) error {
	if gooseberrypass.DigestOf(body) != digest {
		return errors.Wrapf(ErrWrongDigest, "%d bytes, want %s", len(body), digest)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.held[digest]; ok {
		return nil
	}
	size := int64(len(body))
	if !c.evict(size) {
		return errors.Wrapf(ErrFull, "chunk of %d bytes, %d held of %d", size, c.bytes, c.limit)
	}
	c.held[digest] = c.lru.PushFront(&entry{body: body, digest: digest})
	c.bytes += size
	if w, ok := c.waiters[digest]; ok {
		close(w.done)
		delete(c.waiters, digest)
	}
	return nil
}

// evict removes unpinned chunks until size more bytes fit, and reports whether they
// do.
func (c *Cacher) evict(size int64) bool {
	for e := c.lru.Back(); e != nil && c.bytes+size > c.limit; {
		previous := e.Prev()
		item := e.Value.(*entry)
		if _, ok := c.pinned[item.digest]; !ok {
			c.lru.Remove(e)
			delete(c.held, item.digest)
			c.bytes -= int64(len(item.body))
			c.evictions++
		}
		e = previous
	}
	return c.bytes+size <= c.limit
}

// Evictions returns the number of chunks evicted so far.
func (c *Cacher) Evictions() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictions
}

// Has reports whether a chunk is held.
func (c *Cacher) Has(digest gooseberrypass.Digest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.held[digest]
	return ok
}

// Chunk returns a chunk, or gooseberrypass.ErrChunkNotHeld if it is not held.
// Callers must not modify the chunk.
func (c *Cacher) Chunk(digest gooseberrypass.Digest) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chunk(digest)
}

func (c *Cacher) chunk(digest gooseberrypass.Digest) ([]byte, error) {
	e, ok := c.held[digest]
	if !ok {
		return nil, errors.Wrap(gooseberrypass.ErrChunkNotHeld, digest.String())
	}
	c.lru.MoveToFront(e)
	return e.Value.(*entry).body, nil
}

// Await returns a chunk once it is held. It returns gooseberrypass.ErrChunkNotHeld if
// the chunk is neither held nor pinned, and the error of ctx if ctx is done first.
func (c *Cacher) Await(ctx context.Context, digest gooseberrypass.Digest) ([]byte, error) {
	c.mu.Lock()
	if body, err := c.chunk(digest); err == nil {
		c.mu.Unlock()
		return body, nil
	}
	if _, ok := c.pinned[digest]; !ok {
		c.mu.Unlock()
		return nil, errors.Wrap(gooseberrypass.ErrChunkNotHeld, digest.String())
	}
	w := c.addWaiter(digest)
	c.mu.Unlock()
	select {
	case <-w.done:
		return c.Chunk(digest)
	case <-ctx.Done():
		c.removeWaiter(digest, w)
		return nil, ctx.Err()
	}
}

// addWaiter returns the waiter of a chunk. If it is a new one, the chunk is sent to
// the Demands channel.
func (c *Cacher) addWaiter(digest gooseberrypass.Digest) *waiter {
	w, ok := c.waiters[digest]
	if !ok {
		w = &waiter{done: make(chan struct{})}
		c.waiters[digest] = w
		select {
		case c.demands <- digest:
		default: // a demand only changes the order of fetches
		}
	}
	w.count++
	return w
}

func (c *Cacher) removeWaiter(digest gooseberrypass.Digest, w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.count--
	if w.count == 0 && c.waiters[digest] == w {
		delete(c.waiters, digest)
	}
}

// Demands returns a channel of pinned chunks that are not held and that a call of
// Await started to wait for.
func (c *Cacher) Demands() <-chan gooseberrypass.Digest { return c.demands }
