package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// An Admitter blocks callers until its Queue starts or refuses their jobs. It
// is safe for concurrent use.
type Admitter struct {
	clock   gooseberrypass.Clock
	mu      sync.Mutex
	queue   *Queue
	refused *prometheus.CounterVec
	started prometheus.Counter
	waited  prometheus.Histogram
	waiters map[string]chan Decision // callers blocked in Admit, by job ID
}

// New returns an admitter that takes ownership of queue and registers its
// metrics with registerer.
func New(clock gooseberrypass.Clock, registerer prometheus.Registerer, queue *Queue) (*Admitter, error) {
	a := &Admitter{
		clock: clock,
		queue: queue,
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_admission_refused_total",
			Help: "Attempts refused before they ran, by reason.",
		}, []string{"reason"}),
		started: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_admission_started_total",
			Help: "Attempts admitted to the endpoint.",
		}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "gooseberrypass_admission_wait_seconds",
			Help:    "Time that admitted attempts were queued.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 9),
		}),
		waiters: map[string]chan Decision{},
	}
	queued := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberrypass_admission_queued",
		Help: "Attempts queued now.",
	}, func() float64 { return float64(a.Load().Queued) })
	running := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberrypass_admission_running",
		Help: "Attempts running now.",
	}, func() float64 { return float64(a.Load().Running) })
	for _, c := range []prometheus.Collector{a.refused, a.started, a.waited, queued, running} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// Admit blocks until job may run. A refusal is returned as a
// *gooseberrypass.RequestError with OutcomeNotRun. If ctx is done first, the job
// is removed from the queue and refused in the same way. The caller must call
// Release on the returned Permit.
func (a *Admitter) Admit(ctx context.Context, job Job) (*Permit, error) {
	offeredAt := a.clock.Now()
	decided := make(chan Decision, 1)
	a.offer(offeredAt, job, decided)
	select {
	case d := <-decided:
		return a.permit(job, offeredAt, d)
	case <-ctx.Done():
	}
	if a.cancel(job.ID) {
		return a.permit(job, offeredAt, refusal(job.ID, cancelReason(ctx), 0))
	}
	return a.permit(job, offeredAt, <-decided)
}

// Close refuses, with reason, all queued jobs and all jobs offered until Reopen
// is called. Running jobs continue.
func (a *Admitter) Close(reason gooseberrypass.Reason) {
	a.apply(func(q *Queue) []Decision { return q.Close(reason) })
}

// Expire refuses the queued jobs that can no longer finish before their
// deadline.
func (a *Admitter) Expire(now time.Time) {
	a.apply(func(q *Queue) []Decision { return q.Expire(now) })
}

// Load returns the capacity of the queue and its numbers of queued and running
// jobs.
func (a *Admitter) Load() gooseberrypass.EngineLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	return gooseberrypass.EngineLoad{
		Capacity: a.queue.Capacity(),
		Queued:   a.queue.Queued(),
		Running:  a.queue.Running(),
	}
}

// RefuseQueued refuses all queued jobs with reason. New jobs are still accepted.
func (a *Admitter) RefuseQueued(reason gooseberrypass.Reason) {
	a.apply(func(q *Queue) []Decision { return q.RefuseQueued(reason) })
}

// Reopen accepts jobs again after Close.
func (a *Admitter) Reopen() {
	a.apply(func(q *Queue) []Decision {
		q.Reopen()
		return nil
	})
}

// SetCapacity sets how many jobs may run at once.
func (a *Admitter) SetCapacity(now time.Time, capacity int) {
	a.apply(func(q *Queue) []Decision { return q.SetCapacity(now, capacity) })
}

// SetLimit sets how many jobs may be queued.
func (a *Admitter) SetLimit(limit int) {
	a.apply(func(q *Queue) []Decision {
		q.SetLimit(limit)
		return nil
	})
}

// apply changes the queue under the lock and delivers the resulting decisions.
func (a *Admitter) apply(change func(*Queue) []Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(change(a.queue))
}

// cancel removes a job from the queue. It returns false if the queue has
// already decided on the job.
func (a *Admitter) cancel(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	decisions, ok := a.queue.Cancel(a.clock.Now(), id)
	if ok {
		delete(a.waiters, id)
	}
	a.deliver(decisions)
	return ok
}

// deliver sends each decision to the caller that waits for it. The channels are
// buffered, so it does not block.
func (a *Admitter) deliver(decisions []Decision) {
	for _, d := range decisions {
		if w, ok := a.waiters[d.ID]; ok {
			delete(a.waiters, d.ID)
			w <- d
		}
	}
}

// offer adds job to the queue. A duplicate ID is refused here, because
// registering it would replace the channel of the job already known.
func (a *Admitter) offer(now time.Time, job Job, decided chan Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.has(job.ID) {
		decided <- refusal(job.ID, gooseberrypass.ReasonBadRequest, 0)
		return
	}
	a.waiters[job.ID] = decided
	a.deliver(a.queue.Offer(now, job))
}

// permit records a decision in the metrics and converts it to the result of
// Admit.
func (a *Admitter) permit(job Job, offeredAt time.Time, d Decision) (*Permit, error) {
	if d.Verdict == VerdictRefuse {
		a.refused.WithLabelValues(string(d.Reason)).Inc()
		return nil, &gooseberrypass.RequestError{
			Outcome:    gooseberrypass.OutcomeNotRun,
			Reason:     d.Reason,
			Detail:     "refused by the admission queue",
			RetryAfter: d.RetryAfter,
		}
	}
	a.started.Inc()
	wait := a.clock.Since(offeredAt)
	a.waited.Observe(wait.Seconds())
	return &Permit{admitter: a, id: job.ID, waited: wait}, nil
}

// cancelReason returns whether ctx ended at its deadline or because the caller
// disconnected.
func cancelReason(ctx context.Context) gooseberrypass.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return gooseberrypass.ReasonDeadline
	}
	return gooseberrypass.ReasonCut
}

// A Permit allows one job to run and holds its place until Release is called.
type Permit struct {
	admitter *Admitter
	id       string
	once     sync.Once
	waited   time.Duration
}

// Release releases the permit. cost is the work actually done, in the unit of
// Job.Cost, and completed reports whether the job ran to completion. Calls after
// the first have no effect.
func (p *Permit) Release(cost int64, completed bool) {
	p.once.Do(func() {
		a := p.admitter
		a.apply(func(q *Queue) []Decision { return q.Finish(a.clock.Now(), p.id, cost, completed) })
	})
}

// Waited returns how long the job waited in the queue.
func (p *Permit) Waited() time.Duration { return p.waited }
