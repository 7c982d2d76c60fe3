package fetcher

import "time"

// An estimate follows the time that a kind of transfer takes: a smoothed mean
// and a smoothed deviation, as TCP keeps of its round trips.
type estimate struct {
	dev  time.Duration
	mean time.Duration
	seen bool
}

func (e *estimate) observe(took time.Duration) {
	if !e.seen {
		e.mean, e.dev, e.seen = took, took/2, true
		return
	}
	diff := took - e.mean
	e.mean += diff / 8
	e.dev += (diff.Abs() - e.dev) / 4
}

// limit returns how long a transfer may take; initial before the first.
func (e *estimate) limit(initial, least, most time.Duration) time.Duration {
	if !e.seen {
		return initial
	}
	return min(max(4*e.mean+8*e.dev, least), most)
}

// usual returns a time in which most transfers end; initial before the first.
func (e *estimate) usual(initial, least, most time.Duration) time.Duration {
	if !e.seen {
		return initial
	}
	return min(max(e.mean+4*e.dev, least), most)
}

// stretch makes room after a transfer that took longer than its limit, so that
// a link that became slower for all is not mistaken for slow senders for ever.
func (e *estimate) stretch() {
	if e.seen {
		e.mean += e.mean / 4
		e.dev += e.dev / 4
	}
}
