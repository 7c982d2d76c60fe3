package fetcher

import "time"

const (
	// budgetRefill is the time in which all instances together may read the
	// whole budget once more.
	budgetRefill = 30 * time.Minute
	// minBudgetChunks lets each instance step in for a few silent ones.
	minBudgetChunks = 2
)

// A budget bounds the bytes that this instance reads from the origin beyond the
// first copy.
type budget struct {
	at    time.Time
	spent float64
}

// covers reports whether size bytes may be drawn of the most that may be drawn
// in budgetRefill.
func (b *budget) covers(size int64, most float64, now time.Time) bool {
	if !b.at.IsZero() {
		b.spent = max(0, b.spent-most*now.Sub(b.at).Seconds()/budgetRefill.Seconds())
	}
	b.at = now
	return b.spent+float64(size) <= most
}

// take draws size bytes if the budget covers them, and reports whether it did.
func (b *budget) take(size int64, most float64, now time.Time) bool {
	if !b.covers(size, most, now) {
		return false
	}
	b.spent += float64(size)
	return true
}

// share returns the part of one instance in a budget of copies of a version of
// size bytes with chunks of at most chunk bytes.
func share(copies float64, size, chunk int64, instances int) float64 {
	return max(copies*float64(size)/float64(max(instances, 1)), float64(minBudgetChunks*chunk))
}
