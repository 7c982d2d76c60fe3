package retrier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/router"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A failure is the failure of one attempt.
type failure struct {
	err    *gooseberrypass.RequestError
	final  bool          // the request is not retried
	result router.Result // reported to the router about the endpoint
}

// withoutWork reports whether the endpoint certainly did no work for the attempt and
// is avoided by the router for a while.
func (f *failure) withoutWork() bool {
	if f.err.Outcome != gooseberrypass.OutcomeNotRun {
		return false
	}
	switch f.result {
	case router.ResultFailed, router.ResultLeaving, router.ResultUnready:
		return true
	default:
		return false
	}
}

// A sentAttempt identifies an attempt that was sent to an agent.
type sentAttempt struct {
	id      string
	to      gooseberrypass.ListedInstance
	version uint64 // version of the agent's status when the attempt was sent
}

// An execution handles one request.
type execution struct {
	answer        gooseberrypass.Answer
	delivered     bool          // a part of the answer was passed to the caller
	inDoubt       []sentAttempt // attempts that may run or may have run
	interruptions int           // attempts interrupted without a cause given
	req           *gooseberrypass.Request
	retrier       *Retrier
	tried         []gooseberrypass.ID
}

// handle makes attempts until the request is answered or has failed. During a
// rollout this process's view of the endpoints is stale, so that all of them may
// refuse a request for a moment. Such a request, which has not run, is retried after
// a backoff.
func (e *execution) handle(ctx context.Context) error {
	backoff := initialBackoff
	for {
		err := e.tryEndpoints(ctx)
		if err == nil || backoff > maxBackoff || !e.mayBackOff(err) || !e.backOff(ctx, backoff) {
			return err
		}
		e.retrier.metrics.backoffs.Inc()
		e.tried = nil
		backoff *= 2
	}
}

// mayBackOff reports whether a failed request may be retried after a backoff: no
// endpoint had the version loaded, the caller has received nothing, and the request
// is idempotent or has certainly not run.
func (e *execution) mayBackOff(err error) bool {
	var failure *gooseberrypass.RequestError
	if e.delivered || !errors.As(err, &failure) || failure.Reason != gooseberrypass.ReasonNotLoaded {
		return false
	}
	return e.req.Repeatable() || len(e.inDoubt) == 0 && failure.Outcome == gooseberrypass.OutcomeNotRun
}

