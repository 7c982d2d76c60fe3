package balancer

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// OnCapacity sets the function that is called after capacity may have been freed at endpoints
// of a service: a request has ended there, its prompt was read, or another entry reports less
// load. ended is set if a request of this entry has ended there. It is called without the
// balancer's lock and may choose endpoints.
func (b *Balancer) OnCapacity(f func(service gooseberrypass.ID, ended bool)) { b.onCapacity.Store(&f) }

// locked calls f with the balancer's lock held.
func (b *Balancer) locked(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// reportCapacity reports that capacity may have been freed. The caller must not hold b.mu.
func (b *Balancer) reportCapacity(ended bool, services ...gooseberrypass.ID) {
	f := b.onCapacity.Load()
	if f == nil {
		return
	}
	for _, service := range services {
		(*f)(service, ended)
	}
}

// reportAllCapacity reports that capacity may have been freed at any service.
func (b *Balancer) reportAllCapacity() {
	if b.onCapacity.Load() == nil {
		return
	}
	var services []gooseberrypass.ID
	b.locked(func() {
		for service := range b.services {
			services = append(services, service)
		}
	})
	b.reportCapacity(false, services...)
}

// servicesFreed returns the services at whose endpoints another entry has less load than it
// reported before.
func (b *Balancer) servicesFreed(before, after map[gooseberrypass.ID]Load) []gooseberrypass.ID {
	var freed []gooseberrypass.ID
	for id, old := range before {
		e, ok := b.endpoints[id]
		if !ok || slices.Contains(freed, e.listed.Service) {
			continue
		}
		if now := after[id]; now.Requests < old.Requests || now.UnreadTokens < old.UnreadTokens {
			freed = append(freed, e.listed.Service)
		}
	}
	return freed
}

// fillLimit returns the number of requests at an engine below which it gets more, if a share
// of it is kept free for more urgent requests. At least one slot is left.
func fillLimit(limit, headroom float64) float64 {
	if headroom <= 0 {
		return limit
	}
	return min(limit, max(limit*(1-headroom), 1))
}

// FirstEvent predicts the time to the first event of a request at an endpoint without other
// requests, 0 if it is unknown.
func (b *Balancer) FirstEvent(q Query) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.predictFirstEvent(q.PromptTokens, q.Service, 1)
}

// Serves reports whether any endpoint serves a request when it has capacity.
func (b *Balancer) Serves(q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[q.Service]
	if p == nil {
		return false
	}
	now := b.clock.Now()
	serves := func(e *endpoint) bool { return b.eligibility(now, e, q) == stateAvailable }
	return slices.ContainsFunc(p.local, serves) || slices.ContainsFunc(p.remote, serves) || slices.ContainsFunc(p.lapsed, serves)
}

// rivalEpoch is the time after which the order of entries at an endpoint changes, so that none
// is always first or last.
const rivalEpoch = 100 * time.Millisecond

// RivalKey returns the number of an entry or endpoint by which entries are ordered at endpoints.
func RivalKey(id gooseberrypass.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// mayTake reports whether this entry may take one of the free places of an endpoint. Entries
// where requests wait see the same free places at the same time, with the messages of others,
// and would all take them. So of those entries only as many may as there are places. The
// order of the entries differs between endpoints and changes with the time of day, the only
// number that entries share without a message. If it jumps at an entry, that entry has another
// order: on average as many entries as there are places still take one, and each entry gets its
// share, as no order is remembered. A surplus request waits for a slot of the engine. A place
// that this entry has freed and not yet reported is seen by no other entry.
func (b *Balancer) mayTake(e *endpoint, q Query, free int) bool {
	if free > len(q.Rivals) || e.own.Requests < e.reported {
		return true
	}
	salt := e.key + uint64(b.clock.Now().UnixNano()/int64(rivalEpoch))
	own, before := mix(b.selfKey^salt), 0
	for _, rival := range q.Rivals {
		if mix(rival^salt) < own {
			before++
		}
	}
	return before < free
}

// mix spreads the bits of a number, as the finalizer of MurmurHash3 does.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
