package balancer

import (
	"math"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// demandTime is the time constant of the moving average of the demand for a service.
const demandTime = 2 * time.Second

// A demand is the moving average of the rate of requests for a service.
type demand struct {
	at   time.Time // last update
	rate float64   // requests per second
}

// add counts a request.
func (d *demand) add(now time.Time) {
	d.rate, d.at = d.ratePerSecond(now)+1/demandTime.Seconds(), now
}

// ratePerSecond returns the requests per second.
func (d *demand) ratePerSecond(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-float64(now.Sub(d.at))/float64(demandTime))
}

// countDemand counts a request for a service, once for each request.
func (b *Balancer) countDemand(now time.Time, service gooseberrypass.ID) {
	d, ok := b.demands[service]
	if !ok {
		d = &demand{}
		b.demands[service] = d
	}
	d.add(now)
}

// CountDemand counts a request for a service that waits before an endpoint is chosen for the
// first time. Its queries have Polled set.
func (b *Balancer) CountDemand(service gooseberrypass.ID) {
	b.locked(func() { b.countDemand(b.clock.Now(), service) })
}

// OwnDemand returns the requests per second that come to this entry, by service. Services
// without a limited endpoint are left out: only limits are shared by demand. Those whose
// endpoints can be cold are always reported, as entries must know the demand of one another
// when an endpoint becomes cold.
func (b *Balancer) OwnDemand() map[gooseberrypass.ID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	demands := map[gooseberrypass.ID]float64{}
	for _, e := range b.advised {
		if e.advisory.Limited {
			demands[e.listed.Service] = b.ownDemand(now, e.listed.Service)
		}
	}
	for service := range b.services {
		if b.coldSpec(service).rate > 0 {
			demands[service] = b.ownDemand(now, service)
		}
	}
	return demands
}

// SetEntryDemand replaces the demand that another entry reports, by service.
func (b *Balancer) SetEntryDemand(from gooseberrypass.ID, demands map[gooseberrypass.ID]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	replaceReported(b.entryDemands, from, demands)
}

// ownDemand returns the requests per second for a service that come to this entry.
func (b *Balancer) ownDemand(now time.Time, service gooseberrypass.ID) float64 {
	if d, ok := b.demands[service]; ok {
		return d.ratePerSecond(now)
	}
	return 0
}

// demandOf returns the requests per second for a service that come to an entry. One that
// has not reported any is taken to have as many as this entry.
func (b *Balancer) demandOf(now time.Time, entry, service gooseberrypass.ID) float64 {
	if reported, ok := b.entryDemands[entry][service]; ok {
		return reported
	}
	return b.ownDemand(now, service)
}
