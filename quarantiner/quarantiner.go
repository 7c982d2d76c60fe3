// Package quarantiner keeps requests that crash endpoints from being run again
// and again.
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

// convictingCrashes is how many crashes a request must have been seen in, one
// of them alone, to be refused.
const convictingCrashes = 2

// A snapshot is what traffic goroutines read: immutable.
type snapshot struct {
	refused  map[gooseberrypass.Digest]time.Time // until when
	suspects map[gooseberrypass.Digest]bool
}

// A Quarantiner is the filter that refuses requests which crashed endpoints,
// and the controller that scores them. A request seen in one crash is a
// suspect: it runs alone on its endpoint, so that nothing else is lost with it
// and a second crash tells for sure. It is cleared when it finishes.
type Quarantiner struct {
	clock    gooseberrypass.Clock
	config   gooseberrypass.ConfigSource
	logger   logrus.FieldLogger
	metrics  *metrics
	post     func(gooseberrypass.Event)
	scores   *scores
	snapshot atomic.Pointer[snapshot]
	turns    *turns
}

// New returns a quarantiner. post hands events to the control loop that runs
// it.
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
	q := &Quarantiner{clock: clock, config: config, logger: logger, metrics: m, post: post, scores: newScores(), turns: newTurns(clock)}
	q.snapshot.Store(&snapshot{})
	return q, nil
}

// A finished is the event that a suspect ran to its end.
type finished struct{ digest gooseberrypass.Digest }

// EventName implements gooseberrypass.Event.
func (finished) EventName() string { return "suspect-finished" }

// A broken is the event that an attempt broke off.
type broken struct{ cut cut }

// EventName implements gooseberrypass.Event.
func (broken) EventName() string { return "attempt-broken" }

// MustRunAlone reports whether a request must run alone on its endpoint.
func (q *Quarantiner) MustRunAlone(digest gooseberrypass.Digest) bool {
	return q.snapshot.Load().suspects[digest]
}

// ReportAbort tells that an attempt broke off at an endpoint that may have crashed.
func (q *Quarantiner) ReportAbort(digest gooseberrypass.Digest, at gooseberrypass.ID) {
	q.turns.hold(digest)
	q.post(broken{cut: cut{at: at, digest: digest}})
}

// Finished tells that a request ran to its end.
func (q *Quarantiner) Finished(digest gooseberrypass.Digest) {
	q.turns.unhold(digest)
	if q.MustRunAlone(digest) {
		q.post(finished{digest: digest})
	}
}

// Wrap implements gooseberrypass.Filter.
func (q *Quarantiner) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		for {
			if err := q.refusal(req.Digest()); err != nil {
				return err
			}
			wait := q.turns.held(req.Digest())
			if wait == nil && !q.MustRunAlone(req.Digest()) {
				return next.Handle(ctx, req, answer)
			}
			if wait == nil {
				var done func()
				if done, wait = q.turns.enter(req.Digest()); done != nil {
					defer done()
					return next.Handle(ctx, req, answer)
				}
			}
			if err := await(ctx, wait); err != nil {
				return err
			}
		}
	})
}

// refusal returns the failure of a request in quarantine, nil for any other.
func (q *Quarantiner) refusal(digest gooseberrypass.Digest) error {
	until, ok := q.snapshot.Load().refused[digest]
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

// await waits for the copy of a suspect that has its turn.
func await(ctx context.Context, wait <-chan struct{}) error {
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
	case broken:
		q.scores.suspectCut(now, e.cut)
	case finished:
		changed = q.scores.clear(e.digest)
	case gooseberrypass.Tick:
		changed = q.scores.expire(now)
	default:
		return nil
	}
	for _, digest := range q.scores.convict(now, q.quarantine()) {
		changed = true
		q.metrics.quarantined.Inc()
		q.logger.WithField("request", digest.Short()).Warn("request crashed endpoints, refusing it for a time")
	}
	if changed {
		q.publish()
	}
	return nil
}

func (q *Quarantiner) observe(now time.Time, members []gooseberrypass.Member) bool {
	changed := q.scores.judgeCuts(now, members)
	for _, m := range members {
		if m.Status == nil {
			continue
		}
		for _, report := range m.Status.Crashes {
			changed = q.scores.note(now, m.Listed.ID, report) || changed
		}
	}
	return changed
}

func (q *Quarantiner) quarantine() time.Duration {
	cfg := q.config.Config()
	if cfg == nil {
		return 0
	}
	return cfg.System().Quarantine()
}

func (q *Quarantiner) publish() {
	s := &snapshot{refused: maps.Clone(q.scores.refused), suspects: map[gooseberrypass.Digest]bool{}}
	for _, c := range q.scores.crashes {
		maps.Copy(s.suspects, c.requests)
	}
	q.snapshot.Store(s)
	q.metrics.crashes.Set(float64(len(q.scores.crashes)))
	q.metrics.suspects.Set(float64(len(s.suspects)))
}

var (
	_ gooseberrypass.Controller = (*Quarantiner)(nil)
	_ gooseberrypass.Filter     = (*Quarantiner)(nil)
)
