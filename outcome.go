package gooseberrypass

import (
	"fmt"
	"time"
)

// An Outcome is what a caller may conclude about the execution of its request.
type Outcome int

// The outcomes.
const (
	OutcomeUnknown  Outcome = iota // the request may or may not have run
	OutcomeAnswered                // the request ran and its answer is complete
	OutcomeNotRun                  // the request did not run and will not run
)

// String returns the text of the outcome for callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not run"
	default:
		return "unknown"
	}
}

// ParseOutcome returns the outcome whose String is text, OutcomeUnknown for any other
// text.
func ParseOutcome(text string) Outcome {
	switch text {
	case "answered":
		return OutcomeAnswered
	case "not run":
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// A Reason is the machine-readable cause of a failed request.
type Reason string

// The reasons of failures.
const (
	ReasonBadRequest    Reason = "bad-request"
	ReasonCut           Reason = "cut"                    // the attempt or its answer was cut short
	ReasonDeadline      Reason = "deadline"               // the deadline passed
	ReasonKeyConflict   Reason = "key-conflict"           // the idempotency key was used for another request
	ReasonKeyExpired    Reason = "key-expired"            // the idempotency key is older than the claims kept
	ReasonLeaving       Reason = "leaving"                // the instance leaves
	ReasonLimited       Reason = "limited"                // above the rate limit of the client account
	ReasonLogDown       Reason = "log-down"               // the log of claims is unavailable
	ReasonNoEndpoint    Reason = "no-endpoint"            // no endpoint is available, or no configuration yet
	ReasonNotLoaded     Reason = "not-loaded"             // the version is not loaded
	ReasonOverloaded    Reason = "overloaded"             // no free capacity
	ReasonPoison        Reason = "poison"                 // quarantined because it crashed endpoints
	ReasonUnknownClient Reason = "unknown-client-account" // unknown client account or wrong key
	ReasonUnknownTarget Reason = "unknown-target"         // unknown model, service, call or route
	ReasonUpstream      Reason = "upstream"               // an endpoint failed or gave an invalid answer
)

// A RequestError is the failure of a request. Callers rely on its Outcome:
// OutcomeNotRun means that no attempt has run or will run. RetryAfter is 0 if no time
// to retry is suggested.
type RequestError struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Detail)
}
