// Package admitter queues the requests of one endpoint: higher priorities go
// first, client accounts share a priority fairly, and work that cannot end in
// time is refused before it starts.
package admitter

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Job is one attempt that asks to run.
type Job struct {
	Account  gooseberrypass.ID
	Alone    bool   // nothing may run beside it
	Class    string // jobs of a class take about equally long for their cost
	Cost     int64  // expected work, such as tokens; at least 1
	Deadline time.Time
	ID       string
	Priority gooseberrypass.Priority
}

// A Verdict is what became of a queued job.
type Verdict int

// The verdicts.
const (
	VerdictStart Verdict = iota
	VerdictRefuse
)

// A Decision tells that a job starts or is refused. A refused job did not run.
type Decision struct {
	ID         string
	Reason     gooseberrypass.Reason // of a refusal
	RetryAfter time.Duration         // of a refusal, 0 for unknown
	Verdict    Verdict
}

func refusal(id string, reason gooseberrypass.Reason, retryAfter time.Duration) Decision {
	return Decision{ID: id, Reason: reason, RetryAfter: retryAfter, Verdict: VerdictRefuse}
}
