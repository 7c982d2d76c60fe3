// Package admitter implements admission control for one endpoint. Requests with
// a higher priority start first, client accounts get fair shares within a
// priority, and requests that cannot finish before their deadline are refused
// before they start.
package admitter

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Job is one attempt that asks for admission. Offering one with a Cost below 1
// or a Priority out of range replaces the value by the nearest valid one.
type Job struct {
	Account  gooseberrypass.ID
	Alone    bool   // run only while no other job runs
	Class    string // jobs of the same class and cost have similar service times
	Cost     int64  // expected work, such as tokens; at least 1
	Deadline time.Time
	ID       string
	Priority gooseberrypass.Priority
}

// A Verdict is the kind of a Decision.
type Verdict int

// The verdicts.
const (
	VerdictStart  Verdict = iota // the job may run now
	VerdictRefuse                // the job did not run and has left the queue
)

// A Decision says that a job may start or is refused.
type Decision struct {
	ID         string
	Reason     gooseberrypass.Reason // why the job is refused; empty for a start
	RetryAfter time.Duration         // delay before a retry of a refused job; 0 if unknown
	Verdict    Verdict
}

func refusal(id string, reason gooseberrypass.Reason, retryAfter time.Duration) Decision {
	return Decision{ID: id, Reason: reason, RetryAfter: retryAfter, Verdict: VerdictRefuse}
}
