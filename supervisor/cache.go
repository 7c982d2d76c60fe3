package supervisor

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const (
	cachePeriod     = time.Second
	cacheBackoff    = 5 * time.Second
	cacheTimeout    = 2 * time.Second
	maxPrefixes     = 64
	maxEventsAtOnce = 4096
)

// A CacheReader returns an engine's cache events after a number.
type CacheReader func(ctx context.Context, after uint64) ([]gooseberrypass.CacheEvent, error)

// A cache is what is believed of an engine's prefix cache. Events come late,
// repeated and with gaps; a gap resets what was believed.
type cache struct {
	gap      uint64
	last     uint64
	next     time.Time
	prefixes []uint64 // the latest last; replaced, never changed
	reader   CacheReader
	reading  bool
	resets   int
}

func newCache(reader CacheReader) *cache {
	return &cache{reader: reader}
}

func (c *cache) effects(now time.Time) []gooseberrypass.Effect {
	if c.reading || now.Before(c.next) {
		return nil
	}
	c.reading = true
	return []gooseberrypass.Effect{readCache{after: c.last, reader: c.reader, resets: c.resets}}
}

// reset forgets what was believed; events go on after number last.
func (c *cache) reset(last uint64) {
	c.gap = c.last
	c.last = last
	c.prefixes = nil
	c.resets++
}

func (c *cache) take(now time.Time, e cacheRead) {
	c.reading = false
	if e.err != nil {
		c.next = now.Add(cacheBackoff)
		return
	}
	c.next = now.Add(cachePeriod)
	if e.resets != c.resets {
		return
	}
	prefixes := slices.Clone(c.prefixes)
	for _, event := range e.events[:min(len(e.events), maxEventsAtOnce)] {
		if event.Number <= c.last {
			continue
		}
		if event.Number != c.last+1 && c.last != 0 {
			c.gap = c.last
			prefixes = nil
		}
		c.last = event.Number
		prefixes = apply(prefixes, event)
	}
	c.prefixes = prefixes[max(len(prefixes)-maxPrefixes, 0):]
}

func apply(prefixes []uint64, event gooseberrypass.CacheEvent) []uint64 {
	if i := slices.Index(prefixes, event.Prefix); i >= 0 {
		prefixes = slices.Delete(prefixes, i, i+1)
	}
	if event.Evicted {
		return prefixes
	}
	return append(prefixes, event.Prefix)
}

// A readCache reads cache events.
type readCache struct {
	after  uint64
	reader CacheReader
	resets int
}

// EffectName implements gooseberrypass.Effect.
func (readCache) EffectName() string { return "cache-read" }

// Run implements gooseberrypass.Effect.
func (r readCache) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	events, err := r.reader(ctx, r.after)
	return cacheRead{err: err, events: events, resets: r.resets}
}

// A cacheRead is the event that cache events were read.
type cacheRead struct {
	err    error
	events []gooseberrypass.CacheEvent
	resets int
}

// EventName implements gooseberrypass.Event.
func (cacheRead) EventName() string { return "cache-read" }

var (
	_ gooseberrypass.Effect = readCache{}
	_ gooseberrypass.Event  = cacheRead{}
)
