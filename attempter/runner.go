package attempter

import (
	"context"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
)

// A task is what a runner needs to know of an attempt.
type task struct {
	account  gooseberrypass.ID
	alone    bool
	check    func() error // last check before the endpoint, may be nil
	class    string
	cost     int64
	digest   gooseberrypass.Digest // of the request
	final    bool                  // cannot be taken back once it has started
	id       string
	life     time.Duration
	model    gooseberrypass.ID
	priority gooseberrypass.Priority
	run      func(ctx context.Context, p *progress) error
}

// A progress is what a run tells of itself while it goes on.
type progress struct {
	cost   int64 // work done
	cut    bool  // the endpoint cut the connection
	waited time.Duration
}

// A runner takes attempts through the agent's filters: leaving, attempts that
// came before, deadline, admission queue and version gate. It is safe for
// concurrent use.
type runner struct {
	admitter *admitter.Admitter
	clock    gooseberrypass.Clock
	metrics  *metrics
	registry *registry
	stop     *stopState
}

// attempt runs t at most once. Its error is a *gooseberrypass.RequestError; a
// NotRun is a promise that holds for late copies of the attempt too.
func (n *runner) attempt(ctx context.Context, t task) error {
	deadline := n.clock.Now().Add(t.life)
	ctx, cancel := withDeadline(ctx, n.clock, deadline)
	defer cancel(nil)
	a := &attempt{
		cancel: cancel,
		final:  t.final,
		flight: supervisor.RunningRequest{Request: t.digest},
		id:     t.id,
		life:   t.life,
		model:  t.model,
	}
	if before, room := n.registry.begin(a); !room {
		return n.count(repeated(before))
	}
	err := n.admit(ctx, a, t, deadline)
	n.registry.finish(a, err != nil && asRequestError(err).Outcome == gooseberrypass.OutcomeNotRun)
	return n.count(err)
}

func (n *runner) admit(ctx context.Context, a *attempt, t task, deadline time.Time) error {
	if n.stop.leaving() {
		return notRun(gooseberrypass.ReasonLeaving, "instance is leaving")
	}
	if err := runCheck(t.check); err != nil {
		return err
	}
	permit, err := n.admitter.Admit(ctx, admitter.Job{
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
	err = n.run(ctx, a, t, p, deadline)
	if p.cut { // before the next attempt may start
		n.registry.reportCut(n.clock.Now(), a)
	}
	permit.End(p.cost, err == nil)
	return err
}

// run starts an attempt. It counts as running before the last check, so that a
// load that begins meanwhile is either seen by the check or waits for it.
func (n *runner) run(ctx context.Context, a *attempt, t task, p *progress, deadline time.Time) error {
	if !n.registry.start(a, n.clock.Now()) {
		return notRun(gooseberrypass.ReasonCut, "refused while it was queued")
	}
	if err := runCheck(t.check); err != nil {
		return err
	}
	if !n.clock.Now().Before(deadline) {
		return notRun(gooseberrypass.ReasonDeadline, "deadline passed before the start")
	}
	return t.run(ctx, p)
}

func (n *runner) count(err error) error {
	if err == nil {
		n.metrics.attempts.WithLabelValues(gooseberrypass.OutcomeAnswered.String(), "").Inc()
		return nil
	}
	e := asRequestError(err)
	n.metrics.attempts.WithLabelValues(e.Outcome.String(), string(e.Reason)).Inc()
	return e
}

func repeated(before phase) error {
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
