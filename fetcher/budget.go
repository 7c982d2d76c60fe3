package fetcher

import "time"

const (
	// budgetRefill is the time after which a budget that was used up is full
	// again.
	budgetRefill = 30 * time.Minute
	// minBudgetChunks is the least budget of an instance, in chunks. It lets each
	// instance read for a few others that do not respond.
	minBudgetChunks = 2
)

// A budget is a leaky bucket for the bytes that this instance reads from the
// origin beyond the first copy of a version.
type budget struct {
	updated time.Time
	spent   float64 // bytes
}

// covers reports whether size bytes fit in a budget of limit bytes, which
// refills at a rate of limit in budgetRefill.
func (b *budget) covers(size int64, limit float64, now time.Time) bool {
	if !b.updated.IsZero() {
		b.spent = max(0, b.spent-limit*now.Sub(b.updated).Seconds()/budgetRefill.Seconds())
	}
	b.updated = now
	return b.spent+float64(size) <= limit
}

// take spends size bytes if the budget covers them, and reports whether it did.
func (b *budget) take(size int64, limit float64, now time.Time) bool {
	if !b.covers(size, limit, now) {
		return false
	}
	b.spent += float64(size)
	return true
}

// budgetShare returns the bytes that each of the instances may read if all
// together may read the given number of copies of a version. The version has size
// bytes, in chunks of at most chunk bytes.
func budgetShare(copies float64, size, chunk int64, instances int) float64 {
	return max(copies*float64(size)/float64(max(instances, 1)), float64(minBudgetChunks*chunk))
}
