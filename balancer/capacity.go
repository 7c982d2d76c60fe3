package balancer

import (
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
