package quarantiner

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The bounds of what is remembered.
const (
	crashMemory = time.Hour
	cutMemory   = 30 * time.Second
	maxCrashes  = 4096
	maxCuts     = 4096
	maxRefused  = 4096
	maxRequests = 1024 // of one crash
	sameCrash   = 10 * time.Second
	settleTime  = time.Second // in which a report of a crash may still grow
	suspectTime = 10 * time.Minute
)

// A crash is one crash of an endpoint and the requests that are still under
// suspicion for it.
type crash struct {
	at       gooseberrypass.ID
	cleared  map[gooseberrypass.Digest]bool
	first    time.Time // when it was first heard of
	reported bool      // by the endpoint's agent, who knows what was in flight
	requests map[gooseberrypass.Digest]bool
}

// alone reports whether one request alone was in flight at the crash.
func (c *crash) alone(now time.Time) bool {
	return len(c.requests)+len(c.cleared) == 1 && now.Sub(c.first) >= settleTime
}

// A cut is an attempt that broke off, until it is known whether its endpoint
// crashed.
type cut struct {
	at     gooseberrypass.ID
	digest gooseberrypass.Digest
}

// A scores holds the evidence against requests, bounded.
type scores struct {
	crashes map[string]*crash
	cuts    map[cut]time.Time
	refused map[gooseberrypass.Digest]time.Time // until when
}

func newScores() *scores {
	return &scores{
		crashes: map[string]*crash{},
		cuts:    map[cut]time.Time{},
		refused: map[gooseberrypass.Digest]time.Time{},
	}
}

// note takes in a report of a crash, which may name more requests than an
// earlier one. It reports whether anything is new.
func (s *scores) note(now time.Time, at gooseberrypass.ID, report gooseberrypass.Crash) bool {
	id := string(at) + "/" + report.ID
	c, ok := s.crashes[id]
	if !ok {
		if len(s.crashes) >= maxCrashes {
			return false
		}
		c = s.crashOf(now, at)
		c.reported = true
		s.crashes[id] = c
	}
	changed := !ok
	for _, digest := range report.Requests {
		changed = c.add(digest) || changed
	}
	return changed
}

func (c *crash) add(digest gooseberrypass.Digest) bool {
	if c.requests[digest] || c.cleared[digest] || len(c.requests) >= maxRequests {
		return false
	}
	c.requests[digest] = true
	return true
}

// acquit ends the suspicion of all requests.
func (c *crash) acquit() {
	for digest := range c.requests {
		c.cleared[digest] = true
	}
	clear(c.requests)
}

// crashOf returns a new crash of an endpoint, in place of one that this process
// inferred a moment ago.
func (s *scores) crashOf(now time.Time, at gooseberrypass.ID) *crash {
	first := now
	inferred := inferredID(at)
	if c, ok := s.crashes[inferred]; ok {
		delete(s.crashes, inferred)
		if now.Sub(c.first) < sameCrash {
			first = c.first
		}
	}
	return &crash{
		at:       at,
		cleared:  map[gooseberrypass.Digest]bool{},
		first:    first,
		requests: map[gooseberrypass.Digest]bool{},
	}
}

// inferredID is the id of the last crash of an endpoint that this process
// inferred from attempts that broke off.
func inferredID(at gooseberrypass.ID) string { return "inferred/" + string(at) }

// suspectCut notes an attempt that broke off. It counts once its endpoint is
// seen to be gone.
func (s *scores) suspectCut(now time.Time, c cut) {
	if len(s.cuts) < maxCuts {
		s.cuts[c] = now
	}
}

// judgeCuts infers crashes of the endpoints that are gone from the attempts
// that broke off there. It reports whether there were any.
func (s *scores) judgeCuts(now time.Time, members []gooseberrypass.Member) bool {
	if len(s.cuts) == 0 {
		return false
	}
	up := make(map[gooseberrypass.ID]bool, len(members))
	for _, m := range members {
		up[m.Listed.ID] = !m.Silent && m.Status != nil && m.Status.EndpointUp
	}
	changed := false
	for c := range s.cuts {
		if up[c.at] {
			continue
		}
		delete(s.cuts, c)
		changed = s.infer(now, c) || changed
	}
	return changed
}

func (s *scores) infer(now time.Time, c cut) bool {
	for _, known := range s.crashes {
		if known.at == c.at && now.Sub(known.first) < sameCrash {
			// Requests that came just after the crash broke off too.
			return !known.reported && known.add(c.digest)
		}
	}
	if len(s.crashes) >= maxCrashes {
		return false
	}
	inferred := s.crashOf(now, c.at)
	s.crashes[inferredID(c.at)] = inferred
	return inferred.add(c.digest)
}

// convict refuses the requests seen in enough crashes, one of them alone, and
// returns those newly refused.
func (s *scores) convict(now time.Time, quarantine time.Duration) []gooseberrypass.Digest {
	seen := map[gooseberrypass.Digest]int{}
	alone := map[gooseberrypass.Digest]bool{}
	for _, c := range s.crashes {
		for digest := range c.requests {
			seen[digest]++
			alone[digest] = alone[digest] || c.alone(now)
		}
	}
	var convicted []gooseberrypass.Digest
	for digest := range alone {
		if !alone[digest] || seen[digest] < convictingCrashes || len(s.refused) >= maxRefused {
			continue
		}
		s.clear(digest)
		s.refused[digest] = now.Add(quarantine)
		convicted = append(convicted, digest)
	}
	return convicted
}

// clear drops the evidence against a request that finished. It reports whether
// there was any.
func (s *scores) clear(digest gooseberrypass.Digest) bool {
	found := false
	for _, c := range s.crashes {
		if c.requests[digest] {
			delete(c.requests, digest)
			c.cleared[digest] = true
			found = true
		}
	}
	return found
}

// expire forgets what is old.
func (s *scores) expire(now time.Time) bool {
	changed := false
	for id, c := range s.crashes {
		age := now.Sub(c.first)
		if age > crashMemory {
			delete(s.crashes, id)
		}
		if age > suspectTime && len(c.requests) > 0 {
			c.acquit()
			changed = true
		}
	}
	for digest, until := range s.refused {
		if !now.Before(until) {
			delete(s.refused, digest)
			changed = true
		}
	}
	for c, at := range s.cuts {
		if now.Sub(at) > cutMemory {
			delete(s.cuts, c)
		}
	}
	return changed
}
