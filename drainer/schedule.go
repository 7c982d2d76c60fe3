package drainer

import "time"

// A Schedule is the course of a planned stop, as durations from its begin.
type Schedule struct {
	Listen   time.Duration // until then connections are accepted
	Deadline time.Duration // by then requests must be answered
	Final    time.Duration // then the others get a final answer
	Close    time.Duration // then connections are closed
}

// The reserves at the end of a grace period: the longest one, and the share of a short
// grace period. All lie in its last sixth: the operator counts an answer that is cut
// earlier.
const (
	deadlineReserve      = 700 * time.Millisecond
	deadlineReserveShare = 8                      // one part of so many
	finalReserve         = 550 * time.Millisecond // leaves an endpoint time to answer at the deadline
	finalReserveShare    = 10
	closeReserve         = 400 * time.Millisecond // leaves final answers time to reach callers
	closeReserveShare    = 16
)

// NewSchedule returns the schedule of a stop. grace is the time from SIGTERM to SIGKILL,
// listen the time for which connections should be accepted.
func NewSchedule(grace, listen time.Duration) Schedule {
	deadline := grace - min(deadlineReserve, grace/deadlineReserveShare)
	return Schedule{
		Listen:   min(listen, deadline),
		Deadline: deadline,
		Final:    grace - min(finalReserve, grace/finalReserveShare),
		Close:    grace - min(closeReserve, grace/closeReserveShare),
	}
}
