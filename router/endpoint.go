package router

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The rules of ejection.
const (
	busyTime        = 300 * time.Millisecond // after a refusal for load
	ejectAfter      = 3                      // failures in a row
	leavingTime     = 5 * time.Second        // after a refusal for leaving
	maxEjection     = time.Minute
	minEjection     = 2 * time.Second
	unreadyTime     = 2 * time.Second // after a refusal for the version
	probeTime       = 5 * time.Second // for which one probe may be under way
	maxEjectedShare = 0.5             // of a pool's endpoints
)

// smoothing is the weight of the newest measurement in a moving average.
const smoothing = 0.15

// maxSends bounds the own sends remembered of one endpoint.
const maxSends = 4096

// A send is one attempt that this process sent to an endpoint.
type send struct {
	done  time.Time // zero while in flight
	start time.Time
}

// An endpoint is this process's own evidence of one endpoint.
type endpoint struct {
	busyUntil    time.Time
	ejectedUntil time.Time
	ejections    int
	failures     int // in a row
	leavingUntil time.Time
	probeUntil   time.Time
	sends        []*send
	service      time.Duration // moving average of an attempt's time
	unreadyUntil time.Time
}

// begin notes an attempt sent at now.
func (e *endpoint) begin(now time.Time) *send {
	s := &send{start: now}
	e.sends = append(e.sends, s)
	if e.ejected() {
		e.probeUntil = now.Add(probeTime)
	}
	return s
}

// prune forgets the sends that a load report taken at reported covers whole.
func (e *endpoint) prune(reported time.Time) {
	kept := e.sends[:0]
	for _, s := range e.sends {
		if s.done.IsZero() || s.done.After(reported) {
			kept = append(kept, s)
		}
	}
	clear(e.sends[len(kept):])
	if len(kept) > maxSends {
		kept = kept[len(kept)-maxSends:]
	}
	e.sends = kept
}

// load corrects a load report by the own sends since: those begun after it
// come on top, those that it counts and that have ended go off.
func (e *endpoint) load(report gooseberrypass.EngineLoad) float64 {
	load := report.Running + report.Queued
	inFlight := 0
	for _, s := range e.sends {
		begunBefore := !s.start.After(report.At)
		switch {
		case s.done.IsZero() && !begunBefore:
			load++
			inFlight++
		case s.done.IsZero():
			inFlight++
		case begunBefore && s.done.After(report.At):
			load--
		}
	}
	return float64(max(load, inFlight, 0))
}

// end notes the result of an attempt.
func (e *endpoint) end(now time.Time, s *send, result Result) {
	s.done = now
	switch result {
	case ResultAnswered:
		e.failures = 0
		e.ejections = 0
		e.ejectedUntil = time.Time{}
		e.observe(now.Sub(s.start))
	case ResultBusy:
		e.busyUntil = now.Add(busyTime)
	case ResultFailed:
		e.fail(now)
	case ResultLeaving:
		e.leavingUntil = now.Add(leavingTime)
	case ResultLate:
		e.observe(now.Sub(s.start))
		e.fail(now)
	case ResultUnready:
		e.unreadyUntil = now.Add(unreadyTime)
	case ResultDropped:
	}
	e.probeUntil = time.Time{}
}

func (e *endpoint) fail(now time.Time) {
	e.failures++
	if e.failures < ejectAfter && e.ejections == 0 {
		return
	}
	if now.Before(e.ejectedUntil) {
		return
	}
	e.ejectedUntil = now.Add(min(minEjection<<min(e.ejections, 8), maxEjection))
	e.ejections++
}

func (e *endpoint) observe(d time.Duration) {
	if e.service == 0 {
		e.service = d
		return
	}
	e.service += time.Duration(smoothing * float64(d-e.service))
}

// ejected reports whether the endpoint is out of use until a probe succeeds.
func (e *endpoint) ejected() bool { return !e.ejectedUntil.IsZero() }

// probeDue reports whether an ejected endpoint may be tried once.
func (e *endpoint) probeDue(now time.Time) bool {
	return e.ejected() && !now.Before(e.ejectedUntil) && !now.Before(e.probeUntil)
}
