package answerer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// errOrder is returned to a handler that does not call Start, Write and End in
// this order.
var errOrder = errors.New("answer out of order")

// An answerOrderFilter enforces the protocol of gooseberrypass.Answer: one Start,
// one End, no writes outside of them. It converts every failure to a RequestError,
// and reports a handler that returns without calling End as a cut answer.
type answerOrderFilter struct{}

// Wrap implements gooseberrypass.Filter.
func (answerOrderFilter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		ordered := &orderedAnswer{next: answer}
		err := next.Handle(ctx, req, ordered)
		if err == nil && !ordered.ended {
			return &gooseberrypass.RequestError{Detail: "the answer has no end marker", Reason: gooseberrypass.ReasonCut}
		}
		if err == nil {
			return nil
		}
		failure := toRequestError(err)
		// "not run" cannot be true once an answer has started.
		if ordered.started && failure.Outcome == gooseberrypass.OutcomeNotRun {
			failure = &gooseberrypass.RequestError{Detail: failure.Detail, Reason: gooseberrypass.ReasonCut}
		}
		return failure
	})
}

// toRequestError returns the RequestError in err's chain. Any other error becomes
// a RequestError of unknown outcome, as the request may have run.
func toRequestError(err error) *gooseberrypass.RequestError {
	var failure *gooseberrypass.RequestError
	if errors.As(err, &failure) {
		return failure
	}
	return &gooseberrypass.RequestError{Detail: err.Error(), Reason: gooseberrypass.ReasonUpstream}
}

// An orderedAnswer forwards calls to next and rejects those that are out of
// order.
type orderedAnswer struct {
	ended   bool
	next    gooseberrypass.Answer
	started bool
}

// Start implements gooseberrypass.Answer.
func (a *orderedAnswer) Start(digest gooseberrypass.Digest) error {
	if a.started {
		return errors.Wrap(errOrder, "second start")
	}
	a.started = true
	return a.next.Start(digest)
}

// Write implements gooseberrypass.Answer.
func (a *orderedAnswer) Write(piece []byte) error {
	if !a.started || a.ended {
		return errors.Wrap(errOrder, "piece outside the answer")
	}
	return a.next.Write(piece)
}

// Restart implements gooseberrypass.Restarter.
func (a *orderedAnswer) Restart() bool {
	if a.ended || !gooseberrypass.Restart(a.next) {
		return false
	}
	a.started = false
	return true
}

// End implements gooseberrypass.Answer.
func (a *orderedAnswer) End() error {
	if !a.started || a.ended {
		return errors.Wrap(errOrder, "end outside the answer")
	}
	a.ended = true
	return a.next.End()
}

var (
	_ gooseberrypass.Answer = (*orderedAnswer)(nil)
	_ gooseberrypass.Filter = answerOrderFilter{}
)
