package monitor

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const (
	cacheReadPeriod  = time.Second
	cacheReadBackoff = 5 * time.Second
	cacheReadTimeout = 2 * time.Second
	maxEventsPerRead = 4096
	maxPrefixes      = 64 // most recent prefixes kept for an engine
)

// A CacheReader returns the cache events of an engine whose number is greater
// than after.
type CacheReader func(ctx context.Context, after uint64) ([]gooseberrypass.CacheEvent, error)

// A prefixCache mirrors the prefix cache of an engine from its cache events.
// Events may arrive late or repeatedly, or be lost; a gap in their numbers
// clears the mirror.
type prefixCache struct {
	lastBeforeReset uint64 // number of the last event before the last gap or restart
	lastEvent       uint64 // number of the last event applied
	nextRead        time.Time
	prefixes        []uint64 // oldest first; the slice is replaced, never modified
	reader          CacheReader
	reading         bool
	resets          int // number of restarts; results of reads begun before one are dropped
}

func newPrefixCache(reader CacheReader) *prefixCache {
	return &prefixCache{reader: reader}
}

func (c *prefixCache) effects(now time.Time) []gooseberrypass.Effect {
	if c.reading || now.Before(c.nextRead) {
		return nil
	}
	c.reading = true
	return []gooseberrypass.Effect{readCacheEvents{after: c.lastEvent, reader: c.reader, resets: c.resets}}
}

// reset clears the mirror. The next event is expected to follow number last.
func (c *prefixCache) reset(last uint64) {
	c.lastBeforeReset = c.lastEvent
	c.lastEvent = last
	c.prefixes = nil
	c.resets++
}

func (c *prefixCache) handleRead(now time.Time, e cacheEventsRead) {
	c.reading = false
	if e.err != nil {
		c.nextRead = now.Add(cacheReadBackoff)
		return
	}
	c.nextRead = now.Add(cacheReadPeriod)
	if e.resets != c.resets {
		return
	}
	prefixes := slices.Clone(c.prefixes)
	for _, event := range e.events[:min(len(e.events), maxEventsPerRead)] {
		if event.Number <= c.lastEvent {
			continue
		}
		if event.Number != c.lastEvent+1 && c.lastEvent != 0 {
			c.lastBeforeReset = c.lastEvent
			prefixes = nil
		}
		c.lastEvent = event.Number
		prefixes = applyEvent(prefixes, event)
	}
	c.prefixes = prefixes[max(len(prefixes)-maxPrefixes, 0):]
}

// applyEvent moves the prefix of an event to the end, or removes it if the
// engine evicted it.
func applyEvent(prefixes []uint64, event gooseberrypass.CacheEvent) []uint64 {
	if i := slices.Index(prefixes, event.Prefix); i >= 0 {
		prefixes = slices.Delete(prefixes, i, i+1)
	}
	if event.Evicted {
		return prefixes
	}
	return append(prefixes, event.Prefix)
}

// A readCacheEvents is the effect that reads cache events.
type readCacheEvents struct {
	after  uint64
	reader CacheReader
	resets int
}

// EffectName implements gooseberrypass.Effect.
func (readCacheEvents) EffectName() string { return "cache-read" }

// Run implements gooseberrypass.Effect.
func (r readCacheEvents) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	events, err := r.reader(ctx, r.after)
	return cacheEventsRead{err: err, events: events, resets: r.resets}
}

// A cacheEventsRead is the event with the result of a readCacheEvents effect.
type cacheEventsRead struct {
	err    error
	events []gooseberrypass.CacheEvent
	resets int
}

// EventName implements gooseberrypass.Event.
func (cacheEventsRead) EventName() string { return "cache-read" }

var (
	_ gooseberrypass.Effect = readCacheEvents{}
	_ gooseberrypass.Event  = cacheEventsRead{}
)
