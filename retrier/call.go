package retrier

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/router"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// call makes one attempt to call a plain service.
func (e *execution) call(ctx context.Context, ticket *router.Ticket, id string, remaining time.Duration) *failure {
	digest := e.req.Digest()
	request := &wire.CallRequest{
		Account:       string(e.req.AccountID()),
		AttemptId:     id,
		Body:          e.req.Body(),
		Call:          e.req.Call(),
		DeadlineMs:    max(remaining.Milliseconds(), 1),
		Key:           e.req.Key(),
		Priority:      int32(e.req.Priority()),
		RequestDigest: digest[:],
		Service:       string(e.req.TargetID()),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := startWatchdog(e.retrier.clock, e.callTimeout(remaining, ticket.ServiceTime()), cancel)
	defer watch.stop()
	response, err := e.retrier.dispatcher.Call(ctx, ticket.Member().Listed, request)
	if err != nil {
		return e.attemptFailure(ticket, watch, err)
	}
	if err := checkResponse(request, response); err != nil {
		e.retrier.metrics.badFrames.Inc()
		return e.attemptFailure(ticket, watch, err)
	}
	if gooseberrypass.ParseOutcome(response.GetOutcome()) != gooseberrypass.OutcomeAnswered {
		f := agentFailure(response.GetOutcome(), response.GetReason(), response.GetDetail(), 0)
		e.recordInterruption(ticket, f)
		return f
	}
	return e.deliverCall(response.GetBody())
}

// callTimeout returns how long one attempt at a call may take. A call that is not
// idempotent gets all the remaining time.
func (e *execution) callTimeout(remaining, usual time.Duration) time.Duration {
	if !e.req.Repeatable() {
		return remaining
	}
	return firstFrameTimeout(remaining, usual)
}

func (e *execution) deliverCall(body []byte) *failure {
	if err := e.start(gooseberrypass.Digest{}); err != nil {
		return e.callerGoneFailure(err)
	}
	if err := e.answer.Write(body); err != nil {
		return e.callerGoneFailure(err)
	}
	if err := e.answer.End(); err != nil {
		return e.callerGoneFailure(err)
	}
	return nil
}

// checkResponse returns an error that wraps ErrBadFrame for a response that belongs
// to another attempt or request, or whose body does not match its digest.
func checkResponse(request *wire.CallRequest, response *wire.CallResponse) error {
	if response.GetAttemptId() != request.GetAttemptId() {
		return errors.Wrapf(ErrBadFrame, "attempt %q, want %q", response.GetAttemptId(), request.GetAttemptId())
	}
	if string(response.GetRequestDigest()) != string(request.GetRequestDigest()) {
		return errors.Wrap(ErrBadFrame, "other request's digest")
	}
	if gooseberrypass.ParseOutcome(response.GetOutcome()) != gooseberrypass.OutcomeAnswered {
		return nil
	}
	digest := gooseberrypass.DigestOf(response.GetBody())
	if string(response.GetBodyDigest()) != string(digest[:]) {
		return errors.Wrap(ErrBadFrame, "digest of the answer differs")
	}
	return nil
}
