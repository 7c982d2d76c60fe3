// Package keeper holds verified chunks in memory, under a byte limit, and sends
// them to the instances that ask for them.
package keeper

import (
	"container/list"
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// ErrFull is returned for a chunk that does not fit beside the pinned ones.
var ErrFull = errors.New("chunk memory full")

// ErrWrongDigest is returned for bytes that do not have the digest given.
var ErrWrongDigest = errors.New("bytes do not match the digest")

// maxDemands bounds the chunks asked for by peers that wait to be reported.
const maxDemands = 1024

// A Keeper holds verified chunks. Pinned chunks stay; the others are dropped,
// least recently used first, when room is needed. It is safe for use by several
// goroutines.
type Keeper struct {
	mu      sync.Mutex
	bytes   int64
	demands chan gooseberrypass.Digest
	drops   uint64
	held    map[gooseberrypass.Digest]*list.Element
	limit   int64
	pinned  map[gooseberrypass.Digest]struct{}
	recent  *list.List // of *entry, most recently used first
	waiters map[gooseberrypass.Digest]*waiter
}

type entry struct {
	body   []byte
	digest gooseberrypass.Digest
}

// A waiter is closed when its chunk arrives or is no longer wanted.
type waiter struct {
	done chan struct{}
	n    int
}

// New returns a keeper of at most limit bytes.
func New(limit int64) *Keeper {
	return &Keeper{
		demands: make(chan gooseberrypass.Digest, maxDemands),
		held:    map[gooseberrypass.Digest]*list.Element{},
		limit:   limit,
		pinned:  map[gooseberrypass.Digest]struct{}{},
		recent:  list.New(),
		waiters: map[gooseberrypass.Digest]*waiter{},
	}
}

// Bytes returns how many bytes are held.
func (k *Keeper) Bytes() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytes
}

// Limit returns how many bytes may be held.
func (k *Keeper) Limit() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limit
}

// SetLimit changes the limit. Chunks that are not pinned are dropped down to
// it.
func (k *Keeper) SetLimit(limit int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limit = limit
	k.evict(0)
}

// Pin replaces the set of chunks that must stay or are on their way. Waits for
// chunks that are neither held nor in the set end.
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

// Put verifies body and holds it.
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
	k.held[digest] = k.recent.PushFront(&entry{body: body, digest: digest})
	k.bytes += size
	if w, ok := k.waiters[digest]; ok {
		close(w.done)
		delete(k.waiters, digest)
	}
	return nil
}

// evict drops unpinned chunks until size more bytes fit, and reports whether
// they do.
func (k *Keeper) evict(size int64) bool {
	for e := k.recent.Back(); e != nil && k.bytes+size > k.limit; {
		previous := e.Prev()
		item := e.Value.(*entry)
		if _, ok := k.pinned[item.digest]; !ok {
			k.recent.Remove(e)
			delete(k.held, item.digest)
			k.bytes -= int64(len(item.body))
			k.drops++
		}
		e = previous
	}
	return k.bytes+size <= k.limit
}

// Drops returns how many chunks have been dropped so far.
func (k *Keeper) Drops() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.drops
}

// Has reports whether a chunk is held.
func (k *Keeper) Has(digest gooseberrypass.Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.held[digest]
	return ok
}

// Chunk returns a chunk that is held, else gooseberrypass.ErrChunkNotHeld.
// Callers must not change it.
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
	k.recent.MoveToFront(e)
	return e.Value.(*entry).body, nil
}

// Await returns a chunk once it is held. It returns
// gooseberrypass.ErrChunkNotHeld if the chunk is not wanted, and the context's
// error if the chunk does not come before ctx is done.
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
	w := k.wait(digest)
	k.mu.Unlock()
	select {
	case <-w.done:
		return k.Chunk(digest)
	case <-ctx.Done():
		k.leave(digest, w)
		return nil, ctx.Err()
	}
}

// wait joins the waiters of a chunk and reports the demand for it.
func (k *Keeper) wait(digest gooseberrypass.Digest) *waiter {
	w, ok := k.waiters[digest]
	if !ok {
		w = &waiter{done: make(chan struct{})}
		k.waiters[digest] = w
		select {
		case k.demands <- digest:
		default: // a hint only
		}
	}
	w.n++
	return w
}

func (k *Keeper) leave(digest gooseberrypass.Digest, w *waiter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w.n--
	if w.n == 0 && k.waiters[digest] == w {
		delete(k.waiters, digest)
	}
}

// Demands returns the channel of chunks that others began to wait for.
func (k *Keeper) Demands() <-chan gooseberrypass.Digest { return k.demands }
