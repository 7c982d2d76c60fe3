package attempter

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

func notRun(reason gooseberrypass.Reason, detail string) *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: reason, Detail: detail}
}

func unknown(reason gooseberrypass.Reason, detail string) *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeUnknown, Reason: reason, Detail: detail}
}

// asRequestError converts an error of the endpoint to a RequestError. The
// outcome is NotRun only if the error already says so or if no connection was
// made; otherwise it is Unknown.
func asRequestError(err error) *gooseberrypass.RequestError {
	var typed *gooseberrypass.RequestError
	if errors.As(err, &typed) {
		return typed
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun(gooseberrypass.ReasonUpstream, err.Error())
	}
	return unknown(gooseberrypass.ReasonCut, err.Error())
}

// isDisconnect reports whether a crash of the endpoint may have caused err: the
// endpoint did not refuse, and ctx had not ended.
func isDisconnect(ctx context.Context, err error) bool {
	e := asRequestError(err)
	return ctx.Err() == nil && e.Outcome == gooseberrypass.OutcomeUnknown &&
		(e.Reason == gooseberrypass.ReasonCut || e.Reason == gooseberrypass.ReasonUpstream)
}

// interruptedError returns the failure of an attempt whose context ended. ran
// says whether the endpoint may have run it.
func interruptedError(ctx context.Context, ran bool) *gooseberrypass.RequestError {
	e := &gooseberrypass.RequestError{
		Outcome: gooseberrypass.OutcomeNotRun,
		Reason:  gooseberrypass.ReasonCut,
		Detail:  "attempt interrupted: " + errorText(context.Cause(ctx)),
	}
	if ran {
		e.Outcome = gooseberrypass.OutcomeUnknown
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.Reason = gooseberrypass.ReasonDeadline
	}
	return e
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// withDeadline returns a context that is cancelled at deadline, as measured by
// clock, with the cause context.DeadlineExceeded.
func withDeadline(
	ctx context.Context,
	clock gooseberrypass.Clock,
	deadline time.Time,
) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(clock.Until(deadline), func() { cancel(context.DeadlineExceeded) })
	return ctx, func(cause error) {
		timer.Stop()
		cancel(cause)
	}
}
