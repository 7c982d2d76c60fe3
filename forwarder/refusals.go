package forwarder

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
)

// The limits of what is remembered.
const (
	maxRefusals = 1 << 14                // requests
	shareTime   = 350 * time.Millisecond // time for which a refusal is repeated to other entries, because messages may be lost
)

// A refusal is a request that this entry refused because no endpoint had
// capacity.
type refusal struct {
	at  time.Time
	key uint64
}

// A RefusalTracker remembers refused requests of all entries, to recognize
// callers who retry. The answer to a retry is already late, so under overload
// endpoints keep places for callers who can still be answered in time: about as
// many requests are answered, and more of them in time. It is safe for concurrent
// use.
type RefusalTracker struct {
	clock gooseberrypass.Clock
	ttl   time.Duration

	mu        sync.Mutex
	recent    []refusal            // the newest last
	refusedAt map[uint64]time.Time // times of refusals, by the first eight bytes of the digest
}

// NewRefusalTracker returns an empty RefusalTracker that remembers refusals for
// ttl.
func NewRefusalTracker(clock gooseberrypass.Clock, ttl time.Duration) *RefusalTracker {
	return &RefusalTracker{clock: clock, ttl: ttl, refusedAt: map[uint64]time.Time{}}
}

// recordRefusal stores a refusal by this entry.
func (r *RefusalTracker) recordRefusal(digest gooseberrypass.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, key := r.clock.Now(), digest.Prefix()
	r.remember(now, key)
	r.recent = append(r.sharedAt(now), refusal{at: now, key: key})
}

// remember stores a refusal by any entry.
func (r *RefusalTracker) remember(now time.Time, key uint64) {
	if len(r.refusedAt) >= maxRefusals {
		r.evict(now)
	}
	r.refusedAt[key] = now
}

// evict drops expired refusals, and all refusals if that is not enough. Their
// retries then count as first requests.
func (r *RefusalTracker) evict(now time.Time) {
	for key, at := range r.refusedAt {
		if now.Sub(at) > r.ttl {
			delete(r.refusedAt, key)
		}
	}
	if len(r.refusedAt) >= maxRefusals {
		clear(r.refusedAt)
	}
}

// sharedAt drops the refusals that are no longer sent to other entries and
// returns the rest.
func (r *RefusalTracker) sharedAt(now time.Time) []refusal {
	for len(r.recent) > 0 && now.Sub(r.recent[0].at) > shareTime {
		r.recent = r.recent[1:]
	}
	return r.recent
}

// refusedRecently reports whether any entry refused a request within ttl.
func (r *RefusalTracker) refusedRecently(digest gooseberrypass.Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.refusedAt[digest.Prefix()]
	return ok && r.clock.Now().Sub(at) <= r.ttl
}

// Refused returns the refusals to send to other entries, by the first eight bytes
// of the request digests.
func (r *RefusalTracker) Refused() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent = r.sharedAt(r.clock.Now())
	keys := make([]uint64, 0, len(r.recent))
	for _, held := range r.recent {
		keys = append(keys, held.key)
	}
	return keys
}

// SetRefused stores the refusals that another entry reported.
func (r *RefusalTracker) SetRefused(keys []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, key := range keys {
		r.remember(now, key)
	}
}

// A RequestTracker has what entries remember about requests and exchange with one
// another.
type RequestTracker struct {
	*RefusalTracker
	*CrashTracker
	*attributor.Attributor
}
