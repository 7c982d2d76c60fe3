package balancer

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// The range of a pace. One beyond it counts as its end, so that no figure excludes an
// endpoint: an endpoint without requests reports nothing new.
const (
	minPace = 0.2
	maxPace = 10
)

// paceMemory is the time for which a service counts as one whose endpoints share their
// machines after one of them reported a pace.
const paceMemory = 30 * time.Second

// A pace is the newest pace of an endpoint that any entry has heard.
type pace struct {
	heardAt time.Time
	own     bool    // heard by this entry
	ratio   float64 // 0 if none was heard
}

// PaceReceived records the time that work takes at the endpoint now, as a ratio to its usual
// time. 0 stands for none. It must be called for answers with any status, before HeadReceived.
func (t *Ticket) PaceReceived(ratio float64) {
	if !isPace(ratio) {
		return
	}
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoints[t.target.ID] != t.endpoint || t.endpoint.listed.StartMillis != t.target.StartMillis {
		return
	}
	t.pace = clampPace(ratio)
	b.recordPace(t.endpoint, pace{heardAt: b.clock.Now(), own: true, ratio: t.pace}, b.self.ID)
}

// isPace reports whether a figure is the pace of an endpoint.
func isPace(ratio float64) bool { return ratio > 0 && !math.IsInf(ratio, 1) }

func clampPace(ratio float64) float64 { return min(max(ratio, minPace), maxPace) }

// recordPace records a pace that an entry has heard, unless a newer one is known.
func (b *Balancer) recordPace(e *endpoint, heard pace, from gooseberrypass.ID) {
	if heard.heardAt.Before(e.pace.heardAt) {
		return
	}
	e.pace = heard
	service := e.listed.Service
	last, known := b.pacesHeard[service]
	if !known {
		b.logger.WithFields(logrus.Fields{fieldEndpoint: e.listed.ID, fieldService: service, "pace": heard.ratio, "age_ms": b.clock.Since(heard.heardAt).Milliseconds(), "from": from}).
			Info("endpoints of a service share their machines")
	}
	if !known || heard.heardAt.After(last) {
		b.pacesHeard[service] = heard.heardAt
	}
}

// addEntryPace records the pace that another entry reports with its load.
func (b *Balancer) addEntryPace(now time.Time, e *endpoint, load Load, from gooseberrypass.ID) {
	if isPace(load.Pace) && load.PaceAge < paceMemory {
		b.recordPace(e, pace{heardAt: now.Add(-max(load.PaceAge, 0)), ratio: clampPace(load.Pace)}, from)
	}
}

// expirePaces forgets services whose endpoints no longer report a pace.
func (b *Balancer) expirePaces(now time.Time) {
	for service, at := range b.pacesHeard {
		if age := now.Sub(at); age >= paceMemory {
			delete(b.pacesHeard, service)
			b.logger.WithFields(logrus.Fields{fieldService: service, "age_ms": age.Milliseconds()}).Info("endpoints of a service no longer share their machines")
		}
	}
}

// SharesMachines reports whether endpoints of a service share their machines with other
// work, so that their pace changes all the time.
func (b *Balancer) SharesMachines(service gooseberrypass.ID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.pacesHeard[service]
	return ok && b.clock.Since(at) < paceMemory
}

// PacedEndpoints returns the number of endpoints whose pace is known and still has weight.
func (b *Balancer) PacedEndpoints() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, n := b.clock.Now(), 0
	for _, e := range b.endpoints {
		if paceWeight(now.Sub(e.pace.heardAt), b.settings.PaceTTL) > 0 && e.pace.ratio > 0 {
			n++
		}
	}
	return n
}

// paceWeight returns the weight of a pace by its age, from 1 to 0. Paces change at regular
// intervals of about ttl, so the chance that one has not changed since falls evenly.
func paceWeight(age, ttl time.Duration) float64 {
	if age >= ttl {
		return 0
	}
	return min(1-float64(age)/float64(ttl), 1)
}

// paceOf returns the expected pace of an endpoint, 1 if nothing recent is known.
func (b *Balancer) paceOf(now time.Time, e *endpoint) float64 {
	if e.pace.ratio == 0 {
		return 1
	}
	return 1 + paceWeight(now.Sub(e.pace.heardAt), b.settings.PaceTTL)*(e.pace.ratio-1)
}

// paceFactor returns the factor of a pace in the cost of the requests at an endpoint. They
// outlast a pace, whereas the first event of the next request depends on it in full.
func (b *Balancer) paceFactor(pace float64) float64 { return 1 + b.settings.PaceWeight*(pace-1) }

// ownPace returns the pace of an endpoint and its age, for other entries, if this entry has
// heard it and it still has weight.
func (b *Balancer) ownPace(now time.Time, e *endpoint) (float64, time.Duration) {
	age := now.Sub(e.pace.heardAt)
	if !e.pace.own || paceWeight(age, b.settings.PaceTTL) == 0 {
		return 0, 0
	}
	return e.pace.ratio, max(age, 0)
}
