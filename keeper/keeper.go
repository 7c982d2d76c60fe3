// Package keeper holds verified chunks in memory, up to a limit in bytes, and serves
// them to other instances.
package keeper

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

// A Keeper is an in-memory cache of verified chunks. Pinned chunks are never
// evicted. The others are evicted, least recently used first, if they exceed the
// limit. It is safe for concurrent use.
type Keeper struct {
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

// New returns a keeper that holds at most limit bytes.
func New(limit int64) *Keeper {
	return &Keeper{
		demands: make(chan gooseberrypass.Digest, maxDemands),
		held:    map[gooseberrypass.Digest]*list.Element{},
		limit:   limit,
		lru:     list.New(),
		pinned:  map[gooseberrypass.Digest]struct{}{},
		waiters: map[gooseberrypass.Digest]*waiter{},
	}
}

// Bytes returns the number of bytes held.
func (k *Keeper) Bytes() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytes
}

// Limit returns the maximum number of bytes held.
func (k *Keeper) Limit() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limit
}

// SetLimit changes the maximum number of bytes held. It evicts unpinned chunks as
// needed.
func (k *Keeper) SetLimit(limit int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limit = limit
	k.evict(0)
}

// Pin replaces the set of pinned chunks, whether they are held or still to be
// fetched. Calls of Await for other chunks that are not held return. Callers must not
// modify the map afterwards.
func (k *Keeper) Pin(digests map[gooseberrypass.Digest]struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pinned = digests
	for digest, w := range k.waiters {
		if _, ok := digests[digest]; !ok {
			close(w.done)
			delete(k.waiters, digest)
		}
	}
	k.evict(0)
}

// Put verifies body and adds it. It returns ErrWrongDigest or ErrFull if it can't.
func (k *Keeper) Put(digest gooseberrypass.Digest, body []byte) error {
	if gooseberrypass.DigestOf(body) != digest {
		return errors.Wrapf(ErrWrongDigest, "%d bytes, want %s", len(body), digest)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.held[digest]; ok {
		return nil
	}
	size := int64(len(body))
	if !k.evict(size) {
		return errors.Wrapf(ErrFull, "chunk of %d bytes, %d held of %d", size, k.bytes, k.limit)
	}
	k.held[digest] = k.lru.PushFront(&entry{body: body, digest: digest})
	k.bytes += size
	if w, ok := k.waiters[digest]; ok {
		close(w.done)
		delete(k.waiters, digest)
	}
	return nil
}

// evict removes unpinned chunks until size more bytes fit, and reports whether they
// do.
func (k *Keeper) evict(size int64) bool {
	for e := k.lru.Back(); e != nil && k.bytes+size > k.limit; {
		previous := e.Prev()
		item := e.Value.(*entry)
		if _, ok := k.pinned[item.digest]; !ok {
			k.lru.Remove(e)
			delete(k.held, item.digest)
			k.bytes -= int64(len(item.body))
			k.evictions++
		}
		e = previous
	}
	return k.bytes+size <= k.limit
}

// Evictions returns the number of chunks evicted so far.
func (k *Keeper) Evictions() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.evictions
}

// Has reports whether a chunk is held.
func (k *Keeper) Has(digest gooseberrypass.Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.held[digest]
	return ok
}

// Chunk returns a chunk, or gooseberrypass.ErrChunkNotHeld if it is not held.
// Callers must not modify the chunk.
func (k *Keeper) Chunk(digest gooseberrypass.Digest) ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.chunk(digest)
}

func (k *Keeper) chunk(digest gooseberrypass.Digest) ([]byte, error) {
	e, ok := k.held[digest]
	if !ok {
		return nil, errors.Wrap(gooseberrypass.ErrChunkNotHeld, digest.String())
	}
	k.lru.MoveToFront(e)
	return e.Value.(*entry).body, nil
}

// Await returns a chunk once it is held. It returns gooseberrypass.ErrChunkNotHeld if
// the chunk is neither held nor pinned, and the error of ctx if ctx is done first.
func (k *Keeper) Await(ctx context.Context, digest gooseberrypass.Digest) ([]byte, error) {
	k.mu.Lock()
	if body, err := k.chunk(digest); err == nil {
		k.mu.Unlock()
		return body, nil
	}
	if _, ok := k.pinned[digest]; !ok {
		k.mu.Unlock()
		return nil, errors.Wrap(gooseberrypass.ErrChunkNotHeld, digest.String())
	}
	w := k.addWaiter(digest)
	k.mu.Unlock()
	select {
	case <-w.done:
		return k.Chunk(digest)
	case <-ctx.Done():
		k.removeWaiter(digest, w)
		return nil, ctx.Err()
	}
}

// addWaiter returns the waiter of a chunk. If it is a new one, the chunk is sent to
// the Demands channel.
func (k *Keeper) addWaiter(digest gooseberrypass.Digest) *waiter {
	w, ok := k.waiters[digest]
	if !ok {
		w = &waiter{done: make(chan struct{})}
		k.waiters[digest] = w
		select {
		case k.demands <- digest:
		default: // a demand only changes the order of fetches
		}
	}
	w.count++
	return w
}

func (k *Keeper) removeWaiter(digest gooseberrypass.Digest, w *waiter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w.count--
	if w.count == 0 && k.waiters[digest] == w {
		delete(k.waiters, digest)
	}
}

// Demands returns a channel of pinned chunks that are not held and that a call of
// Await started to wait for.
func (k *Keeper) Demands() <-chan gooseberrypass.Digest { return k.demands }
