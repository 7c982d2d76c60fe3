package balancer

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// Log fields.
const (
	fieldEndpoint = "endpoint"
	fieldRate     = "rate"
	fieldService  = "service"
)

// An advisory is the newest advisory of an endpoint that any entry has heard.
type advisory struct {
	gooseberrypass.Advisory
	heardAt time.Time // zero if none was heard
	own     bool      // heard by this entry
}

// An AdvisoryReport is an advisory that an entry has heard, as it tells other entries.
type AdvisoryReport struct {
	Advisory    gooseberrypass.Advisory
	Age         time.Duration // time since it was heard
	Endpoint    gooseberrypass.ID
	StartMillis int64 // start of the endpoint, in Unix milliseconds, 0 if unknown
}

// AdvisoryReceived records what the endpoint says in an answer about the requests that
// it wants. It must be called for answers with any status.
func (t *Ticket) AdvisoryReceived(a gooseberrypass.Advisory) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Invalid != "" && a.Invalid != t.endpoint.advisory.Invalid {
		b.logger.WithFields(logrus.Fields{fieldEndpoint: t.target.ID, "value": a.Invalid}).Warn("endpoint sent an advisory that cannot be read, ignoring it")
	}
	if a.Leaving {
		b.recordDeparture(t.target.ID, departure{heardAt: b.clock.Now(), own: true, startMillis: t.target.StartMillis}, b.self.ID)
	}
	if a.Pause > 0 {
		b.recordPause(b.clock.Now(), t, a.Pause)
	}
	if !a.Limited && !t.endpoint.advisory.Limited {
		t.endpoint.advisory.Invalid = a.Invalid
		return
	}
	b.setAdvisory(t.endpoint, advisory{Advisory: a, heardAt: b.clock.Now(), own: true}, b.self.ID)
}

// OwnAdvisories returns the advisories that this entry has heard itself, for other
// entries. The end of a limit is reported for as long as others may remember the limit.
func (b *Balancer) OwnAdvisories() []AdvisoryReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var reports []AdvisoryReport
	for id, e := range b.advised {
		life := b.settings.AdvisoryTTL
		if e.advisory.Limited {
			life = b.settings.ReportTTL
		}
		age := now.Sub(e.advisory.heardAt)
		if e.advisory.own && age < life {
			limit := gooseberrypass.Advisory{Limited: e.advisory.Limited, Rate: e.advisory.Rate}
			reports = append(reports, AdvisoryReport{Advisory: limit, Age: age, Endpoint: id, StartMillis: e.listed.StartMillis})
		}
	}
	return append(reports, b.ownDepartures(now)...)
}

// AddAdvisories records the advisories that another entry reports, unless newer ones are
// known.
func (b *Balancer) AddAdvisories(now time.Time, from gooseberrypass.ID, reports []AdvisoryReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		if r.Advisory.Leaving && r.Age >= b.settings.AdvisoryTTL {
			continue // an agent repeats what an endpoint said that no longer answers
		}
		if r.Advisory.Leaving {
			b.recordDeparture(r.Endpoint, departure{heardAt: now.Add(-r.Age), startMillis: r.StartMillis}, from)
			continue
		}
		heard := advisory{Advisory: r.Advisory, heardAt: now.Add(-r.Age)}
		if e, ok := b.endpoints[r.Endpoint]; ok && r.StartMillis >= e.listed.StartMillis && heard.heardAt.After(e.advisory.heardAt) {
			b.setAdvisory(e, heard, from)
		}
	}
}

// LimitedEndpoints returns the number of endpoints that limit their rate.
func (b *Balancer) LimitedEndpoints() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.advised {
		if e.advisory.Limited {
			n++
		}
	}
	return n
}

// minLoggedChange is the smallest relative change of a limit that is logged.
const minLoggedChange = 0.2

// setAdvisory replaces the advisory of an endpoint, which the entry from heard.
func (b *Balancer) setAdvisory(e *endpoint, heard advisory, from gooseberrypass.ID) {
	old := e.advisory
	b.storeAdvisory(e, heard)
	b.shareLimit(b.clock.Now(), e)
	logger := b.logger.WithFields(logrus.Fields{fieldEndpoint: e.listed.ID, "heard_by": from, fieldService: e.listed.Service})
	switch {
	case heard.Limited && (!old.Limited || math.Abs(heard.Rate-old.Rate) > minLoggedChange*old.Rate):
		logger.WithFields(logrus.Fields{"entries": len(e.limit.order), "old_rate": old.Rate, fieldRate: heard.Rate, "share": float64(e.limit.bucket.Limit())}).Info("endpoint limits its request rate")
	case old.Limited && !heard.Limited:
		logger.WithField("old_rate", old.Rate).Info("endpoint no longer limits its request rate")
	}
}

// storeAdvisory stores the advisory of an endpoint, the zero value for none.
func (b *Balancer) storeAdvisory(e *endpoint, a advisory) {
	e.advisory = a
	id := e.listed.ID
	switch {
	case b.endpoints[id] != e: // an answer that ends after its endpoint has left the list
	case a.heardAt.IsZero():
		delete(b.advised, id)
	default:
		b.advised[id] = e
	}
}

// expireAdvisories forgets the limits that no entry has heard for AdvisoryTTL.
func (b *Balancer) expireAdvisories(now time.Time) {
	for _, e := range b.advised {
		if now.Sub(e.advisory.heardAt) < b.settings.AdvisoryTTL {
			continue
		}
		if e.advisory.Limited {
			b.logger.WithFields(logrus.Fields{fieldEndpoint: e.listed.ID, fieldRate: e.advisory.Rate}).Info("no entry has heard the rate limit of an endpoint for long, forgetting it")
			e.probation = true // one request is enough to hear it again
		}
		b.storeAdvisory(e, advisory{})
		b.shareLimit(now, e)
	}
	for id, e := range b.unlisted {
		if now.Sub(e.advisory.heardAt) >= b.settings.AdvisoryTTL {
			delete(b.unlisted, id)
		}
	}
}
