package quarantiner

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of what is remembered.
const (
	crashTTL         = time.Hour
	interruptionTTL  = 30 * time.Second
	maxCrashes       = 4096
	maxInterruptions = 4096
	maxRefused       = 4096
	maxCrashRequests = 1024             // requests of one crash
	sameCrashWindow  = 10 * time.Second // inferred and reported crashes of an endpoint within this time are one
	reportSettleTime = time.Second      // time in which later reports may add requests to a crash
	suspicionTTL     = 10 * time.Minute
)

// A crash is one crash of an endpoint, with the requests that are suspected of
// causing it.
type crash struct {
	cleared   map[gooseberrypass.Digest]bool // no longer suspected
	endpoint  gooseberrypass.ID
	firstSeen time.Time // when the crash was first reported or inferred
	reported  bool      // reported by the agent, which knows the requests that were in flight
	suspects  map[gooseberrypass.Digest]bool
}

// hadOneRequest reports whether exactly one request was in flight at the crash.
// Until reportSettleTime has passed, the report may still grow.
func (c *crash) hadOneRequest(now time.Time) bool {
	return len(c.suspects)+len(c.cleared) == 1 && now.Sub(c.firstSeen) >= reportSettleTime
}

// An interruption is an attempt that broke off. Whether its endpoint crashed is
// not known yet.
type interruption struct {
	endpoint gooseberrypass.ID
	digest   gooseberrypass.Digest
}

// An evidence holds the crashes and interruptions that count against requests.
// Its maps are bounded.
type evidence struct {
	crashes       map[string]*crash                   // crashes, by endpoint and ID of the report
	interruptions map[interruption]time.Time          // time of each interruption
	refusedUntil  map[gooseberrypass.Digest]time.Time // ends of quarantines
}

func newEvidence() *evidence {
	return &evidence{
		crashes:       map[string]*crash{},
		interruptions: map[interruption]time.Time{},
		refusedUntil:  map[gooseberrypass.Digest]time.Time{},
	}
}

// addReport records the report of a crash, which may name more requests than an
// earlier report of the same crash. It reports whether anything changed.
func (e *evidence) addReport(now time.Time, at gooseberrypass.ID, report gooseberrypass.Crash) bool {
	id := string(at) + "/" + report.ID
	c, ok := e.crashes[id]
	if !ok {
		if len(e.crashes) >= maxCrashes {
			return false
		}
		c = e.newCrash(now, at)
		c.reported = true
		e.crashes[id] = c
	}
	changed := !ok
	for _, digest := range report.Requests {
		changed = c.addSuspect(digest) || changed
	}
	return changed
}

// addSuspect adds a request unless it is known or there are too many. It reports
// whether it was added.
func (c *crash) addSuspect(digest gooseberrypass.Digest) bool {
	if c.suspects[digest] || c.cleared[digest] || len(c.suspects) >= maxCrashRequests {
		return false
	}
	c.suspects[digest] = true
	return true
}

// clearSuspects ends the suspicion of all requests of the crash.
func (c *crash) clearSuspects() {
	for digest := range c.suspects {
		c.cleared[digest] = true
	}
	clear(c.suspects)
}

// newCrash returns a new crash of an endpoint. It replaces a crash that this
// process inferred, and keeps its time if that is within sameCrashWindow.
func (e *evidence) newCrash(now time.Time, at gooseberrypass.ID) *crash {
	first := now
	inferred := inferredID(at)
	if c, ok := e.crashes[inferred]; ok {
		delete(e.crashes, inferred)
		if now.Sub(c.firstSeen) < sameCrashWindow {
			first = c.firstSeen
		}
	}
	return &crash{
		cleared:   map[gooseberrypass.Digest]bool{},
		endpoint:  at,
		firstSeen: first,
		suspects:  map[gooseberrypass.Digest]bool{},
	}
}

