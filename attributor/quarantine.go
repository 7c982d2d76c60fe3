package attributor

import "time"

// maxQuarantineTime is the longest quarantine of a part.
const maxQuarantineTime = time.Hour

// maxDoublings is the number of times that the quarantine of a part is doubled.
const maxDoublings = 8

// maxQuarantines is the number of parts that can be quarantined at once.
const maxQuarantines = 256

// A quarantine is the time for which requests with a part are refused. It is kept for
// longer: a part that crashes an endpoint after it is quarantined again at once.
type quarantine struct {
	count int       // quarantines of the part so far, with this one
	since time.Time // begin
	until time.Time // end
}

// quarantine quarantines a part. Each entry ends the quarantine at another time, so
// that the first one that sends such a request tells the others what it led to.
func (a *Attributor) quarantine(now time.Time, found cause) {
	a.setQuarantine(found.part, now, a.quarantines[found.part].count+1)
}

// setQuarantine sets the quarantine of a part that began at since.
func (a *Attributor) setQuarantine(key part, since time.Time, count int) {
	period := min(a.settings.QuarantineTime<<min(count-1, maxDoublings), maxQuarantineTime)
	spread := time.Duration(a.rng.Float64() * float64(period))
	a.quarantines[key] = quarantine{count: count, since: since, until: since.Add(period + spread)}
	a.dropQuarantines(since)
	a.metrics.quarantined.Set(float64(len(a.quarantines)))
}

// dropQuarantines drops the quarantines that ended long ago, and the oldest one if
// there are too many.
func (a *Attributor) dropQuarantines(now time.Time) {
	var oldest part
	for key, q := range a.quarantines {
		if now.Sub(q.until) > maxQuarantineTime {
			delete(a.quarantines, key)
			continue
		}
		if held, ok := a.quarantines[oldest]; !ok || q.since.Before(held.since) {
			oldest = key
		}
	}
	if len(a.quarantines) > maxQuarantines {
		delete(a.quarantines, oldest)
	}
}
