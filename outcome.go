package gooseberrypass

import (
	"fmt"
	"time"
)

// An Outcome tells a caller what became of its request.
type Outcome int

// The outcomes. OutcomeUnknown is the zero value: nothing is promised.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAnswered
	OutcomeNotRun
)

// String returns the outcome as it is shown to callers.
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

// ParseOutcome returns the outcome that String wrote; any other text is
// OutcomeUnknown.
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

// A Reason is a machine-readable cause of a failed request.
type Reason string

// The reasons.
const (
	ReasonBadRequest    Reason = "bad-request"
	ReasonCut           Reason = "cut"
	ReasonDeadline      Reason = "deadline"
	ReasonKeyConflict   Reason = "key-conflict"
	ReasonKeyExpired    Reason = "key-expired"
	ReasonLeaving       Reason = "leaving"
	ReasonLimited       Reason = "limited"
	ReasonLogDown       Reason = "log-down"
	ReasonNoEndpoint    Reason = "no-endpoint"
	ReasonNotLoaded     Reason = "not-loaded"
	ReasonOverloaded    Reason = "overloaded"
	ReasonPoison        Reason = "poison"
	ReasonUnknownClient Reason = "unknown-client-account"
	ReasonUnknownTarget Reason = "unknown-target"
	ReasonUpstream      Reason = "upstream"
)

// A RequestError is the typed failure of a request. Its Outcome is a promise:
// OutcomeNotRun means that no attempt ran nor will run.
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
