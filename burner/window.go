package burner

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// bucketTime is the resolution of the counts.
const bucketTime = time.Minute

// bucketCount covers the longest window.
const bucketCount = int(72 * time.Hour / bucketTime)

// windows returns the windows over which burn is told, shortest first.
func windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// A bucket counts the requests of one minute.
type bucket struct {
	bad    uint32
	minute int64
	total  uint32
}

// A ring counts the requests of one objective, minute by minute.
type ring struct {
	buckets []bucket
}

func newRing() *ring { return &ring{buckets: make([]bucket, bucketCount)} }

// add counts one request that ended at now.
func (r *ring) add(now time.Time, bad bool) {
	minute := now.Unix() / int64(bucketTime/time.Second)
	b := &r.buckets[minute%int64(bucketCount)]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	b.total++
	if bad {
		b.bad++
	}
}

// count returns the requests of the window that ends at now.
func (r *ring) count(now time.Time, window time.Duration) Count {
	last := now.Unix() / int64(bucketTime/time.Second)
	first := last - int64(window/bucketTime) + 1
	c := Count{}
	for _, b := range r.buckets {
		if b.minute >= first && b.minute <= last {
			c.Total += uint64(b.total)
			c.Bad += uint64(b.bad)
		}
	}
	return c
}

// A Count counts the requests of a window.
type Count struct {
	Bad   uint64
	Total uint64
}

// BurnRate returns how many times faster than allowed the error budget of an
// objective with the given share is spent. 1 spends it exactly.
func (c Count) BurnRate(share float64) float64 {
	if c.Total == 0 || c.Bad == 0 {
		return 0
	}
	budget := max(1-share, minBudget)
	return float64(c.Bad) / float64(c.Total) / budget
}

// minBudget stands for the error budget of an objective that allows no errors.
const minBudget = 1e-6

// matches reports whether an objective selects a request.
func matches(o gooseberrypass.Objective, req *gooseberrypass.Request) bool {
	return (o.Account() == "" || o.Account() == req.AccountID()) &&
		(o.Target() == "" || o.Target() == req.TargetID()) &&
		req.Priority() >= o.MinPriority()
}
