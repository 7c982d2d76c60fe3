package tracker

import (
	"context"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The cost of polls and what may be spent on them.
const (
	listBudget   = 2 << 10 // bytes a second for the platform's list
	pollBytes    = 700     // bytes of one status poll, both ways, with headers
	statusBudget = 5 << 9  // bytes a second for status polls
	// standingBudget is for a process that needs no load: it is polled by others
	// as much as it polls them.
	standingBudget = 1 << 10
)

// The bounds of pauses and waits.
const (
	listPollLimit   = 5 * time.Second
	maxListPause    = 5 * time.Minute
	maxWait         = 20 * time.Second
	minListPause    = time.Second
	minPause        = 50 * time.Millisecond
	minStandingWait = 5 * time.Second
	minWait         = 2 * time.Second
	pollAnswerLimit = 1500 * time.Millisecond
	retryPause      = 2 * time.Second // after a poll that failed
)

// A pacing spaces polls out so that they stay within their budget.
type pacing struct {
	load time.Duration // for which an agent holds back changes of its load
	wait time.Duration // for which an agent holds a poll without any change
}

func newPacing(followed int, withoutLoad bool) pacing {
	if withoutLoad {
		wait := time.Duration(followed) * pollBytes * time.Second / standingBudget
		wait = min(max(wait, minStandingWait), maxWait)
		return pacing{load: wait, wait: wait}
	}
	status := time.Duration(followed) * pollBytes * time.Second / statusBudget
	return pacing{
		load: min(max(status, minPause), maxWait),
		wait: min(max(status, minWait), maxWait),
	}
}

// listPause is the time from an answer of the list to the next poll. It follows
// what the answer cost, so that an unchanged list, which costs little, is asked
// for often, and a long one no more often than its budget allows.
func listPause(listing gooseberrypass.Listing) time.Duration {
	pause := time.Duration(listing.Cost) * time.Second / listBudget
	return min(max(pause, minListPause), maxListPause)
}

// pause is the time between an answer and the next poll. It is short, so that
// an agent that leaves is heard of at once: the agent itself holds back changes
// of its load, which keeps the polls within their budget.
func (p pacing) pause() time.Duration { return minPause }

// silence is how long a followed agent may go unheard.
func (p pacing) silence() time.Duration {
	return p.wait + p.pause() + pollAnswerLimit
}

// sleep waits for d and reports whether it passed before ctx was done.
func sleep(ctx context.Context, clock gooseberrypass.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
