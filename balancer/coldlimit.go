package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

const (
	// coldBurstShare is the part of the requests that the rule allows beyond the sustained
	// rate which entries may save up. The rest covers shares that add up to more than one
	// while the demand changes, and differences in the time that requests take.
	coldBurstShare = 0.7
	coldLogPeriod  = time.Second // shortest time between two log lines about cold endpoints of a service
)

// A coldSpec is how the endpoints of a service are cold. Its rate is 0 if nothing limits the
// requests to them.
type coldSpec struct {
	rate float64       // requests per second that a cold endpoint sustains
	time time.Duration // time for which an endpoint is cold after it started
}

// A coldBudget is what all entries together may send to a cold endpoint: the requests per
// second, and those that they may have saved up. Each entry with a share has at least one of
// the latter, so that their number is the largest one of entries with a share.
type coldBudget struct {
	burst int
	rate  float64
}

// newColdBudget returns the budget for an endpoint that sustains a rate, so that no more than
// rate x overshoot + slack requests are sent in any second.
func newColdBudget(sustained, overshoot, slack float64) coldBudget {
	limit := min(sustained, maxLimitRate)*overshoot + slack
	sustained = min(sustained, maxLimitRate)
	burst := max(1, int(coldBurstShare*(limit-sustained)))
	return coldBudget{burst: burst, rate: max(min(sustained, limit-float64(burst)), minLimitRate)}
}

// A coldLog is what was last logged of the cold endpoints of a service.
type coldLog struct {
	at   time.Time
	cold int
}

// isEvacuated reports whether an endpoint is in a failure domain that is evacuated.
func (b *Balancer) isEvacuated(e *endpoint) bool {
	_, ok := b.snapshot.Evacuated[e.listed.FailureDomain]
	return ok
}

// coldSpec returns how the endpoints of a service are cold.
func (b *Balancer) coldSpec(service gooseberrypass.ID) coldSpec {
	if b.settings.ColdOvershoot <= 0 || b.snapshot.Deployment == nil {
		return coldSpec{}
	}
	spec, _ := b.snapshot.Deployment.Service(service)
	return coldSpec{rate: spec.ColdRate, time: spec.ColdTime}
}

// updateCold updates the times until which endpoints are cold to the snapshot.
func (b *Balancer) updateCold(now time.Time) {
	if b.settings.ColdOvershoot <= 0 {
		return
	}
	b.cold.list(now, b.snapshot.Endpoints, b.snapshot.Released)
	for _, e := range b.endpoints {
		b.refreshCold(now, e)
	}
}

// updateRenewed updates the times until which endpoints are cold to their renewed records.
func (b *Balancer) updateRenewed(now time.Time, renewed []gooseberrypass.Endpoint) {
	for _, listed := range renewed {
		if e, ok := b.endpoints[listed.ID]; ok {
			b.cold.renew(now, listed)
			b.refreshCold(now, e)
		}
	}
}

// refreshCold updates the time until which an endpoint is cold and its limit.
func (b *Balancer) refreshCold(now time.Time, e *endpoint) {
	e.coldUntil = time.Time{}
	if spec := b.coldSpec(e.listed.Service); spec.rate > 0 {
		e.coldUntil = b.cold.until(e.listed.ID, spec.time)
	}
	b.shareColdLimit(now, e)
}

// shareColdLimit updates the share of this entry in the limit of a cold endpoint. An entry
// that gets a share has a random part of its first request saved up: entries hear at about
// the same moment that an endpoint is cold, and would all send their first one together.
func (b *Balancer) shareColdLimit(now time.Time, e *endpoint) {
	if !now.Before(e.coldUntil) {
		e.coldLimit = limit{}
		return
	}
	budget := newColdBudget(b.coldSpec(e.listed.Service).rate, b.settings.ColdOvershoot, b.settings.ColdSlack)
	l := &e.coldLimit
	if l.order == nil || l.epoch != b.entriesEpoch {
		l.order, l.epoch = b.coldOrder(e), b.entriesEpoch
	}
	holders := l.order[:min(budget.burst, len(l.order))]
	share := b.shareAmong(now, e.listed.Service, holders)
	burst := 0
	if share > 0 {
		burst = 1 + int(share*float64(budget.burst-len(holders)))
	}
	perSecond := rate.Limit(share * budget.rate)
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(perSecond, burst)
		if burst > 0 {
			saved := time.Duration(b.rng.Float64() / float64(perSecond) * float64(time.Second))
			l.bucket.AllowN(now.Add(-saved), burst)
		}
		return
	}
	l.bucket.SetLimitAt(now, perSecond)
	l.bucket.SetBurstAt(now, burst)
}

