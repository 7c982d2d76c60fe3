package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
)

// How entries share the limit of an endpoint. Each of them may save up a request, and all
// may send theirs at once, so that only a few share a low limit.
const (
	limitBurst     = time.Second     // time for which the share of an entry is saved up, at least one request
	minLimitRate   = 0.2             // requests per second that an endpoint gets whatever it names, to learn when that changes
	minHolders     = 3               // entries that share any limit
	holdersPerRate = 1               // further ones for each request per second
	maxLimitRate   = 1e6             // requests per second; higher limits count as it
	maxLimitWait   = 5 * time.Second // longest time until room is expected, as limits and shares change
	idleWeight     = 0.05            // weight of an entry without requests, as a ratio to the mean of all
)

// A limit is the share of an endpoint's limit that this entry may use.
type limit struct {
	bucket *rate.Limiter       // nil if the endpoint has no limit
	epoch  int                 // of order
	order  []gooseberrypass.ID // entries in the order in which they get a share
}

// wait returns the time until this entry may send a request under the limit, 0 if it may
// now. Without a share that is maxLimitWait.
func (l *limit) wait(now time.Time) time.Duration {
	bucket := l.bucket
	if bucket == nil {
		return 0
	}
	missing := 1 - bucket.TokensAt(now)
	switch {
	case missing <= 0:
		return 0
	case bucket.Burst() == 0:
		return maxLimitWait
	default:
		return time.Duration(min(math.Ceil(missing/float64(bucket.Limit())*float64(time.Second)), float64(maxLimitWait)))
	}
}

// takeFromLimits counts a request that is sent to an endpoint.
func (e *endpoint) takeFromLimits(now time.Time) {
	for _, l := range []*limit{&e.limit, &e.coldLimit} {
		if l.bucket != nil {
			l.bucket.AllowN(now, 1)
		}
	}
}

// shareLimits updates the shares of all limits.
func (b *Balancer) shareLimits(now time.Time) {
	for _, e := range b.endpoints {
		if e.limit.bucket != nil {
			b.shareLimit(now, e)
		}
		b.shareColdLimit(now, e)
	}
}

// shareLimit updates the share of this entry in the limit of an endpoint.
func (b *Balancer) shareLimit(now time.Time, e *endpoint) {
	if !e.advisory.Limited {
		e.limit = limit{}
		return
	}
	total := min(max(e.advisory.Rate, minLimitRate), maxLimitRate)
	share := total * b.limitShare(now, e, minHolders+int(holdersPerRate*total))
	burst := 0
	if share > 0 {
		burst = max(1, int(share*limitBurst.Seconds()))
	}
	if e.limit.bucket == nil {
		e.limit.bucket = rate.NewLimiter(rate.Limit(share), burst)
		e.limit.bucket.AllowN(now, burst) // the endpoint has more than enough when it names a limit
		return
	}
	e.limit.bucket.SetLimitAt(now, rate.Limit(share))
	e.limit.bucket.SetBurstAt(now, burst)
}

// restoreLimit gives an endpoint that is listed again the limit that it named before, unless
// it has started anew since.
func (b *Balancer) restoreLimit(e *endpoint) {
	former, ok := b.unlisted[e.listed.ID]
	if !ok {
		return
	}
	delete(b.unlisted, e.listed.ID)
	if former.listed.StartMillis >= e.listed.StartMillis {
		b.storeAdvisory(e, former.advisory)
		e.limit = former.limit
	}
}

// limitShare returns the share of this entry in the limit of an endpoint, from 0 to 1: its
// share of the demand for the service at the entries that hold the limit.
func (b *Balancer) limitShare(now time.Time, e *endpoint, holders int) float64 {
	if e.limit.order == nil || e.limit.epoch != b.entriesEpoch {
		e.limit.order, e.limit.epoch = b.limitOrder(e), b.entriesEpoch
	}
	return b.shareAmong(now, e.listed.Service, e.limit.order[:min(holders, len(e.limit.order))])
}

// shareAmong returns the share of this entry in the demand for a service at some entries,
// from 0 to 1.
func (b *Balancer) shareAmong(now time.Time, service gooseberrypass.ID, order []gooseberrypass.ID) float64 {
	if !slices.Contains(order, b.self.ID) {
		return 0
	}
	sum := 0.0
	for _, id := range order {
		sum += b.demandOf(now, id, service)
	}
	if sum == 0 {
		return 1 / float64(len(order))
	}
	idle := idleWeight * sum / float64(len(order))
	return (b.ownDemand(now, service) + idle) / (sum * (1 + idleWeight))
}

// limitOrder returns the live entries in the order in which they get a share of the limit
// of an endpoint: those of its region first. All entries compute the same order.
func (b *Balancer) limitOrder(e *endpoint) []gooseberrypass.ID {
	regions := map[gooseberrypass.ID]gooseberrypass.Region{}
	for _, p := range b.snapshot.Processes {
		regions[p.ID] = p.Region
	}
	regions[b.self.ID] = b.self.Region
	type ranked struct {
		far  int // 1 if in another region than the endpoint
		hash uint64
		id   gooseberrypass.ID
	}
	entries := make([]ranked, 0, len(b.entriesSeen)+1)
	add := func(id gooseberrypass.ID) {
		r := ranked{hash: xxhash.Sum64String(string(e.listed.ID) + " " + string(id)), id: id}
		if regions[id] != e.region {
			r.far = 1
		}
		entries = append(entries, r)
	}
	add(b.self.ID)
	for id := range b.entriesSeen {
		add(id)
	}
	slices.SortFunc(entries, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	order := make([]gooseberrypass.ID, 0, len(entries))
	for _, r := range entries {
		order = append(order, r.id)
	}
	return order
}
