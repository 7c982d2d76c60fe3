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

// maxCacheEvents bounds the cache events that are kept; older ones are gone.
const maxCacheEvents = 4096

// A prefixCache is the set of prefixes used last, with the events of its
// changes. Some events are lost, which leaves a gap in their numbers.
type prefixCache struct {
	entries map[uint64]*list.Element
	events  []datedCacheEvent
	last    uint64 // number of the last event
	loss    float64
	order   *list.List // of uint64, the prefix used last in front
	random  *rand.Rand
	size    int
}

type datedCacheEvent struct {
	at    time.Time
	event gooseberrypass.CacheEvent
}

func newPrefixCache(size int, loss float64, random *rand.Rand) *prefixCache {
	return &prefixCache{
		entries: map[uint64]*list.Element{},
		loss:    loss,
		order:   list.New(),
		random:  random,
		size:    size,
	}
}

// touch uses a prefix. It reports whether the cache held it.
func (c *prefixCache) touch(now time.Time, prefix uint64) bool {
	if entry, ok := c.entries[prefix]; ok {
		c.order.MoveToFront(entry)
		return true
	}
	if c.order.Len() >= c.size {
		evicted := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, evicted)
		c.note(now, gooseberrypass.CacheEvent{Evicted: true, Prefix: evicted})
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	c.note(now, gooseberrypass.CacheEvent{Prefix: prefix})
	return false
}

func (c *prefixCache) note(now time.Time, event gooseberrypass.CacheEvent) {
	c.last++
	event.Number = c.last
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, datedCacheEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxCacheEvents/2:])
	}
}

// after returns the events later than a number that show at a time.
func (c *prefixCache) after(number uint64, shown time.Time) []gooseberrypass.CacheEvent {
	events := []gooseberrypass.CacheEvent{}
	for _, e := range c.events {
		if e.event.Number > number && !e.at.After(shown) {
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
	events := e.run.cache.after(after, e.clock.Now().Add(-e.set.CacheEventLag))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}
