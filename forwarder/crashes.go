package forwarder

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of what is remembered.
const (
	maxTracked = 4096 // requests
	maxShared  = 64   // requests whose counts are sent to other entries
)

// A crashRecord counts the connections to endpoints that broke during a request.
type crashRecord struct {
	count int       // broken connections
	last  time.Time // time of the last one
}

// A peerCounts has the counts that another entry reported.
type peerCounts struct {
	at     time.Time
	counts map[uint64]int // broken connections, by the first eight bytes of the digest
}

// A CrashTracker counts the connections to endpoints that broke during each
// request, to quarantine requests that crash endpoints. Callers repeat such a
// request, possibly through another entry, and the connection breaks each time.
// It is safe for concurrent use.
type CrashTracker struct {
	clock    gooseberrypass.Clock
	settings Settings

	mu      sync.Mutex
	peers   map[gooseberrypass.ID]peerCounts // counts of other entries
	recent  []uint64                         // the newest last
	records map[uint64]crashRecord           // counts of this entry
}

// NewCrashTracker returns an empty CrashTracker.
func NewCrashTracker(clock gooseberrypass.Clock, settings Settings) *CrashTracker {
	return &CrashTracker{clock: clock, peers: map[gooseberrypass.ID]peerCounts{}, records: map[uint64]crashRecord{}, settings: settings}
}

// recordCrash counts a connection that broke during a request.
func (t *CrashTracker) recordCrash(digest gooseberrypass.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if len(t.records) >= maxTracked {
		t.evict(now)
	}
	key := digest.Prefix()
	t.records[key] = crashRecord{count: t.records[key].count + 1, last: now}
	t.recent = append(t.recent, key)
	t.recent = t.recent[max(0, len(t.recent)-maxShared):]
}

// evict drops the records that are too old or too few to quarantine a request.
func (t *CrashTracker) evict(now time.Time) {
	for key, held := range t.records {
		if now.Sub(held.last) > t.settings.QuarantineTime || held.count < t.settings.QuarantineCrashes {
			delete(t.records, key)
		}
	}
}

// isQuarantined reports whether a request is refused because connections broke
// during it, here or at other entries.
func (t *CrashTracker) isQuarantined(digest gooseberrypass.Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, key := t.clock.Now(), digest.Prefix()
	count := 0
	if held := t.records[key]; now.Sub(held.last) <= t.settings.QuarantineTime {
		count = held.count
	}
	for _, other := range t.peers {
		if now.Sub(other.at) <= t.settings.QuarantineTime {
			count += other.counts[key]
		}
	}
	return count >= t.settings.QuarantineCrashes
}

// CrashCounts returns the recent counts of this entry, by the first eight bytes
// of the request digests.
func (t *CrashTracker) CrashCounts() map[uint64]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	counts := make(map[uint64]int, len(t.recent))
	for _, key := range t.recent {
		if held := t.records[key]; held.count > 0 && now.Sub(held.last) <= t.settings.QuarantineTime {
			counts[key] = held.count
		}
	}
	return counts
}

// SetCrashCounts replaces the counts that another entry reported.
func (t *CrashTracker) SetCrashCounts(from gooseberrypass.ID, counts map[uint64]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[from] = peerCounts{at: t.clock.Now(), counts: counts}
}
