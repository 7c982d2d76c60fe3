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

// A failure is how one attempt failed.
type failure struct {
	err    *gooseberrypass.RequestError
	final  bool          // no other attempt can do better
	result router.Result // what it showed of the endpoint
}

// cheap reports whether the endpoint certainly did no work for the attempt and
// will be passed over for a while.
func (f *failure) cheap() bool {
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

// An open attempt is one that was sent and has not been settled.
type openAttempt struct {
	id      string
	to      gooseberrypass.ListedInstance
	version uint64 // of the agent's status when the attempt was sent
}

// A run is the handling of one request.
type run struct {
	answer    gooseberrypass.Answer
	cuts      int           // attempts that broke off without a cause given
	delivered bool          // the caller has seen a part of the answer
	unsettled []openAttempt // may run or may have run
	req       *gooseberrypass.Request
	retrier   *Retrier
	tried     []gooseberrypass.ID
}

// handle tries until the request is answered or has failed. In a rollout the
// views of this process lag, so that for a moment all endpoints may refuse: such
// a request, of which nothing has run, waits and is tried anew.
func (r *run) handle(ctx context.Context) error {
	pause := firstPause
	for {
		err := r.try(ctx)
		if err == nil || pause > lastPause || !r.mayWait(err) || !r.wait(ctx, pause) {
			return err
		}
		r.retrier.metrics.waits.Inc()
		r.tried = nil
		pause *= 2
	}
}

// mayWait reports whether a failed request may be tried anew after a pause: its
// endpoints are changing, the caller has seen nothing, and it is idempotent or has
// certainly not run.
func (r *run) mayWait(err error) bool {
	var failure *gooseberrypass.RequestError
	if r.delivered || !errors.As(err, &failure) || failure.Reason != gooseberrypass.ReasonNotLoaded {
		return false
	}
	return r.req.Repeatable() || len(r.unsettled) == 0 && failure.Outcome == gooseberrypass.OutcomeNotRun
}

// wait pauses and reports whether there is still time for the request.
func (r *run) wait(ctx context.Context, pause time.Duration) bool {
	if r.retrier.clock.Now().Add(pause).After(r.req.Deadline()) {
		return false
	}
	timer := r.retrier.clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// try makes attempts one after another.
func (r *run) try(ctx context.Context) error {
	var last *failure
	for attempt := range maxAttempts {
		if attempt > 0 && !r.mayRetry(last) {
			break
		}
		ticket, err := r.retrier.chooser.Choose(r.query())
		if err != nil {
			return r.fail(ctx, last, err)
		}
		if last != nil && last.cheap() && slices.Contains(r.tried, ticket.Member().Listed.ID) {
			ticket.Done(router.ResultDropped) // it has just refused, and no other is left
			break
		}
		last = r.attempt(ctx, ticket)
		if last == nil {
			r.retrier.suspects.RequestFinished(r.req.Digest())
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
// of the answer has reached the caller, and the request is idempotent or has certainly
// not run.
// It draws on the budget, but for a refusal that cost the endpoint nothing and
// after which the router passes it over.
func (r *run) mayRetry(last *failure) bool {
	if !r.req.Repeatable() && len(r.unsettled) > 0 {
		return false
	}
	if r.delivered && !r.restart() {
		return false
	}
	if !last.cheap() && !r.retrier.budget.spend() {
		r.retrier.metrics.denied.Inc()
		return false
	}
	r.retrier.metrics.retries.Inc()
	return true
}

// restart takes back what was delivered, if the answer lets it.
func (r *run) restart() bool {
	if !gooseberrypass.Restart(r.answer) {
		return false
	}
	r.delivered = false
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
		q.Prefix = gooseberrypass.PrefixHash(string(r.req.Body()))
	}
	return q
}

// attempt makes one attempt. It returns nil once the answer was delivered
// whole.
func (r *run) attempt(ctx context.Context, ticket *router.Ticket) *failure {
	id := r.retrier.newID()
	left := min(r.req.Deadline().Sub(r.retrier.clock.Now()), maxAttemptTime)
	if left <= 0 {
		ticket.Done(router.ResultDropped)
		return &failure{err: r.late(), final: true}
	}
	r.retrier.metrics.attempts.Inc()
	to := ticket.Member().Listed
	r.unsettled = append(r.unsettled, openAttempt{id: id, to: to, version: ticket.Member().Status.Version})
	var f *failure
	if r.req.Kind() == gooseberrypass.RequestCall {
		f = r.call(ctx, ticket, id, left)
	} else {
		f = r.generate(ctx, ticket, id, left)
	}
	if f != nil {
		r.afterFailure(ctx, f, id, to)
	}
	return f
}

// finish tells the router what an attempt showed of its endpoint. One that
// broke because its request ended shows nothing.
func (r *run) finish(ctx context.Context, ticket *router.Ticket, f *failure) {
	switch {
	case f == nil:
		ticket.Done(router.ResultAnswered)
	case ctx.Err() != nil && f.result == router.ResultFailed:
		ticket.Done(router.ResultDropped)
	default:
		ticket.Done(f.result)
	}
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
	if len(r.unsettled) == 0 {
		f.err.Outcome = gooseberrypass.OutcomeNotRun
	}
}

func (r *run) settled(id string) {
	for i, a := range r.unsettled {
		if a.id == id {
			r.unsettled = append(r.unsettled[:i], r.unsettled[i+1:]...)
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
	refused := make([]bool, len(r.unsettled))
	var wg sync.WaitGroup
	for i, a := range r.unsettled {
		wg.Go(func() {
			state, err := r.retrier.dispatcher.Refuse(ctx, a.to, a.id, a.version)
			refused[i] = err == nil && state == wire.AttemptState_ATTEMPT_STATE_REFUSED
		})
	}
	wg.Wait()
	var unsettled []openAttempt
	for i, a := range r.unsettled {
		if !refused[i] {
			unsettled = append(unsettled, a)
		}
	}
	r.unsettled = unsettled
}

// fail returns the typed failure of the request. Its outcome is "not run" only
// if no attempt is open. Without a failed attempt it is the failure to choose
// an endpoint.
func (r *run) fail(ctx context.Context, last *failure, choice error) error {
	if len(r.unsettled) > 0 && !r.delivered {
		r.settle(ctx)
	}
	if last == nil {
		return choice
	}
	err := last.err
	err.Outcome = gooseberrypass.OutcomeUnknown
	if len(r.unsettled) == 0 && !r.delivered {
		err.Outcome = gooseberrypass.OutcomeNotRun
	}
	return err
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
