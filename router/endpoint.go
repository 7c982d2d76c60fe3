package router

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// When and for how long an endpoint is avoided, ejected and probed.
const (
	busyBackoff        = 300 * time.Millisecond // after it refused an attempt as overloaded
	ejectAfterFailures = 3                      // consecutive failures before the first ejection
	leavingBackoff     = 5 * time.Second        // after it refused an attempt as leaving
	maxEjectionTime    = time.Minute
	minEjectionTime    = 2 * time.Second // doubled by each further ejection
	unreadyBackoff     = 2 * time.Second // after it refused an attempt for lack of the version
	probeTimeout       = 5 * time.Second // before a probe without a result may be repeated
	maxEjectedShare    = 0.5             // largest share of the endpoints that serve a query that may be ejected
)

// ewmaWeight is the weight of the newest measurement in a moving average.
const ewmaWeight = 0.15

// maxTracked bounds the sent attempts that are kept for one endpoint.
const maxTracked = 4096

// A sentAttempt is an attempt that this process sent to an endpoint.
type sentAttempt struct {
	done  time.Time // zero while in flight
	start time.Time
}

// An endpointState is what this process knows of one endpoint from its own
// attempts.
type endpointState struct {
	busyUntil    time.Time      // penalized in choices until then
	ejectedUntil time.Time      // zero while not ejected
	ejections    int            // consecutive
	failures     int            // consecutive
	leavingUntil time.Time      // not chosen until then
	probeUntil   time.Time      // a probe is in flight until then
	sent         []*sentAttempt // those that load reports may not reflect yet
	serviceTime  time.Duration  // moving average over attempts; 0 if unknown
	unreadyUntil time.Time      // chosen only if there are no others until then
}

// begin records an attempt sent at now. If the endpoint is ejected, the attempt is
// its probe.
func (e *endpointState) begin(now time.Time) *sentAttempt {
	s := &sentAttempt{start: now}
	e.sent = append(e.sent, s)
	if e.ejected() {
		e.probeUntil = now.Add(probeTimeout)
	}
	return s
}

// prune drops the attempts that ended before a load report made at reported: the
// report reflects their end. It drops the oldest if more than maxTracked remain.
func (e *endpointState) prune(reported time.Time) {
	kept := e.sent[:0]
	for _, s := range e.sent {
		if s.done.IsZero() || s.done.After(reported) {
			kept = append(kept, s)
		}
	}
	clear(e.sent[len(kept):])
	if len(kept) > maxTracked {
		kept = kept[len(kept)-maxTracked:]
	}
	e.sent = kept
}

// currentLoad returns the requests running and queued at the endpoint. It adds
// to a lagging load report the attempts sent since, and subtracts those that the
// report counts but that have ended since. It is at least the number of this
// process's attempts in flight.
func (e *endpointState) currentLoad(report gooseberrypass.EngineLoad) float64 {
	load := report.Running + report.Queued
	inFlight := 0
	for _, s := range e.sent {
		startedBefore := !s.start.After(report.At)
		switch {
		case s.done.IsZero() && !startedBefore:
			load++
			inFlight++
		case s.done.IsZero():
			inFlight++
		case startedBefore && s.done.After(report.At):
			load--
		}
	}
	return float64(max(load, inFlight, 0))
}

// end records the result of an attempt.
func (e *endpointState) end(now time.Time, s *sentAttempt, result Result) {
	s.done = now
	switch result {
	case ResultAnswered:
		e.failures = 0
		e.ejections = 0
		e.ejectedUntil = time.Time{}
		e.observeServiceTime(now.Sub(s.start))
	case ResultBusy:
		e.busyUntil = now.Add(busyBackoff)
	case ResultFailed:
		e.recordFailure(now)
	case ResultLeaving:
		e.leavingUntil = now.Add(leavingBackoff)
	case ResultLate:
		e.observeServiceTime(now.Sub(s.start))
		e.recordFailure(now)
	case ResultUnready:
		e.unreadyUntil = now.Add(unreadyBackoff)
	case ResultDropped:
	}
	e.probeUntil = time.Time{}
}

// recordFailure ejects the endpoint after ejectAfterFailures consecutive
// failures, or after any failure if it has not answered since its last ejection.
func (e *endpointState) recordFailure(now time.Time) {
	e.failures++
	if e.failures < ejectAfterFailures && e.ejections == 0 {
		return
	}
	if now.Before(e.ejectedUntil) {
		return
	}
	e.ejectedUntil = now.Add(min(minEjectionTime<<min(e.ejections, 8), maxEjectionTime))
	e.ejections++
}

// observeServiceTime includes a sample in the moving average.
func (e *endpointState) observeServiceTime(d time.Duration) {
	if e.serviceTime == 0 {
		e.serviceTime = d
		return
	}
	e.serviceTime += time.Duration(ewmaWeight * float64(d-e.serviceTime))
}

// ejected reports whether the endpoint is ejected. It stays so until an attempt
// is answered.
func (e *endpointState) ejected() bool { return !e.ejectedUntil.IsZero() }

// probeDue reports whether the ejection time has passed and no probe is in
// flight, so that one attempt may be sent as a probe.
func (e *endpointState) probeDue(now time.Time) bool {
	return e.ejected() && !now.Before(e.ejectedUntil) && !now.Before(e.probeUntil)
}
