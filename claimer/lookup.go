package claimer

import (
	"context"

	"github.com/gooseberrypass/gooseberrypass"
)

// An Outcome is what the log says of a key.
type Outcome struct {
	Body    []byte
	Detail  string
	Outcome gooseberrypass.Outcome
}

// Outcome returns what became of the call that an account made under a key. A
// key that no claim holds is "unknown" too: a claim may be on its way to the
// log and win later, so nothing is promised. Sending the call again under the
// same key is safe.
func (c *Claimer) Outcome(ctx context.Context, account gooseberrypass.ID, text string) (Outcome, error) {
	k, err := c.checkKey(text)
	if err != nil {
		return Outcome{}, err
	}
	asked := lookupRequested{answer: make(chan lookup, 1), key: k}
	c.post(asked)
	select {
	case <-ctx.Done():
		return Outcome{}, &gooseberrypass.RequestError{Detail: "the lookup took too long", Reason: gooseberrypass.ReasonDeadline}
	case l := <-asked.answer:
		return c.outcome(ctx, account, k, l)
	}
}

func (c *Claimer) outcome(ctx context.Context, account gooseberrypass.ID, k key, l lookup) (Outcome, error) {
	state := l.state
	foreign := state.held() && state.account != account
	switch {
	case !l.known && !state.held():
		return Outcome{}, &gooseberrypass.RequestError{Detail: "the log of claims cannot be read now", Reason: gooseberrypass.ReasonLogDown}
	case foreign:
		return Outcome{Detail: "the key belongs to another client account"}, nil
	case !state.held():
		return Outcome{Detail: "no call holds the key now; it may be sent again under the same key"}, nil
	case state.recorded == 0:
		return Outcome{Detail: "the call is under way, or its outcome was lost"}, nil
	}
	entry, err := c.readOutcome(ctx, k, state.holder, state.recorded)
	if err != nil {
		return Outcome{}, unreadable(state.outcome, err)
	}
	return Outcome{Body: entry.GetBody(), Detail: entry.GetDetail(), Outcome: state.outcome}, nil
}
