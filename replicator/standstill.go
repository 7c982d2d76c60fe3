package replicator

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxEventGap is the time between two events from which on the process stood still: the control loop has a
// tick every 100 ms.
const maxEventGap = 500 * time.Millisecond

// drainTime is the time after a standstill in which messages arrive that waited meanwhile.
const drainTime = 500 * time.Millisecond

// A standstill is the last time for which this process did not run.
type standstill struct {
	beganAt, endedAt time.Time
	eventAt          time.Time // last event
}

// record records an event.
func (s *standstill) record(now time.Time) {
	if !s.eventAt.IsZero() && now.Sub(s.eventAt) > maxEventGap {
		s.beganAt, s.endedAt = s.eventAt, now
	}
	s.eventAt = now
}

// aged returns the versions of a message that was received at a time. One that may have waited through
// a standstill may have been sent when that began, and does not tell when a version was named.
func (s *standstill) aged(receivedAt time.Time, reported []gooseberrypass.AgedTarget) []gooseberrypass.AgedTarget {
	if s.endedAt.IsZero() || receivedAt.Sub(s.beganAt) <= maxEventGap || receivedAt.Sub(s.endedAt) >= drainTime {
		return reported
	}
	aged := slices.Clone(reported)
	for i := range aged {
		aged[i] = aged[i].Later(receivedAt.Sub(s.beganAt))
		aged[i].Observed = false
	}
	return aged
}
