package attributor

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of what is remembered of crashes.
const (
	crashWindow = 2 * time.Second // interruptions at an endpoint within this time are one crash
	evidenceTTL = 5 * time.Minute
	maxCrashes  = 256
	maxSuspects = 64 // interruptions of one crash
)

// An interruption is an attempt that broke off without an event of an answer.
type interruption struct {
	at       time.Time
	begun    bool // the endpoint had sent the head of the answer
	endpoint gooseberrypass.ID
	entry    gooseberrypass.ID // that sent the request, "" for this one
	parts    []part
	request  uint64
	service  gooseberrypass.ID
}

func (i interruption) has(key part) bool { return slices.Contains(i.parts, key) }

// isPartial reports whether the prompt may have further parts, which another entry did not tell.
func (i interruption) isPartial() bool { return i.entry != "" && len(i.parts) >= maxSharedParts }

// A crash is a set of interruptions at one endpoint that have one cause. It may also
// be a connection that broke at an endpoint that goes on.
type crash struct {
	at            time.Time      // of the first interruption
	begun         []interruption // those at the begin of their answer
	changed       bool           // since the last judgement
	endpoint      gooseberrypass.ID
	hits          map[part]hit // by part of the suspects
	interruptions []interruption
	service       gooseberrypass.ID
}

// A hit is what was known when a crash was judged under a part of one of its suspects.
// Requests that come later say nothing about those in flight at the crash.
type hit struct {
	chance        float64 // probability that a suspect has the part by coincidence
	interruptions int     // those that chance takes into account
	totals        totals  // when the crash was first judged under the part
}

// suspects returns the interruptions that may be the cause: those at the begin of
// their answer, or all if there is none. An endpoint that crashes over a request does
// so when it begins the answer, and the requests in its queue break off with it.
func (c *crash) suspects() []interruption {
	if len(c.begun) > 0 {
		return c.begun
	}
	return c.interruptions
}

// coincidence returns the probability that a suspect has a part by coincidence. share
// returns the share of an entry's requests that have it.
func (c *crash) coincidence(share func(entry gooseberrypass.ID) float64) float64 {
	spared := 1.0
	for _, s := range c.suspects() {
		spared *= 1 - share(s.entry)
	}
	return 1 - spared
}

// addHit returns the hit of a part that one of the suspects has. chance is its coincidence
// now.
func (c *crash) addHit(key part, chance func() float64, now totals) hit {
	h, known := c.hits[key]
	if known && h.interruptions == len(c.interruptions) {
		return h
	}
	if !known {
		h.totals = now
	}
	h.chance, h.interruptions = chance(), len(c.interruptions)
	if c.hits == nil {
		c.hits = map[part]hit{}
	}
	c.hits[key] = h
	return h
}

// add adds an interruption and reports whether it is new.
func (c *crash) add(i interruption) bool {
	if i.begun && len(c.begun) >= maxSuspects || !i.begun && len(c.interruptions) >= maxSuspects {
		return false
	}
	if slices.ContainsFunc(c.interruptions, func(held interruption) bool { return held.request == i.request }) {
		return false
	}
	c.interruptions = append(c.interruptions, i)
	if i.begun {
		c.begun = append(c.begun, i)
	}
	if i.at.Before(c.at) {
		c.at = i.at
	}
	return true
}

// addInterruption adds an interruption to its crash, which is judged next unless the
// interruption is known.
func (a *Attributor) addInterruption(i interruption) {
	for _, c := range slices.Backward(a.crashes) {
		if c.endpoint != i.endpoint || i.at.Sub(c.at).Abs() > crashWindow {
			continue
		}
		if c.add(i) {
			a.markChanged(c)
		}
		return
	}
	c := &crash{at: i.at, endpoint: i.endpoint, service: i.service}
	c.add(i)
	a.crashes = append(a.crashes, c)
	if len(a.crashes) > maxCrashes {
		drop := max(slices.IndexFunc(a.crashes, func(held *crash) bool { return len(held.begun) == 0 }), 0)
		a.crashes = slices.Delete(a.crashes, drop, drop+1)
	}
	a.markChanged(c)
}

// markChanged notes that a crash has changed since the last judgement.
func (a *Attributor) markChanged(c *crash) {
	c.changed, a.pending, a.suspected = true, true, nil
}

// takeChanged returns the crashes that have changed since the last judgement.
func (a *Attributor) takeChanged() []*crash {
	a.pending = false
	var changed []*crash
	for _, c := range a.crashes {
		if c.changed {
			c.changed = false
			changed = append(changed, c)
		}
	}
	return changed
}

// dropCrashes drops the crashes of long ago.
func (a *Attributor) dropCrashes(now time.Time) {
	known := len(a.crashes)
	a.crashes = slices.DeleteFunc(a.crashes, func(c *crash) bool { return now.Sub(c.at) > evidenceTTL })
	if len(a.crashes) < known {
		a.suspected = nil
	}
}

// explained reports whether a quarantine explains a crash.
func (a *Attributor) explained(c *crash) bool {
	return slices.ContainsFunc(c.suspects(), func(s interruption) bool {
		_, ok := a.quarantines.concerning(s.parts, c.at)
		return ok
	})
}
