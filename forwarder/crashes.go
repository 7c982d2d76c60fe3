package forwarder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of what is remembered.
const (
	maxDoublings = 5    // of the quarantine
	maxObservers = 64   // starts of entries for each request
	maxShared    = 64   // counts that are sent to other entries
	maxTracked   = 4096 // requests
)

// crashWindow is the time within which connections break by one crash.
const crashWindow = 2 * time.Second

// A crashRecord counts the connections to endpoints that one start of an entry saw break
// during a request.
type crashRecord struct {
	count    int
	last     time.Time // time of the last one
	relapses int       // how often one came although the request was known to crash endpoints
}

// A CrashTracker counts the connections to endpoints that broke during each request, to
// quarantine requests that crash endpoints. Callers repeat such a request, possibly through
// another entry, and the connection breaks each time. Each crash after the quarantine has
// ended doubles it. Entries tell one another what they have seen and what they
// were told, so that the counts outlast the entries that saw the crashes. It is safe for
// concurrent use.
type CrashTracker struct {
	clock    gooseberrypass.Clock
	observer uint64 // this start of this entry
	settings Settings

	mu       sync.Mutex
	answered map[uint64]time.Time              // last answer to requests that have records
	records  map[uint64]map[uint64]crashRecord // by request and observer
}

// NewCrashTracker returns an empty CrashTracker. observer must differ from that of any other
// start of an entry.
func NewCrashTracker(clock gooseberrypass.Clock, settings Settings, observer uint64) *CrashTracker {
	return &CrashTracker{answered: map[uint64]time.Time{}, clock: clock, observer: observer, records: map[uint64]map[uint64]crashRecord{}, settings: settings}
}

// recordCrash counts a connection that broke during a request.
func (t *CrashTracker) recordCrash(digest gooseberrypass.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, key := t.clock.Now(), digest.Prefix()
	r := t.records[key][t.observer]
	if t.cleared(key, r) {
		r = crashRecord{}
	}
	if known := t.crashes(now, key); known.count >= t.settings.QuarantineCrashes && now.Sub(known.last) > crashWindow {
		r.relapses++
	}
	r.count, r.last = r.count+1, now
	t.put(now, key, t.observer, r)
}

// recordAnswered clears a request that was answered to the end: a request that crashes
// endpoints never is, so that earlier crashes had another cause.
func (t *CrashTracker) recordAnswered(digest gooseberrypass.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(digest.Prefix(), t.clock.Now())
}

// clear makes the crashes of a request up to a time count no more.
func (t *CrashTracker) clear(request uint64, at time.Time) {
	if t.records[request] != nil && at.After(t.answered[request]) {
		t.answered[request] = at
	}
}

// cleared reports whether a request was answered after the crashes of a record.
func (t *CrashTracker) cleared(request uint64, r crashRecord) bool {
	return !r.last.After(t.answered[request])
}

// put stores a record.
func (t *CrashTracker) put(now time.Time, request, observer uint64, r crashRecord) {
	if t.records[request] == nil {
		if len(t.records) >= maxTracked {
			t.evict(now)
		}
		t.records[request] = map[uint64]crashRecord{}
	}
	if _, known := t.records[request][observer]; known || len(t.records[request]) < maxObservers {
		t.records[request][observer] = r
	}
}

// evict drops the records that are too old or too few to quarantine a request.
func (t *CrashTracker) evict(now time.Time) {
	for request := range t.records {
		if t.crashes(now, request).count < t.settings.QuarantineCrashes {
			delete(t.records, request)
			delete(t.answered, request)
		}
	}
}

// memory is how long a crash counts: until the longest quarantine has ended, and as long
// again for the request to come once more.
func (t *CrashTracker) memory() time.Duration { return t.settings.QuarantineTime << (maxDoublings + 1) }

// crashes returns the sum of the records of a request.
func (t *CrashTracker) crashes(now time.Time, request uint64) crashRecord {
	var sum crashRecord
	for _, r := range t.records[request] {
		if now.Sub(r.last) > t.memory() || t.cleared(request, r) {
			continue
		}
		sum.count += r.count
		sum.relapses += r.relapses
		if r.last.After(sum.last) {
			sum.last = r.last
		}
	}
	return sum
}

// isQuarantined reports whether a request is refused because connections broke during it,
// here or at other entries.
func (t *CrashTracker) isQuarantined(digest gooseberrypass.Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	known := t.crashes(now, digest.Prefix())
	return known.count >= t.settings.QuarantineCrashes && now.Sub(known.last) <= t.settings.QuarantineTime<<min(known.relapses, maxDoublings)
}

// RequestCrashes returns what this entry tells others: what it has seen, and what it was told
// of requests during which more than one connection broke. The newest crashes come first.
func (t *CrashTracker) RequestCrashes() []gooseberrypass.RequestCrashes {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var all []gooseberrypass.RequestCrashes
	for request, records := range t.records {
		count := t.crashes(now, request).count
		for observer, r := range records {
			age := now.Sub(r.last)
			if t.cleared(request, r) {
				continue
			}
			suspect := count > 1 && age <= t.memory()
			if suspect || observer == t.observer && age <= t.settings.QuarantineTime {
				all = append(all, gooseberrypass.RequestCrashes{Age: age, Count: r.count, Observer: observer, Relapses: r.relapses, Request: request})
			}
		}
		if age := now.Sub(t.answered[request]); age <= t.settings.QuarantineTime {
			all = append(all, gooseberrypass.RequestCrashes{Age: age, Observer: t.observer, Request: request})
		}
	}
	slices.SortFunc(all, func(a, b gooseberrypass.RequestCrashes) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Observer, b.Observer))
	})
	return all[:min(len(all), maxShared)]
}

// AddRequestCrashes adds what another entry told. Nothing that it was told itself counts twice,
// and no record becomes younger on its way.
func (t *CrashTracker) AddRequestCrashes(told []gooseberrypass.RequestCrashes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, c := range told {
		if c.Count < 0 || c.Relapses < 0 || c.Age < 0 || c.Age > t.memory() || c.Observer == t.observer {
			continue
		}
		if c.Count == 0 {
			t.clear(c.Request, now.Add(-c.Age))
			continue
		}
		r := crashRecord{count: c.Count, last: now.Add(-c.Age), relapses: c.Relapses}
		known, ok := t.records[c.Request][c.Observer]
		anew := t.cleared(c.Request, known) && !t.cleared(c.Request, r) // counts begin anew after an answer
		if !ok || anew || c.Count > known.count {
			t.put(now, c.Request, c.Observer, r)
		}
	}
}
