package tracker

import (
	"context"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The cost of polls and the budgets for them.
const (
	listBudget   = 2 << 10 // B/s for polls of the platform's list
	pollBytes    = 700     // B of one status poll, request and response with headers
	statusBudget = 5 << 9  // B/s for status polls
	// stateOnlyBudget is the budget, in B/s, of a process that does not need the
	// load of agents. It is lower than statusBudget because such a process is
	// itself polled by others as much as it polls them.
	stateOnlyBudget = 1 << 10
)

// The bounds of pauses, waits and timeouts.
const (
	listPollTimeout   = 5 * time.Second
	maxListPause      = 5 * time.Minute
	maxWait           = 20 * time.Second
	minListPause      = time.Second
	minPause          = 50 * time.Millisecond
	minStateOnlyWait  = 5 * time.Second
	minWait           = 2 * time.Second
	pollAnswerTimeout = 1500 * time.Millisecond // beyond the wait that the poll asks for
	retryPause        = 2 * time.Second         // before a poll after a failed one
)

// A pacing holds the wait times of status polls that keep them within their
// budget.
type pacing struct {
	loadWait time.Duration // how long an agent holds back changes of its load
	wait     time.Duration // how long an agent holds a poll without any change
}

// newPacing returns the pacing for a process that follows the given number of
// agents.
func newPacing(followed int, withoutLoad bool) pacing {
	if withoutLoad {
		wait := time.Duration(followed) * pollBytes * time.Second / stateOnlyBudget
		wait = min(max(wait, minStateOnlyWait), maxWait)
		return pacing{loadWait: wait, wait: wait}
	}
	status := time.Duration(followed) * pollBytes * time.Second / statusBudget
	return pacing{
		loadWait: min(max(status, minPause), maxWait),
		wait:     min(max(status, minWait), maxWait),
	}
}

// listPause returns the time from an answer of the list to the next poll. It is
// proportional to the bytes of the answer: an unchanged list, which takes few, is
// polled often, and a long one no more often than listBudget allows.
func listPause(listing gooseberrypass.Listing) time.Duration {
	pause := time.Duration(listing.TransferBytes) * time.Second / listBudget
	return min(max(pause, minListPause), maxListPause)
}

// pollPause returns the time from an answer to the next poll. It is short, so that
// an agent that starts to leave is noticed at once. The polls stay within their
// budget because the agent holds back changes of its load.
func (p pacing) pollPause() time.Duration { return minPause }

// silenceTimeout returns how long a followed agent may give no answer before it is
// considered silent.
func (p pacing) silenceTimeout() time.Duration {
	return p.wait + p.pollPause() + pollAnswerTimeout
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
