package answerer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// errOrder is returned to a handler that breaks the order Start, Write, End.
var errOrder = errors.New("answer out of order")

// A checkFilter admits only whole answers: started once, ended once, nothing
// after the end, and every failure typed.
type checkFilter struct{}

// Wrap implements gooseberrypass.Filter.
func (checkFilter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		checked := &checkedAnswer{next: answer}
		err := next.Handle(ctx, req, checked)
		if err == nil && !checked.ended {
			return &gooseberrypass.RequestError{Detail: "the answer has no end marker", Reason: gooseberrypass.ReasonCut}
		}
		if err == nil {
			return nil
		}
		failure := typed(err)
		if checked.started && failure.Outcome == gooseberrypass.OutcomeNotRun {
			failure = &gooseberrypass.RequestError{Detail: failure.Detail, Reason: gooseberrypass.ReasonCut}
		}
		return failure
	})
}

// typed returns the typed failure that err is, or one that promises nothing.
func typed(err error) *gooseberrypass.RequestError {
	var failure *gooseberrypass.RequestError
	if errors.As(err, &failure) {
		return failure
	}
	return &gooseberrypass.RequestError{Detail: err.Error(), Reason: gooseberrypass.ReasonUpstream}
}

// A checkedAnswer passes an answer on in its right order only.
type checkedAnswer struct {
	ended   bool
	next    gooseberrypass.Answer
	started bool
}

// Start implements gooseberrypass.Answer.
func (a *checkedAnswer) Start(digest gooseberrypass.Digest) error {
	if a.started {
		return errors.Wrap(errOrder, "second start")
	}
	a.started = true
	return a.next.Start(digest)
}

// Write implements gooseberrypass.Answer.
func (a *checkedAnswer) Write(piece []byte) error {
	if !a.started || a.ended {
		return errors.Wrap(errOrder, "piece outside the answer")
	}
	return a.next.Write(piece)
}

// Restart implements gooseberrypass.Restarter.
func (a *checkedAnswer) Restart() bool {
	if a.ended || !gooseberrypass.Restart(a.next) {
		return false
	}
	a.started = false
	return true
}

// End implements gooseberrypass.Answer.
func (a *checkedAnswer) End() error {
	if !a.started || a.ended {
		return errors.Wrap(errOrder, "end outside the answer")
	}
	a.ended = true
	return a.next.End()
}

var (
	_ gooseberrypass.Answer = (*checkedAnswer)(nil)
	_ gooseberrypass.Filter = checkFilter{}
)
