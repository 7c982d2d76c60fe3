package emulator

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxCacheEvents bounds the number of retained cache events; the oldest are
// dropped.
const maxCacheEvents = 4096

// A prefixCache is an LRU set of prompt prefixes that records an event for each
// insertion and eviction. A fraction of the events is lost, which leaves gaps in
// their numbers.
type prefixCache struct {
	capacity   int
	entries    map[uint64]*list.Element
	events     []timedCacheEvent
	lastNumber uint64 // number of the last event, lost or not
	lossRate   float64
	random     *rand.Rand
	recency    *list.List // prefix hashes as uint64, most recently used first
}

type timedCacheEvent struct {
	at    time.Time
	event gooseberrypass.CacheEvent
}

func newPrefixCache(capacity int, lossRate float64, random *rand.Rand) *prefixCache {
	return &prefixCache{
		entries:  map[uint64]*list.Element{},
		lossRate: lossRate,
		recency:  list.New(),
		random:   random,
		capacity: capacity,
	}
}

// touch marks a prefix as the most recently used, inserting it if needed. It
// reports whether the cache already held it.
func (c *prefixCache) touch(now time.Time, prefix uint64) bool {
	if entry, ok := c.entries[prefix]; ok {
		c.recency.MoveToFront(entry)
		return true
	}
	if c.recency.Len() >= c.capacity {
		evicted := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.entries, evicted)
		c.record(now, gooseberrypass.CacheEvent{Evicted: true, Prefix: evicted})
	}
	c.entries[prefix] = c.recency.PushFront(prefix)
	c.record(now, gooseberrypass.CacheEvent{Prefix: prefix})
	return false
}

// record numbers an event and retains it unless it is chosen to be lost.
func (c *prefixCache) record(now time.Time, event gooseberrypass.CacheEvent) {
	c.lastNumber++
	event.Number = c.lastNumber
	if c.random.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, timedCacheEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxCacheEvents/2:])
	}
}

// after returns the events with a number above the given one that happened no
// later than visibleAt.
func (c *prefixCache) after(number uint64, visibleAt time.Time) []gooseberrypass.CacheEvent {
	events := []gooseberrypass.CacheEvent{}
	for _, e := range c.events {
		if e.event.Number > number && !e.at.After(visibleAt) {
			events = append(events, e.event)
		}
	}
	return events
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.boot.cache.after(after, e.clock.Now().Add(-e.settings.CacheEventLag))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}
