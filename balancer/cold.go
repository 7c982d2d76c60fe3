package balancer

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// coldMemory is the time for which the start of an endpoint that is no longer listed is
// remembered, so that it does not count as cold when it is listed again.
const coldMemory = 10 * time.Minute

// coldMargin is added to a time for which an endpoint is taken to be cold. The first request
// reaches it a little later than the first process knows the reason.
const coldMargin = 200 * time.Millisecond

// A coldness is what is known of the times at which one endpoint is cold.
type coldness struct {
	assumedAt   time.Time     // last start, or end of an evacuation, after which it is taken to be cold
	left        time.Duration // time for which it stayed cold at reportedAt, as its record said
	listedAt    time.Time     // when it was last listed
	reportedAt  time.Time     // when a process first knew its record
	startMillis int64         // its start
	warm        bool          // a record that was written after assumedAt says that it is not cold
}

// assume takes the endpoint to be cold from a time on. A time that is not later than the last
// one changes nothing.
func (c *coldness) assume(at time.Time) {
	if at.After(c.assumedAt) {
		c.assumedAt, c.warm = at, false
	}
}

// report takes over what a record says that became known at a time, at most lag after it was
// written. So a record that says that the endpoint is not cold counts only if it became known
// at least lag after the reason to take it to be cold.
func (c *coldness) report(at time.Time, left, lag time.Duration) {
	if at.Before(c.reportedAt) {
		return
	}
	c.reportedAt, c.left = at, left
	if left == 0 && !at.Before(c.assumedAt.Add(lag)) {
		c.warm = true
	}
}

// until returns the end of the time for which the endpoint is cold, if its service is cold
// for coldTime after a start. A time in the past means that it is not cold.
func (c *coldness) until(coldTime time.Duration) time.Time {
	var end time.Time
	if c.left > 0 {
		end = c.reportedAt.Add(min(c.left, coldTime))
	}
	if assumed := c.assumedAt.Add(coldTime + coldMargin); !c.assumedAt.IsZero() && !c.warm && assumed.After(end) {
		end = assumed
	}
	return end
}

// coldEndpoints holds what is known of the times at which endpoints are cold. Its methods
// depend on their arguments only.
type coldEndpoints struct {
	known   map[gooseberrypass.ID]coldness
	listed  bool          // there was a list of endpoints
	listLag time.Duration // longest time from the writing of a record until a process knows it
}

// list takes over a list of endpoints and the ends of evacuations. Endpoints of the first
// list may have started long before, so only their records tell whether they are cold.
func (c *coldEndpoints) list(now time.Time, endpoints []gooseberrypass.Endpoint, released map[gooseberrypass.FailureDomain]time.Time) {
	for _, e := range endpoints {
		k, ok := c.known[e.ID]
		if !ok || k.startMillis != e.StartMillis {
			k = coldness{startMillis: e.StartMillis}
			if c.listed {
				k.assume(knownAt(now, e))
			}
		}
		k.listedAt = now
		if at, ok := released[e.FailureDomain]; ok {
			k.assume(at)
		}
		if !e.ReportedAt.IsZero() {
			k.report(knownAt(now, e), e.ColdLeft, c.listLag)
		}
		c.known[e.ID] = k
	}
	c.listed = c.listed || len(endpoints) > 0
}

// renew takes over the renewed record of a listed endpoint.
func (c *coldEndpoints) renew(now time.Time, e gooseberrypass.Endpoint) {
	if k, ok := c.known[e.ID]; ok && k.startMillis == e.StartMillis {
		k.report(knownAt(now, e), e.ColdLeft, c.listLag)
		c.known[e.ID] = k
	}
}

// prune forgets the endpoints that have not been listed for coldMemory, except those that
// are listed now.
func (c *coldEndpoints) prune(now time.Time, isListed func(gooseberrypass.ID) bool) {
	for id, k := range c.known {
		if !isListed(id) && now.Sub(k.listedAt) >= coldMemory {
			delete(c.known, id)
		}
	}
}

// until returns the end of the time for which an endpoint is cold, zero if it is not known.
func (c *coldEndpoints) until(id gooseberrypass.ID, coldTime time.Duration) time.Time {
	k := c.known[id]
	return k.until(coldTime)
}

// knownAt returns when a process first knew the record of an endpoint, now if that is not
// known or lies ahead.
func knownAt(now time.Time, e gooseberrypass.Endpoint) time.Time {
	if e.ReportedAt.IsZero() || e.ReportedAt.After(now) {
		return now
	}
	return e.ReportedAt
}
