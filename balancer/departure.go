package balancer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// departureTTL is the time after which an endpoint that said that it leaves, and is no
// longer listed, is forgotten.
const departureTTL = 10 * time.Minute

// A departure is the news that an endpoint leaves, from one of its answers. It holds for one
// start of the endpoint.
type departure struct {
	heardAt     time.Time // when an entry last heard it, as far as known
	own         bool      // this entry heard it
	startMillis int64     // start of the endpoint
}

// recordDeparture records that an endpoint said that it leaves.
func (b *Balancer) recordDeparture(id gooseberrypass.ID, d departure, from gooseberrypass.ID) {
	known, ok := b.departures[id]
	switch {
	case ok && known.startMillis > d.startMillis:
		return
	case ok && known.startMillis == d.startMillis:
		known.own = known.own || d.own
		if d.heardAt.After(known.heardAt) {
			known.heardAt = d.heardAt
		}
		b.departures[id] = known
		return
	}
	b.departures[id] = d
	b.logger.WithFields(logrus.Fields{fieldEndpoint: id, "born": d.startMillis, "heard_by": from}).Info("endpoint says that it leaves")
}

// hasDeparted reports whether an endpoint said that it leaves and has not started anew since.
func (b *Balancer) hasDeparted(e *endpoint) bool {
	d, ok := b.departures[e.listed.ID]
	return ok && d.startMillis >= e.listed.StartMillis
}

// ownDepartures returns the departures that this entry has heard itself, for other entries.
func (b *Balancer) ownDepartures(now time.Time) []AdvisoryReport {
	var reports []AdvisoryReport
	for id, d := range b.departures {
		if age := now.Sub(d.heardAt); d.own && age < b.settings.AdvisoryTTL {
			reports = append(reports, AdvisoryReport{Advisory: gooseberrypass.Advisory{Leaving: true}, Age: age, Endpoint: id, StartMillis: d.startMillis})
		}
	}
	return reports
}

// expireDepartures forgets what other entries no longer say, and endpoints that are gone.
func (b *Balancer) expireDepartures(now time.Time) {
	for id, d := range b.departures {
		ttl := departureTTL
		if !d.own {
			ttl = b.settings.AdvisoryTTL
		}
		_, listed := b.endpoints[id]
		if d.own && listed || now.Sub(d.heardAt) < ttl {
			continue
		}
		delete(b.departures, id)
	}
}
