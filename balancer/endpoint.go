package balancer

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// An endpoint is what this entry knows about one endpoint.
type endpoint struct {
	advisory     advisory
	busySince    time.Time // start of the time in which this entry has had requests there
	coldLimit    limit     // requests that it gets while it is cold
	coldUntil    time.Time // it counts as cold until then, past if it does not
	ejectedUntil time.Time
	ejections    int           // shift of the next ejection; each answer halves it
	failures     int           // failures in a row
	fullUntil    time.Time     // end of the backoff after a refusal because of load
	headTime     time.Duration // moving average of the time to the head of an answer
	key          uint64        // RivalKey of its ID
	lastSign     time.Time     // last data received
	limit        limit
	listed       gooseberrypass.Endpoint
	others       loadSum // load from other entries
	own          Load    // load from this entry
	pace         pace
	probation    bool // was ejected and has not answered since, gets one request at a time
	reported     int  // requests there that this entry last reported to others
	refusals     int  // refusals because of load in a row
	region       gooseberrypass.Region
	remote       bool // in another region than this entry
}

// A Load is the part of an endpoint's load that comes from one entry.
type Load struct {
	Pace         float64       // time that work takes at the endpoint, as a ratio to its usual time, as the entry last heard; 0 for none
	PaceAge      time.Duration // time since it heard Pace
	Requests     int           // requests in flight
	Stalled      bool          // the endpoint has sent the entry nothing for its stall timeout
	UnreadTokens int           // prompt tokens of requests without a first event
}

// A loadSum is the load of an endpoint that comes from several entries.
type loadSum struct {
	entries      int // entries with requests there
	requests     int
	stalled      int // entries to which the endpoint has stalled
	unreadTokens int
}

func (s *loadSum) add(l Load) {
	s.requests += l.Requests
	s.unreadTokens += l.UnreadTokens
	if l.Requests > 0 {
		s.entries++
	}
	if l.Stalled {
		s.stalled++
	}
}

func (s *loadSum) subtract(l Load) {
	s.requests -= l.Requests
	s.unreadTokens -= l.UnreadTokens
	if l.Requests > 0 {
		s.entries--
	}
	if l.Stalled {
		s.stalled--
	}
}

// The limits on doubling.
const (
	maxBackoffShift  = 3 // maximum number of doublings of the backoff after refusals
	maxEjectionShift = 8 // maximum number of doublings of the duration of an ejection
)

// record updates the endpoint with the result of a dispatch.
func (e *endpoint) record(now time.Time, result Result, s Settings) {
	if result != ResultFailed && result != ResultTimedOut && result != ResultInconclusive {
		e.lastSign = now
	}
	switch result {
	case ResultAnswered:
		e.failures, e.ejections, e.refusals = 0, e.ejections/2, 0
	case ResultFull, ResultMisdirected:
		// An engine that is loading a version refuses several times in a row, so the backoff grows.
		if !now.Before(e.fullUntil) {
			e.fullUntil = now.Add(s.RefusalBackoff << min(e.refusals, maxBackoffShift))
			e.refusals++
		}
	case ResultReplaced:
		e.ejectedUntil = now.Add(s.MaxEjection) // the list drops it in the meantime
		e.probation = true
	case ResultFailed, ResultTimedOut:
		e.failures++
		if e.failures < 2 && result == ResultFailed || now.Before(e.ejectedUntil) {
			return
		}
		e.ejectedUntil = now.Add(min(s.Ejection<<min(e.ejections, maxEjectionShift), s.MaxEjection))
		e.ejections++
		e.probation = true
	case ResultInconclusive:
	}
}

// stalled reports whether the endpoint has sent nothing for longer than limit
// although this entry has had requests there all the time.
func (e *endpoint) stalled(now time.Time, limit time.Duration) bool {
	return e.own.Requests > 0 && now.Sub(e.lastSign) > limit && now.Sub(e.busySince) > limit
}

// silent reports whether the endpoint has stalled for this entry or for another
// one. Data that this entry received within limit outweighs reports of others.
func (e *endpoint) silent(now time.Time, limit time.Duration) bool {
	if now.Sub(e.lastSign) <= limit {
		return false
	}
	return e.others.stalled > 0 || e.stalled(now, limit)
}

// lost reports whether no entry that has requests at the endpoint has heard from it
// for limit. An endpoint that is merely full sends events to some of them. An entry
// that is alone there waits for twice as long.
func (e *endpoint) lost(now time.Time, limit time.Duration) bool {
	if e.others.entries == 0 {
		limit *= 2
	}
	return e.stalled(now, limit) && e.others.stalled == e.others.entries
}

// total returns the load from all entries. The requests that others sent since
// their last report are unknown. All entries usually see the same free endpoint at
// the same moment, so that each of them is assumed to have sent as many prompt
// tokens as this one.
func (e *endpoint) total(entries int) Load {
	return Load{
		Requests:     e.own.Requests + e.others.requests,
		UnreadTokens: max(e.own.UnreadTokens+e.others.unreadTokens, e.own.UnreadTokens*entries),
	}
}
