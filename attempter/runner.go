package attempter

import (
	"context"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
	"github.com/gooseberrypass/gooseberrypass/monitor"
)

// A task is an attempt as the runner needs it.
type task struct {
	account  gooseberrypass.ID
	alone    bool         // runs while no other attempt does
	check    func() error // runs before admission and again just before run; may be nil
	class    string       // groups attempts of similar cost for the admission queue
	cost     int64
	detached bool                  // cannot be cancelled once it has started
	digest   gooseberrypass.Digest // digest of the request
	id       string
	lifetime time.Duration // from arrival to deadline
	model    gooseberrypass.ID
	priority gooseberrypass.Priority
	run      func(ctx context.Context, p *progress) error
}

// A progress is updated by a task while it runs.
type progress struct {
	cost         int64         // work done
	disconnected bool          // the endpoint broke the connection
	waited       time.Duration // time in the admission queue
}

// A runner passes attempts through the agent's checks: planned stop, duplicates,
// deadline, admission queue and version gate. It is safe for concurrent use.
type runner struct {
	admitter *admitter.Admitter
	clock    gooseberrypass.Clock
	metrics  *metrics
	registry *registry
	stop     *stopState
}

// runAttempt runs t at most once. Its error is a *gooseberrypass.RequestError;
// NotRun guarantees that late copies of the attempt do not run either.
func (r *runner) runAttempt(ctx context.Context, t task) error {
	deadline := r.clock.Now().Add(t.lifetime)
	ctx, cancel := withDeadline(ctx, r.clock, deadline)
	defer cancel(nil)
	a := &attempt{
		cancel:   cancel,
		detached: t.detached,
		request:  monitor.RunningRequest{Request: t.digest},
		id:       t.id,
		lifetime: t.lifetime,
		model:    t.model,
	}
	if before, ok := r.registry.begin(a); !ok {
		return r.countOutcome(duplicateError(before))
	}
	err := r.admit(ctx, a, t, deadline)
	r.registry.finish(a, err != nil && asRequestError(err).Outcome == gooseberrypass.OutcomeNotRun)
	return r.countOutcome(err)
}

// admit waits for the admission queue and executes the attempt.
func (r *runner) admit(ctx context.Context, a *attempt, t task, deadline time.Time) error {
	if r.stop.leaving() {
		return notRun(gooseberrypass.ReasonLeaving, "instance is leaving")
	}
	if err := runCheck(t.check); err != nil {
		return err
	}
	permit, err := r.admitter.Admit(ctx, admitter.Job{
		Account:  t.account,
		Alone:    t.alone,
		Class:    t.class,
		Cost:     t.cost,
		Deadline: deadline,
		ID:       t.id,
		Priority: t.priority,
	})
	if err != nil {
		return err
	}
	p := &progress{waited: permit.Waited()}
	err = r.execute(ctx, a, t, p, deadline)
	if p.disconnected { // recorded before the permit ends, so that the next attempt sees it
		r.registry.recordDisconnect(r.clock.Now(), a)
	}
	permit.Release(p.cost, err == nil)
	return err
}

// execute starts an attempt. The attempt counts as running before the last
// check, so that a load that begins in between is either seen by the check or
// waits for the attempt.
func (r *runner) execute(ctx context.Context, a *attempt, t task, p *progress, deadline time.Time) error {
	if !r.registry.start(a, r.clock.Now()) {
		return notRun(gooseberrypass.ReasonCut, "refused while it was queued")
	}
	if err := runCheck(t.check); err != nil {
		return err
	}
	if !r.clock.Now().Before(deadline) {
		return notRun(gooseberrypass.ReasonDeadline, "deadline passed before the start")
	}
	return t.run(ctx, p)
}

// countOutcome counts the outcome of an attempt and returns err as a
// *gooseberrypass.RequestError.
func (r *runner) countOutcome(err error) error {
	if err == nil {
		r.metrics.attempts.WithLabelValues(gooseberrypass.OutcomeAnswered.String(), "").Inc()
		return nil
	}
	e := asRequestError(err)
	r.metrics.attempts.WithLabelValues(e.Outcome.String(), string(e.Reason)).Inc()
	return e
}

// duplicateError returns the error for an attempt that the registry did not
// accept, by the phase that begin returned.
func duplicateError(before phase) error {
	switch before {
	case phaseNone:
		return notRun(gooseberrypass.ReasonOverloaded, "too many attempts remembered")
	case phaseRefused:
		return notRun(gooseberrypass.ReasonCut, "attempt was refused before")
	default:
		return unknown(gooseberrypass.ReasonBadRequest, "attempt is not new or cannot be remembered")
	}
}

func runCheck(check func() error) error {
	if check == nil {
		return nil
	}
	return check()
}
