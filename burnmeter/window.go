package burnmeter

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// bucketDuration is the resolution of a history.
const bucketDuration = time.Minute

// bucketCount is the number of buckets that cover the longest window.
const bucketCount = int(72 * time.Hour / bucketDuration)

// windows returns the windows of the burn rates, shortest first.
func windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// A bucket counts the requests of one minute.
type bucket struct {
	bad    uint32
	minute int64 // minutes since the Unix epoch
	total  uint32
}

// A history is a ring buffer of the request counts of one objective, with one
// bucket per minute.
type history struct {
	buckets []bucket
}

func newHistory() *history { return &history{buckets: make([]bucket, bucketCount)} }

// add counts a request that ended at now.
func (h *history) add(now time.Time, bad bool) {
	minute := now.Unix() / int64(bucketDuration/time.Second)
	b := &h.buckets[minute%int64(bucketCount)]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	b.total++
	if bad {
		b.bad++
	}
}

// count returns the counts in the window that ends at now.
func (h *history) count(now time.Time, window time.Duration) Counts {
	last := now.Unix() / int64(bucketDuration/time.Second)
	first := last - int64(window/bucketDuration) + 1
	c := Counts{}
	for _, b := range h.buckets {
		if b.minute >= first && b.minute <= last {
			c.Total += uint64(b.total)
			c.Bad += uint64(b.bad)
		}
	}
	return c
}

// Counts holds the number of requests in a window.
type Counts struct {
	Bad   uint64
	Total uint64
}

// BurnRate returns the burn rate of the error budget of an objective that requires
// the given share of good requests. At 1 the budget is consumed exactly as fast as
// the objective allows.
func (c Counts) BurnRate(share float64) float64 {
	if c.Total == 0 || c.Bad == 0 {
		return 0
	}
	budget := max(1-share, minBudget)
	return float64(c.Bad) / float64(c.Total) / budget
}

// minBudget is used in place of an error budget of 0, of an objective that allows
// no errors, to avoid a division by zero.
const minBudget = 1e-6

// matches reports whether an objective selects a request.
func matches(o gooseberrypass.Objective, req *gooseberrypass.Request) bool {
	return (o.Account() == "" || o.Account() == req.AccountID()) &&
		(o.Target() == "" || o.Target() == req.TargetID()) &&
		req.Priority() >= o.MinPriority()
}
