package balancer

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A state says whether an endpoint is available for a request, and if not, why.
type state int

// The states of endpoints.
const (
	stateAvailable state = iota
	stateCold            // has got what this entry may send while it is cold
	stateEjected         // failed or timed out, or is on probation with a request in flight
	stateEvacuated       // in a failure domain that is evacuated
	stateExcluded        // in a region that may not serve the request
	stateFull            // at its limit, or refused because of load
	stateLeaving         // listed as leaving, or said so itself
	stateLimited         // has got what this entry may send under its rate limit
	stateLoading         // loading a version, or about to
	statePaused          // wants no requests from this entry for a while
	stateSilent          // has requests and has sent nothing for its stall timeout
	stateTried           // an earlier attempt of the request was sent there
	stateVersion         // has not loaded the required version
	numStates            // number of states
)

// String returns the state as it appears in the detail of refusals.
func (s state) String() string {
	switch s {
	case stateCold:
		return "warming up"
	case stateEjected:
		return "ejected"
	case stateEvacuated:
		return "evacuated"
	case stateExcluded:
		return "in a region that may not serve the request"
	case stateFull:
		return "full"
	case stateLeaving:
		return "leaving"
	case stateLimited:
		return "at its rate limit"
	case stateLoading:
		return "loading"
	case statePaused:
		return "pausing"
	case stateSilent:
		return "silent"
	case stateTried:
		return "tried"
	case stateVersion:
		return "of another version"
	default:
		return "with room"
	}
}

// A stateCounts holds the number of endpoints in each state.
type stateCounts struct {
	required int // required version, 0 for any
	byState  [numStates]int
	wait     time.Duration // shortest time until an endpoint takes a request that a rate limit, a pause or its ejection keeps from it, 0 for none
}

// addWait records the time until an endpoint takes a request that its rate limit, a pause or
// its ejection keeps from it.
func (c *stateCounts) addWait(wait time.Duration) {
	if wait > 0 && (c.wait == 0 || wait < c.wait) {
		c.wait = wait
	}
}

// refusal returns the error for a request without an available endpoint. Its
// detail has the number of endpoints in each state. RetryAfter is set if only rate limits,
// pauses and ejections keep endpoints from taking the request.
func (c stateCounts) refusal() *gooseberrypass.RequestError {
	err := &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonNoEndpoint}
	text := "no endpoint takes work"
	if c.byState[stateCold]+c.byState[stateFull]+c.byState[stateLimited]+c.byState[statePaused]+c.byState[stateSilent]+c.byState[stateTried] > 0 {
		err.Reason, text = gooseberrypass.ReasonOverloaded, "every endpoint is full"
	}
	if c.byState[stateFull]+c.byState[stateSilent] == 0 {
		err.RetryAfter = c.wait
	}
	var parts []string
	for s, n := range c.byState {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state(s)))
		}
	}
	if c.required > 0 {
		parts = append(parts, fmt.Sprintf("version %d required", c.required))
	}
	err.Detail = text
	if len(parts) > 0 {
		err.Detail += " (" + strings.Join(parts, ", ") + ")"
	}
	return err
}
