package fetcher

import "time"

// A durationEstimate tracks a duration by its smoothed mean and smoothed mean
// deviation, as TCP does for its round-trip time.
type durationEstimate struct {
	dev     time.Duration
	mean    time.Duration
	sampled bool // whether any duration was observed
}

func (e *durationEstimate) observe(took time.Duration) {
	if !e.sampled {
		e.mean, e.dev, e.sampled = took, took/2, true
		return
	}
	diff := took - e.mean
	e.mean += diff / 8
	e.dev += (diff.Abs() - e.dev) / 4
}

// timeout returns a generous upper bound of the duration, between lower and
// upper. It returns initial before the first observation.
func (e *durationEstimate) timeout(initial, lower, upper time.Duration) time.Duration {
	if !e.sampled {
		return initial
	}
	return min(max(4*e.mean+8*e.dev, lower), upper)
}

// typical returns a duration that most observations do not exceed, between lower
// and upper. It returns initial before the first observation.
func (e *durationEstimate) typical(initial, lower, upper time.Duration) time.Duration {
	if !e.sampled {
		return initial
	}
	return min(max(e.mean+4*e.dev, lower), upper)
}

// inflate raises the estimate by a quarter after a timeout. Otherwise a link that
// became slower for every transfer would be taken for slow peers for ever.
func (e *durationEstimate) inflate() {
	if e.sampled {
		e.mean += e.mean / 4
		e.dev += e.dev / 4
	}
}
