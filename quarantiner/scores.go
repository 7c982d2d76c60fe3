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
	maxRequests = 8192
	sameCrash   = 10 * time.Second // evidence of one endpoint this close is one crash
	suspectTime = 10 * time.Minute
)

// A score is the evidence against one request.
type score struct {
	at           gooseberrypass.ID // of the last crash
	crashes      int
	last         time.Time
	refusedUntil time.Time // zero for a suspect
}

// A cut is an attempt that broke off, until it is known whether its endpoint
// crashed.
type cut struct {
	alone  bool
	at     gooseberrypass.ID
	digest gooseberrypass.Digest
}

// A scores holds the evidence against requests, bounded.
type scores struct {
	cuts     map[cut]time.Time
	requests map[gooseberrypass.Digest]*score
	seen     map[string]time.Time // crashes by endpoint and id
}

func newScores() *scores {
	return &scores{
		cuts:     map[cut]time.Time{},
		requests: map[gooseberrypass.Digest]*score{},
		seen:     map[string]time.Time{},
	}
}

// note reports whether a crash is new.
func (s *scores) note(now time.Time, at gooseberrypass.ID, crash gooseberrypass.Crash) bool {
	id := string(at) + "/" + crash.ID
	_, old := s.seen[id]
	if old || len(s.seen) >= maxCrashes {
		return false
	}
	s.seen[id] = now
	return true
}

// add scores a request that was in flight at a crash. It reports whether the
// request is refused from now on.
func (s *scores) add(now time.Time, digest gooseberrypass.Digest, at gooseberrypass.ID, alone bool, quarantine time.Duration) bool {
	r, ok := s.requests[digest]
	if !ok {
		if len(s.requests) >= maxRequests {
			return false
		}
		r = &score{}
		s.requests[digest] = r
	}
	if r.at == at && now.Sub(r.last) < sameCrash {
		return false
	}
	r.at, r.last = at, now
	r.crashes++
	if r.crashes < convictingCrashes || !alone || !r.refusedUntil.IsZero() {
		return false
	}
	r.refusedUntil = now.Add(quarantine)
	return true
}

// suspectCut notes an attempt that broke off. It counts once its endpoint is
// seen to be gone without having reported the crash itself.
func (s *scores) suspectCut(now time.Time, c cut) {
	if len(s.cuts) < maxCuts {
		s.cuts[c] = now
	}
}

// gone takes out and returns the attempts that broke off at endpoints which
// are gone.
func (s *scores) gone(members []gooseberrypass.Member) []cut {
	if len(s.cuts) == 0 {
		return nil
	}
	up := map[gooseberrypass.ID]bool{}
	for _, m := range members {
		up[m.Listed.ID] = !m.Silent && m.Status != nil && m.Status.EndpointUp
	}
	var gone []cut
	for c := range s.cuts {
		if !up[c.at] {
			delete(s.cuts, c)
			gone = append(gone, c)
		}
	}
	return gone
}

// clear drops the evidence against a request that finished. A refused one
// stays refused.
func (s *scores) clear(digest gooseberrypass.Digest) bool {
	r, ok := s.requests[digest]
	if !ok || !r.refusedUntil.IsZero() {
		return false
	}
	delete(s.requests, digest)
	return true
}

// expire forgets what is old.
func (s *scores) expire(now time.Time) bool {
	changed := false
	for digest, r := range s.requests {
		if now.Sub(r.last) > suspectTime && !now.Before(r.refusedUntil) {
			delete(s.requests, digest)
			changed = true
		}
	}
	for id, at := range s.seen {
		if now.Sub(at) > crashMemory {
			delete(s.seen, id)
		}
	}
	for c, at := range s.cuts {
		if now.Sub(at) > cutMemory {
			delete(s.cuts, c)
		}
	}
	return changed
}