// coldOrder returns the entries in the order in which they get a share of what a cold
// endpoint gets. The registered ones are among them even if nothing was heard of them: one
// that has just started has not heard of the others, and those that a broken link separates
// still reach the endpoint. The region does not count, so that the demand of all regions can
// warm up an endpoint.
func (b *Balancer) coldOrder(e *endpoint) []gooseberrypass.ID {
	entries := map[gooseberrypass.ID]uint64{}
	add := func(id gooseberrypass.ID) { entries[id] = xxhash.Sum64String(string(e.listed.ID) + " " + string(id)) }
	add(b.self.ID)
	for id := range b.entriesSeen {
		add(id)
	}
	for _, p := range b.snapshot.Processes {
		if p.Role == gooseberrypass.RoleEntry {
			add(p.ID)
		}
	}
	order := make([]gooseberrypass.ID, 0, len(entries))
	for id := range entries {
		order = append(order, id)
	}
	slices.SortFunc(order, func(a, b gooseberrypass.ID) int {
		return cmp.Or(cmp.Compare(entries[a], entries[b]), cmp.Compare(a, b))
	})
	return order
}

// coldWait returns the time until this entry may send a request to an endpoint that is cold,
// 0 if it may now.
func (e *endpoint) coldWait(now time.Time) time.Duration {
	if !now.Before(e.coldUntil) {
		return 0
	}
	return min(e.coldLimit.wait(now), e.coldUntil.Sub(now))
}

// expireCold logs changes and forgets endpoints that are gone.
func (b *Balancer) expireCold(now time.Time) {
	if b.settings.ColdOvershoot <= 0 {
		return
	}
	b.cold.prune(now, func(id gooseberrypass.ID) bool { return b.endpoints[id] != nil })
	cold := map[gooseberrypass.ID][]*endpoint{}
	for _, e := range b.endpoints {
		if now.Before(e.coldUntil) {
			cold[e.listed.Service] = append(cold[e.listed.Service], e)
		}
	}
	for service := range b.services {
		b.logCold(now, service, cold[service])
	}
	for service, last := range b.coldLogs {
		if b.services[service] != nil {
			continue
		}
		b.logCold(now, service, nil)
		if last.cold == 0 && now.Sub(last.at) >= coldLogPeriod {
			delete(b.coldLogs, service)
		}
	}
}

// logCold logs a change of the number of cold endpoints of a service, at most once in
// coldLogPeriod.
func (b *Balancer) logCold(now time.Time, service gooseberrypass.ID, cold []*endpoint) {
	last := b.coldLogs[service]
	if len(cold) == last.cold || now.Sub(last.at) < coldLogPeriod {
		return
	}
	b.coldLogs[service] = coldLog{at: now, cold: len(cold)}
	logger := b.logger.WithFields(logrus.Fields{"cold": len(cold), "cold_before": last.cold, "service": service})
	if len(cold) == 0 {
		logger.Info("no endpoint of the service is cold any longer")
		return
	}
	assumed, left, share, newest := 0, time.Duration(0), 0.0, time.Time{}
	for _, e := range cold {
		k := b.cold.known[e.listed.ID]
		if !k.assumedAt.IsZero() && !k.warm {
			assumed++
		}
		if k.reportedAt.After(newest) {
			newest = k.reportedAt
		}
		left = max(left, e.coldUntil.Sub(now))
		if e.coldLimit.bucket != nil {
			share += float64(e.coldLimit.bucket.Limit())
		}
	}
	logger.WithFields(logrus.Fields{
		"assumed": assumed, "entries": len(cold[0].coldLimit.order), "left": left.String(), fieldRate: b.coldSpec(service).rate, "record_age": now.Sub(newest).String(), "share": share,
	}).Info("limiting the requests to cold endpoints of the service")
}

// logEvacuations logs the failure domains whose evacuation begins or ends with a snapshot.
func (b *Balancer) logEvacuations(snapshot *materializer.Snapshot) {
	loggerOf := func(domain gooseberrypass.FailureDomain) logrus.FieldLogger {
		n := 0
		for _, e := range snapshot.Endpoints {
			if e.FailureDomain == domain {
				n++
			}
		}
		return b.logger.WithFields(logrus.Fields{"endpoints": n, "failure_domain": domain})
	}
	for domain := range snapshot.Evacuated {
		if _, ok := b.snapshot.Evacuated[domain]; !ok {
			loggerOf(domain).Info("failure domain is evacuated, its endpoints get no requests")
		}
	}
	for domain, at := range snapshot.Released {
		if !at.Equal(b.snapshot.Released[domain]) {
			loggerOf(domain).WithField("known_for", b.clock.Since(at).String()).Info("failure domain is no longer evacuated")
		}
	}
}

// ColdEndpoints returns the number of endpoints that get few requests because they are cold.
func (b *Balancer) ColdEndpoints() int {
	now := b.clock.Now()
	return b.count(func(e *endpoint) bool { return now.Before(e.coldUntil) })
}

// EvacuatedEndpoints returns the number of endpoints in failure domains that are evacuated.
func (b *Balancer) EvacuatedEndpoints() int { return b.count(b.isEvacuated) }

// count returns the number of listed endpoints with a property.
func (b *Balancer) count(has func(*endpoint) bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.endpoints {
		if has(e) {
			n++
		}
	}
	return n
}
