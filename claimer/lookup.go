package claimer

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
)

// An Outcome is the outcome recorded in the log for a key. Body is the answer and
// empty if it was too long to be stored.
type Outcome struct {
	Body    []byte
	Detail  string
	Outcome gooseberrypass.Outcome
}

// Outcome returns the outcome of the call that an account made with a key. It is
// also "unknown" if no claim holds the key: a claim may still be in flight to the
// log and win later. Sending the call again with the same key is safe. An error is
// a *gooseberrypass.RequestError: the key is invalid or expired, the log cannot be
// read, or ctx ended.
func (c *Claimer) Outcome(ctx context.Context, account gooseberrypass.ID, text string) (Outcome, error) {
	k, err := c.checkKey(text)
	if err != nil {
		return Outcome{}, err
	}
	request := lookupRequested{result: make(chan keyStatus, 1), key: k}
	c.post(request)
	select {
	case <-ctx.Done():
		return Outcome{}, &gooseberrypass.RequestError{Detail: "the lookup took too long", Reason: gooseberrypass.ReasonDeadline}
	case status := <-request.result:
		return c.outcome(ctx, account, k, status)
	}
}

func (c *Claimer) outcome(ctx context.Context, account gooseberrypass.ID, k key, status keyStatus) (Outcome, error) {
	state := status.state
	foreign := state.held() && state.account != account
	switch {
	case !status.complete && !state.held():
		return Outcome{}, &gooseberrypass.RequestError{Detail: "the log of claims cannot be read now", Reason: gooseberrypass.ReasonLogDown}
	case foreign:
		return Outcome{Detail: "the key belongs to another client account"}, nil
	case !state.held():
		return Outcome{Detail: "no call holds the key now; it may be sent again under the same key"}, nil
	case state.outcomeOffset == 0:
		return Outcome{Detail: "the call is under way, or its outcome was lost"}, nil
	}
	entry, err := c.readOutcome(ctx, k, state.holder, state.outcomeOffset)
	if err != nil {
		return Outcome{}, unreadableError(state.outcome, err)
	}
	return Outcome{Body: entry.GetBody(), Detail: entry.GetDetail(), Outcome: state.outcome}, nil
}
