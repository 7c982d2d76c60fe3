package retrier

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/router"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A failure is how one attempt failed.
type failure struct {
	err    *gooseberrypass.RequestError
	final  bool          // no other attempt can do better
	result router.Result // what it showed of the endpoint
}

// An open attempt is one that was sent and has not been settled.
type openAttempt struct {
	id string
	to gooseberrypass.ListedInstance
}

// A run is the handling of one request.
type run struct {
	answer    gooseberrypass.Answer
	cuts      int           // attempts that broke off without a cause given
	delivered bool          // the caller has seen a part of the answer
	open      []openAttempt // may run or may have run
	req       *gooseberrypass.Request
	resume    *resumption
	retrier   *Retrier
	tried     []gooseberrypass.ID
}

// A resumption is the state of a stream that moves to another endpoint.
type resumption struct {
	kvCache []byte
	next    int64
	weights gooseberrypass.Digest
}

func (r *run) handle(ctx context.Context) error {
	var last *failure
	for attempt := range maxAttempts {
		if attempt > 0 && !r.mayRetry(last) {
			break
		}
		ticket, err := r.retrier.chooser.Choose(r.query())
		if err != nil {
			return r.fail(ctx, last, err)
		}
		last = r.attempt(ctx, ticket)
		if last == nil {
			r.retrier.suspects.Finished(r.req.Digest())
			return nil
		}
		if last.final || ctx.Err() != nil {
			break
		}
		r.tried = append(r.tried, ticket.Member().Listed.ID)
	}
	return r.fail(ctx, last, nil)
}

// mayRetry reports whether another attempt is allowed after a failure: nothing
// of the answer was delivered, and the request is idempotent or has certainly
// not run. A moved stream goes on without a retry.
func (r *run) mayRetry(last *failure) bool {
	if r.delivered && r.resume == nil {
		return false
	}
	if !r.req.Repeatable() && len(r.open) > 0 {
		return false
	}
	if last.err == nil {
		return true
	}
	if !r.retrier.budget.spend() {
		r.retrier.metrics.denied.Inc()
		return false
	}
	r.retrier.metrics.retries.Inc()
	return true
}

func (r *run) query() router.Query {
	q := router.Query{
		Avoid:    r.tried,
		Deadline: r.req.Deadline(),
		Kind:     r.req.Kind(),
		Priority: r.req.Priority(),
		Target:   r.req.TargetID(),
	}
	if r.req.Kind() == gooseberrypass.RequestGenerate {
		q.Prefix = router.PrefixHash(r.req.Body())
	}
	if r.resume != nil {
		q.Weights = r.resume.weights
	}
	return q
}

// attempt makes one attempt. It returns nil once the answer was delivered
// whole.
func (r *run) attempt(ctx context.Context, ticket *router.Ticket) *failure {
	id := r.retrier.newID()
	left := r.req.Deadline().Sub(r.retrier.clock.Now())
	if left <= 0 {
		ticket.Done(router.ResultDropped)
		return &failure{err: r.late(), final: true}
	}
	r.retrier.metrics.attempts.Inc()
	to := ticket.Member().Listed
	r.open = append(r.open, openAttempt{id: id, to: to})
	var f *failure
	if r.req.Kind() == gooseberrypass.RequestCall {
		f = r.call(ctx, ticket, id, left)
	} else {
		f = r.generate(ctx, ticket, id, left)
	}
	switch {
	case f == nil:
		ticket.Done(router.ResultAnswered)
	case ctx.Err() != nil && f.result == router.ResultFailed:
		ticket.Done(router.ResultDropped)
	default:
		ticket.Done(f.result)
	}
	if f != nil && f.err != nil {
		r.afterFailure(ctx, f, id, to)
	}
	return f
}

// afterFailure settles a failed attempt as far as the next step needs it.
func (r *run) afterFailure(ctx context.Context, f *failure, id string, to gooseberrypass.ListedInstance) {
	if f.err.Outcome == gooseberrypass.OutcomeNotRun {
		r.settled(id)
		return
	}
	if r.req.Repeatable() {
		r.cancel(ctx, id, to)
		return
	}
	r.settle(ctx)
	if len(r.open) == 0 {
		f.err.Outcome = gooseberrypass.OutcomeNotRun
	}
}

func (r *run) settled(id string) {
	for i, a := range r.open {
		if a.id == id {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

// cancel ends an attempt that another one replaces. It costs the caller no
// time and needs no answer.
func (r *run) cancel(ctx context.Context, id string, to gooseberrypass.ListedInstance) {
	ctx, done := clockwork.WithTimeout(context.WithoutCancel(ctx), r.retrier.clock, settleLimit)
	go func() {
		defer done()
		if err := r.retrier.dispatcher.Cancel(ctx, to, id); err != nil {
			r.retrier.metrics.lostCancels.Inc()
		}
	}()
}

// settle asks the agents of all open attempts to refuse them for good, and
// keeps as open those that may run or have run.
func (r *run) settle(ctx context.Context) {
	ctx, done := clockwork.WithTimeout(context.WithoutCancel(ctx), r.retrier.clock, settleLimit)
	defer done()
	refused := make([]bool, len(r.open))
	var wg sync.WaitGroup
	for i, a := range r.open {
		wg.Go(func() {
			states, err := r.retrier.dispatcher.Refuse(ctx, a.to, []string{a.id})
			refused[i] = err == nil && len(states) == 1 && states[0] == wire.AttemptState_ATTEMPT_STATE_REFUSED
		})
	}
	wg.Wait()
	var open []openAttempt
	for i, a := range r.open {
		if !refused[i] {
			open = append(open, a)
		}
	}
	r.open = open
}

// fail returns the typed failure of the request. Its outcome is "not run" only
// if no attempt is open. choice is the failure to choose an endpoint, if any.
func (r *run) fail(ctx context.Context, last *failure, choice error) error {
	if len(r.open) > 0 && !r.delivered {
		r.settle(ctx)
	}
	var err *gooseberrypass.RequestError
	switch {
	case last != nil && last.err != nil:
		err = last.err
	case choice != nil:
		return r.failChoice(choice)
	default:
		err = &gooseberrypass.RequestError{Reason: gooseberrypass.ReasonCut, Detail: "the stream moved too often"}
	}
	err.Outcome = gooseberrypass.OutcomeUnknown
	if len(r.open) == 0 && !r.delivered {
		err.Outcome = gooseberrypass.OutcomeNotRun
	}
	return err
}

func (r *run) failChoice(choice error) error {
	if !r.delivered {
		return choice
	}
	return &gooseberrypass.RequestError{
		Detail: "the stream had to move and no endpoint could go on with it: " + choice.Error(),
		Reason: gooseberrypass.ReasonCut,
	}
}

func (r *run) late() *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{
		Detail:  "the deadline passed",
		Outcome: gooseberrypass.OutcomeNotRun,
		Reason:  gooseberrypass.ReasonDeadline,
	}
}

// firstWait is how long an attempt may take to its first piece before another
// endpoint is tried.
func firstWait(left, usual time.Duration) time.Duration {
	if usual == 0 {
		return left
	}
	return min(left, max(firstWaits*usual, minFirstWait))
}
