// Package quarantiner refuses requests that repeatedly crash endpoints.
package quarantiner

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// quarantineCrashes is the number of crashes that a request must be suspected of
// to be quarantined. At one of them it must have been the only request in flight.
const quarantineCrashes = 2

// A snapshot is the immutable state that request goroutines read.
type snapshot struct {
	refusedUntil map[gooseberrypass.Digest]time.Time // ends of quarantines
	suspects     map[gooseberrypass.Digest]bool
}

// A Quarantiner is the filter that refuses quarantined requests, and the
// controller that decides on them. A request that was in flight at a crash is a
// suspect: it runs alone on its endpoint, so that a second crash interrupts no
// other request and identifies the cause. A suspect is cleared when it finishes.
type Quarantiner struct {
	clock      gooseberrypass.Clock
	config     gooseberrypass.ConfigSource
	evidence   *evidence
	logger     logrus.FieldLogger
	metrics    *metrics
	post       func(gooseberrypass.Event)
	serializer *serializer
	snapshot   atomic.Pointer[snapshot]
}

// New returns a quarantiner. post sends events to the control loop that runs it.
func New(
	clock gooseberrypass.Clock,
	config gooseberrypass.ConfigSource,
	post func(gooseberrypass.Event),
	registerer prometheus.Registerer,
	logger logrus.FieldLogger,
) (*Quarantiner, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	q := &Quarantiner{clock: clock, config: config, logger: logger, metrics: m, post: post, evidence: newEvidence(), serializer: newSerializer(clock)}
	q.snapshot.Store(&snapshot{})
	return q, nil
}

// suspectFinished is the event that a suspect finished.
type suspectFinished struct{ digest gooseberrypass.Digest }

// EventName implements gooseberrypass.Event.
func (suspectFinished) EventName() string { return "suspect-finished" }

// attemptInterrupted is the event that an attempt was interrupted.
type attemptInterrupted struct{ interruption interruption }

// EventName implements gooseberrypass.Event.
func (attemptInterrupted) EventName() string { return "attempt-broken" }

// MustRunAlone reports whether a request is a suspect and must run alone on its
// endpoint.
func (q *Quarantiner) MustRunAlone(digest gooseberrypass.Digest) bool {
	return q.snapshot.Load().suspects[digest]
}

// ReportInterruption records that an attempt was interrupted at an endpoint that may have
// crashed.
func (q *Quarantiner) ReportInterruption(digest gooseberrypass.Digest, at gooseberrypass.ID) {
	q.serializer.markInterrupted(digest)
	q.post(attemptInterrupted{interruption: interruption{endpoint: at, digest: digest}})
}

// RequestFinished records that a request finished.
func (q *Quarantiner) RequestFinished(digest gooseberrypass.Digest) {
	q.serializer.clearInterrupted(digest)
	if q.MustRunAlone(digest) {
		q.post(suspectFinished{digest: digest})
	}
}

// Wrap implements gooseberrypass.Filter.
func (q *Quarantiner) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		for {
			if err := q.refusal(req.Digest()); err != nil {
				return err
			}
			wait := q.serializer.waitInterrupted(req.Digest())
			if wait == nil && !q.MustRunAlone(req.Digest()) {
				return next.Handle(ctx, req, answer)
			}
			if wait == nil {
				var done func()
				if done, wait = q.serializer.acquire(req.Digest()); done != nil {
					defer done()
					return next.Handle(ctx, req, answer)
				}
			}
			if err := waitForSlot(ctx, wait); err != nil {
				return err
			}
		}
	})
}

// refusal returns the error for a quarantined request, nil for any other.
func (q *Quarantiner) refusal(digest gooseberrypass.Digest) error {
	until, ok := q.snapshot.Load().refusedUntil[digest]
	now := q.clock.Now()
	if !ok || !now.Before(until) {
		return nil
	}
	q.metrics.refused.Inc()
	return &gooseberrypass.RequestError{
		Detail:     "the request crashed endpoints and is refused for a time",
		Outcome:    gooseberrypass.OutcomeNotRun,
		Reason:     gooseberrypass.ReasonPoison,
		RetryAfter: until.Sub(now),
	}
}

// waitForSlot waits until wait is closed or the context ends.
func waitForSlot(ctx context.Context, wait <-chan struct{}) error {
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
		return &gooseberrypass.RequestError{
			Detail:  "the same request is under suspicion and runs one at a time",
			Outcome: gooseberrypass.OutcomeNotRun,
			Reason:  gooseberrypass.ReasonDeadline,
		}
	}
}

// Handle implements gooseberrypass.Controller.
func (q *Quarantiner) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	changed := false
	switch e := event.(type) {
	case gooseberrypass.MembersChanged:
		changed = q.observe(now, e.Members)
	case attemptInterrupted:
		q.evidence.addInterruption(now, e.interruption)
	case suspectFinished:
		changed = q.evidence.clearRequest(e.digest)
	case gooseberrypass.Tick:
		changed = q.evidence.expire(now)
	default:
		return nil
	}
	for _, digest := range q.evidence.quarantine(now, q.quarantineTime()) {
		changed = true
		q.metrics.quarantined.Inc()
		q.logger.WithField("request", digest.Short()).Warn("request crashed endpoints, quarantining it")
	}
	if changed {
		q.publish()
	}
	return nil
}

// observe takes in the members and the crashes that their agents report. It
// reports whether the suspects changed.
func (q *Quarantiner) observe(now time.Time, members []gooseberrypass.Member) bool {
	changed := q.evidence.inferCrashes(now, members)
	for _, m := range members {
		if m.Status == nil {
			continue
		}
		for _, report := range m.Status.Crashes {
			changed = q.evidence.addReport(now, m.Listed.ID, report) || changed
		}
	}
	return changed
}

// quarantineTime returns the configured time of a quarantine.
func (q *Quarantiner) quarantineTime() time.Duration {
	cfg := q.config.Config()
	if cfg == nil {
		return 0
	}
	return cfg.System().Quarantine()
}

// publish makes the suspects and quarantined requests visible to Wrap and updates
// the metrics.
func (q *Quarantiner) publish() {
	s := &snapshot{refusedUntil: maps.Clone(q.evidence.refusedUntil), suspects: map[gooseberrypass.Digest]bool{}}
	for _, c := range q.evidence.crashes {
		maps.Copy(s.suspects, c.suspects)
	}
	q.snapshot.Store(s)
	q.metrics.crashes.Set(float64(len(q.evidence.crashes)))
	q.metrics.suspects.Set(float64(len(s.suspects)))
}

var (
	_ gooseberrypass.Controller = (*Quarantiner)(nil)
	_ gooseberrypass.Filter     = (*Quarantiner)(nil)
)