// backOff waits for the backoff and reports whether the request may go on. It
// returns false at once if the deadline is sooner.
func (e *execution) backOff(ctx context.Context, backoff time.Duration) bool {
	if e.retrier.clock.Now().Add(backoff).After(e.req.Deadline()) {
		return false
	}
	timer := e.retrier.clock.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// tryEndpoints makes up to maxAttempts attempts without a backoff.
func (e *execution) tryEndpoints(ctx context.Context) error {
	var last *failure
	for attempt := range maxAttempts {
		if attempt > 0 && !e.mayRetry(last) {
			break
		}
		ticket, err := e.retrier.chooser.Choose(e.query())
		if err != nil {
			return e.finalError(ctx, last, err)
		}
		if last != nil && last.withoutWork() && slices.Contains(e.tried, ticket.Member().Listed.ID) {
			ticket.Done(router.ResultDropped) // it has just refused, and no other endpoint is left
			break
		}
		last = e.attempt(ctx, ticket)
		if last == nil {
			e.retrier.suspects.RequestFinished(e.req.Digest())
			return nil
		}
		if last.final || ctx.Err() != nil {
			break
		}
		e.tried = append(e.tried, ticket.Member().Listed.ID)
	}
	return e.finalError(ctx, last, nil)
}

// mayRetry reports whether another attempt is allowed after a failure: nothing of the
// answer has reached the caller or the answer can start again, and the request is
// idempotent or has certainly not run. A retry takes a token from the budget, except
// after a refusal that cost the endpoint no work and after which the router avoids it.
func (e *execution) mayRetry(last *failure) bool {
	if !e.req.Repeatable() && len(e.inDoubt) > 0 {
		return false
	}
	if e.delivered && !e.restartAnswer() {
		return false
	}
	if !last.withoutWork() && !e.retrier.budget.withdraw() {
		e.retrier.metrics.retriesDenied.Inc()
		return false
	}
	e.retrier.metrics.retries.Inc()
	return true
}

// restartAnswer discards what was delivered, if the answer supports it.
func (e *execution) restartAnswer() bool {
	if !gooseberrypass.Restart(e.answer) {
		return false
	}
	e.delivered = false
	return true
}

func (e *execution) query() router.Query {
	q := router.Query{
		Avoid:    e.tried,
		Deadline: e.req.Deadline(),
		Kind:     e.req.Kind(),
		Priority: e.req.Priority(),
		Target:   e.req.TargetID(),
	}
	if e.req.Kind() == gooseberrypass.RequestGenerate {
		q.Prefix = gooseberrypass.PrefixHash(string(e.req.Body()))
	}
	return q
}

// attempt makes one attempt. It returns nil if the complete answer was delivered.
func (e *execution) attempt(ctx context.Context, ticket *router.Ticket) *failure {
	id := e.retrier.newID()
	remaining := min(e.req.Deadline().Sub(e.retrier.clock.Now()), maxAttemptTime)
	if remaining <= 0 {
		ticket.Done(router.ResultDropped)
		return &failure{err: e.deadlineError(), final: true}
	}
	e.retrier.metrics.attempts.Inc()
	to := ticket.Member().Listed
	e.inDoubt = append(e.inDoubt, sentAttempt{id: id, to: to, version: ticket.Member().Status.Version})
	var f *failure
	if e.req.Kind() == gooseberrypass.RequestCall {
		f = e.call(ctx, ticket, id, remaining)
	} else {
		f = e.generate(ctx, ticket, id, remaining)
	}
	if f != nil {
		e.afterFailure(ctx, f, id, to)
	}
	return f
}

// finish reports the result of an attempt to the router. An attempt that failed
// because its request's context ended says nothing about the endpoint.
func (e *execution) finish(ctx context.Context, ticket *router.Ticket, f *failure) {
	switch {
	case f == nil:
		ticket.Done(router.ResultAnswered)
	case ctx.Err() != nil && f.result == router.ResultFailed:
		ticket.Done(router.ResultDropped)
	default:
		ticket.Done(f.result)
	}
}

// afterFailure cancels a failed attempt of an idempotent request. For any other
// request it determines whether the attempt may have run.
func (e *execution) afterFailure(ctx context.Context, f *failure, id string, to gooseberrypass.ListedInstance) {
	if f.err.Outcome == gooseberrypass.OutcomeNotRun {
		e.removeInDoubt(id)
		return
	}
	if e.req.Repeatable() {
		e.cancel(ctx, id, to)
		return
	}
	e.refuseInDoubt(ctx)
	if len(e.inDoubt) == 0 {
		f.err.Outcome = gooseberrypass.OutcomeNotRun
	}
}

func (e *execution) removeInDoubt(id string) {
	for i, a := range e.inDoubt {
		if a.id == id {
			e.inDoubt = append(e.inDoubt[:i], e.inDoubt[i+1:]...)
			return
		}
	}
}

// cancel cancels an attempt that is no longer needed, in the background. Its failure
// is only counted.
func (e *execution) cancel(ctx context.Context, id string, to gooseberrypass.ListedInstance) {
	ctx, done := clockwork.WithTimeout(context.WithoutCancel(ctx), e.retrier.clock, settleTimeout)
	go func() {
		defer done()
		if err := e.retrier.dispatcher.Cancel(ctx, to, id); err != nil {
			e.retrier.metrics.failedCancels.Inc()
		}
	}()
}

// refuseInDoubt asks the agents of all attempts in doubt never to run them, and
// keeps those that may still run or have run.
func (e *execution) refuseInDoubt(ctx context.Context) {
	ctx, done := clockwork.WithTimeout(context.WithoutCancel(ctx), e.retrier.clock, settleTimeout)
	defer done()
	refused := make([]bool, len(e.inDoubt))
	var wg sync.WaitGroup
	for i, a := range e.inDoubt {
		wg.Go(func() {
			state, err := e.retrier.dispatcher.Refuse(ctx, a.to, a.id, a.version)
			refused[i] = err == nil && state == wire.AttemptState_ATTEMPT_STATE_REFUSED
		})
	}
	wg.Wait()
	var inDoubt []sentAttempt
	for i, a := range e.inDoubt {
		if !refused[i] {
			inDoubt = append(inDoubt, a)
		}
	}
	e.inDoubt = inDoubt
}

// finalError returns the error of the request. Its outcome is "not run" only if no
// attempt is in doubt. If no attempt was made, it is the error of choosing an
// endpoint.
func (e *execution) finalError(ctx context.Context, last *failure, chooseErr error) error {
	if len(e.inDoubt) > 0 && !e.delivered {
		e.refuseInDoubt(ctx)
	}
	if last == nil {
		return chooseErr
	}
	err := last.err
	err.Outcome = gooseberrypass.OutcomeUnknown
	if len(e.inDoubt) == 0 && !e.delivered {
		err.Outcome = gooseberrypass.OutcomeNotRun
	}
	return err
}

func (e *execution) deadlineError() *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{
		Detail:  "the deadline passed",
		Outcome: gooseberrypass.OutcomeNotRun,
		Reason:  gooseberrypass.ReasonDeadline,
	}
}

// firstFrameTimeout returns how long an attempt may take to its first piece before
// another endpoint is tried. usual is the usual time of an answer, 0 if unknown.
func firstFrameTimeout(remaining, usual time.Duration) time.Duration {
	if usual == 0 {
		return remaining
	}
	return min(remaining, max(firstFrameFactor*usual, minFirstFrameTimeout))
}
