package replicator

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
)

// A departure is the news from an agent's endpoint that it leaves.
type departure struct {
	heardAt     time.Time // zero if there is none
	startMillis int64     // start of the endpoint
}

// SetDeparture records when an agent last heard from its endpoint that it leaves, and which
// start of the endpoint said so. The first time, it tells entries at once. It must be called on
// the control goroutine.
func (r *Replicator) SetDeparture(now, heardAt time.Time, startMillis int64) {
	first := r.departure.heardAt.IsZero() || r.departure.startMillis != startMillis
	r.departure = departure{heardAt: heardAt, startMillis: startMillis}
	if first {
		r.broadcast(now)
	}
}

// ownDeparture returns the departure of an agent's endpoint, unless the endpoint has started
// anew since.
func (r *Replicator) ownDeparture(now time.Time) []balancer.AdvisoryReport {
	d := r.departure
	if d.heardAt.IsZero() || r.status == nil || r.status.EngineStartMillis != d.startMillis {
		return nil
	}
	return []balancer.AdvisoryReport{{Advisory: gooseberrypass.Advisory{Leaving: true}, Age: now.Sub(d.heardAt), StartMillis: d.startMillis}}
}

// departuresOf returns the departures that an agent reports, which knows its endpoint's
// address but not its ID.
func (r *Replicator) departuresOf(m gossiper.Message) []balancer.AdvisoryReport {
	if len(m.Advisories) == 0 || m.EndpointStatus == nil {
		return nil
	}
	var reports []balancer.AdvisoryReport
	for _, e := range r.materializer.Snapshot().Endpoints {
		if e.Address != m.EndpointStatus.Address {
			continue
		}
		for _, report := range m.Advisories {
			if report.Advisory.Leaving {
				report.Endpoint = e.ID
				reports = append(reports, report)
			}
		}
	}
	return reports
}