// inferredID returns the id of the last crash of an endpoint that this process
// inferred from interrupted attempts.
func inferredID(at gooseberrypass.ID) string { return "inferred/" + string(at) }

// addInterruption records an interrupted attempt. It counts as evidence once its
// endpoint is seen to be down.
func (e *evidence) addInterruption(now time.Time, i interruption) {
	if len(e.interruptions) < maxInterruptions {
		e.interruptions[i] = now
	}
}

// inferCrashes infers crashes of the endpoints that are down from the attempts
// that were interrupted there. It reports whether the suspects changed.
func (e *evidence) inferCrashes(now time.Time, members []gooseberrypass.Member) bool {
	if len(e.interruptions) == 0 {
		return false
	}
	up := make(map[gooseberrypass.ID]bool, len(members))
	for _, m := range members {
		up[m.Listed.ID] = !m.Silent && m.Status != nil && m.Status.EndpointUp
	}
	changed := false
	for i := range e.interruptions {
		if up[i.endpoint] {
			continue
		}
		delete(e.interruptions, i)
		changed = e.inferCrash(now, i) || changed
	}
	return changed
}

// inferCrash adds the request of an interrupted attempt to a recent crash of its
// endpoint, or records a new crash. It reports whether the suspects changed.
func (e *evidence) inferCrash(now time.Time, i interruption) bool {
	for _, known := range e.crashes {
		if known.endpoint == i.endpoint && now.Sub(known.firstSeen) < sameCrashWindow {
			// Requests sent just after the crash are interrupted too. A report by the
			// agent names the requests in flight, so nothing is added to it.
			return !known.reported && known.addSuspect(i.digest)
		}
	}
	if len(e.crashes) >= maxCrashes {
		return false
	}
	inferred := e.newCrash(now, i.endpoint)
	e.crashes[inferredID(i.endpoint)] = inferred
	return inferred.addSuspect(i.digest)
}

// quarantine refuses, for a time, the requests that are suspected of at least
// quarantineCrashes crashes and were alone in flight at one of them. It returns
// those newly refused.
func (e *evidence) quarantine(now time.Time, period time.Duration) []gooseberrypass.Digest {
	seen := map[gooseberrypass.Digest]int{}
	alone := map[gooseberrypass.Digest]bool{}
	for _, c := range e.crashes {
		for digest := range c.suspects {
			seen[digest]++
			alone[digest] = alone[digest] || c.hadOneRequest(now)
		}
	}
	var convicted []gooseberrypass.Digest
	for digest := range alone {
		if !alone[digest] || seen[digest] < quarantineCrashes || len(e.refusedUntil) >= maxRefused {
			continue
		}
		e.clearRequest(digest)
		e.refusedUntil[digest] = now.Add(period)
		convicted = append(convicted, digest)
	}
	return convicted
}

// clearRequest ends the suspicion of a request that finished. It reports whether
// there was any.
func (e *evidence) clearRequest(digest gooseberrypass.Digest) bool {
	found := false
	for _, c := range e.crashes {
		if c.suspects[digest] {
			delete(c.suspects, digest)
			c.cleared[digest] = true
			found = true
		}
	}
	return found
}

// expire drops evidence and quarantines that have expired. It reports whether the
// suspects or the quarantined requests changed.
func (e *evidence) expire(now time.Time) bool {
	changed := false
	for id, c := range e.crashes {
		age := now.Sub(c.firstSeen)
		if age > crashTTL {
			delete(e.crashes, id)
		}
		if age > suspicionTTL && len(c.suspects) > 0 {
			c.clearSuspects()
			changed = true
		}
	}
	for digest, until := range e.refusedUntil {
		if !now.Before(until) {
			delete(e.refusedUntil, digest)
			changed = true
		}
	}
	for i, at := range e.interruptions {
		if now.Sub(at) > interruptionTTL {
			delete(e.interruptions, i)
		}
	}
	return changed
}
