package reserver

import "time"

// A ConnState is what a connection of a caller does.
type ConnState struct {
	Busy  bool      // a request is being handled
	Since time.Time // when it was opened or became idle, or when the head began to arrive
	Used  bool      // a request has been handled and no further one has begun
}

// unusedTime is the time after which a connection that has not completed a head is closed
// before those that are idle between requests, which ordinary callers use again. A head of an
// ordinary caller arrives within a few round trips.
const unusedTime = time.Second

// The shares of MaxLeaving. It stays well below the file descriptors that are not for callers.
const (
	leavingShare = 4 // one part of so many of the connections
	maxLeaving   = 50
)

// MaxLeaving returns how many connections beyond so many at the limit may be about to close.
func MaxLeaving(conns int) int { return min(max(conns/leavingShare, 1), maxLeaving) }

// ChooseConn returns the index of the connection to close when a new one arrives at the limit:
// the one that has been stuck in its head for longest, then the one that has been idle for
// longest, then any other without a request. It returns -1 if all are busy.
func ChooseConn(now time.Time, conns []ConnState) int {
	best := -1
	for i, c := range conns {
		if c.Busy {
			continue
		}
		if best < 0 || closesBefore(now, c, conns[best]) {
			best = i
		}
	}
	return best
}

// closesBefore reports whether a is closed rather than b.
func closesBefore(now time.Time, a, b ConnState) bool {
	if ra, rb := a.rank(now), b.rank(now); ra != rb {
		return ra < rb
	}
	return a.Since.Before(b.Since)
}

// Stuck reports whether a connection has not completed a head for long.
func (c ConnState) Stuck(now time.Time) bool {
	return !c.Busy && !c.Used && now.Sub(c.Since) >= unusedTime
}

// New reports whether a connection may be about to complete a head.
func (c ConnState) New(now time.Time) bool { return !c.Busy && !c.Used && !c.Stuck(now) }

func (c ConnState) rank(now time.Time) int {
	switch {
	case c.Stuck(now):
		return 0
	case c.Used:
		return 1
	default:
		return 2
	}
}
