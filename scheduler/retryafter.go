package scheduler

import (
	"math"
	"time"
)

// The limits of Retry-After.
const (
	minRetryAfter = 200 * time.Millisecond
	rateTime      = 2 * time.Second // time constant of the rates of requests and of freed places
	retrySpread   = 0.25            // largest random change of a Retry-After, as a share of it
	retryShare    = 3               // part of the caller's time left that a Retry-After may take
	minSpareShare = 0.1             // least share of the freed places that is expected for callers who retry
	maxRetryTimes = 4096            // times of retries that are remembered
)

// A rate is a moving average of events per second.
type rate struct {
	at    time.Time
	value float64
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(rateTime))
}

func (r *rate) add(now time.Time) {
	r.value, r.at = r.perSecond(now)+1/rateTime.Seconds(), now
}

// A retryEstimate estimates when there will be capacity for a request that is refused.
type retryEstimate struct {
	arrivals   rate        // new requests
	freed      rate        // places given back
	retryTimes []time.Time // named in answers, and not passed yet
}

// spare returns the places per second that are expected to be left for callers who retry.
func (e *retryEstimate) spare(now time.Time) float64 {
	freed := e.freed.perSecond(now)
	return max(freed-e.arrivals.perSecond(now), minSpareShare*freed)
}

// retryAfter returns after which time a caller is told to retry, and remembers that. waiting is
// the number of requests that wait, timeLeft the time until the caller's deadline, needed the
// time that an answer takes at least, and random a number from 0 to 1.
func (e *retryEstimate) retryAfter(now time.Time, waiting int, timeLeft, needed time.Duration, random float64) time.Duration {
	longest := timeLeft / retryShare
	e.retryTimes = dropDue(e.retryTimes, now)
	wait := longest
	if spare := e.spare(now); spare > 0 {
		expected := float64(waiting+len(e.retryTimes)+1) / spare * (1 + retrySpread*(2*random-1))
		wait = time.Duration(min(expected*float64(time.Second), float64(longest)))
	}
	if wait+needed > timeLeft {
		wait = longest // no retry can succeed in time
	}
	if wait >= longest { // the spread must not be lost at the limit
		wait = longest - time.Duration(retrySpread/2*random*float64(longest))
	}
	wait = max(wait, minRetryAfter)
	if len(e.retryTimes) < maxRetryTimes {
		e.retryTimes = append(e.retryTimes, now.Add(wait))
	}
	return wait
}

// dropDue removes the times that have passed.
func dropDue(times []time.Time, now time.Time) []time.Time {
	kept := times[:0]
	for _, at := range times {
		if at.After(now) {
			kept = append(kept, at)
		}
	}
	return kept
}
