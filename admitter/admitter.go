package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// An Admitter lets jobs wait until its Queue starts or refuses them. It is safe
// for concurrent use.
type Admitter struct {
	clock   gooseberrypass.Clock
	mu      sync.Mutex
	queue   *Queue
	refused *prometheus.CounterVec
	started prometheus.Counter
	waited  prometheus.Histogram
	waiters map[string]chan Decision
}

// New returns an admitter that owns queue.
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

// Admit waits until job may run. A refusal is a *gooseberrypass.RequestError
// with OutcomeNotRun. When ctx is done first the job is taken out of the queue
// and is refused likewise. The caller must end the Permit.
func (a *Admitter) Admit(ctx context.Context, job Job) (*Permit, error) {
	offered := a.clock.Now()
	decided := make(chan Decision, 1)
	a.offer(offered, job, decided)
	select {
	case d := <-decided:
		return a.permit(job, offered, d)
	case <-ctx.Done():
	}
	if a.cancel(job.ID) {
		return a.permit(job, offered, refusal(job.ID, cancelReason(ctx), 0))
	}
	return a.permit(job, offered, <-decided)
}

// Close refuses all queued jobs and all that come until Reopen, for reason.
func (a *Admitter) Close(reason gooseberrypass.Reason) {
	a.apply(func(q *Queue) []Decision { return q.Close(reason) })
}

// Expire refuses the queued jobs that can no longer end in time.
func (a *Admitter) Expire(now time.Time) {
	a.apply(func(q *Queue) []Decision { return q.Expire(now) })
}

// Load returns the load of the endpoint as the queue sees it.
func (a *Admitter) Load() gooseberrypass.EngineLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	return gooseberrypass.EngineLoad{
		Capacity: a.queue.Capacity(),
		Queued:   a.queue.Queued(),
		Running:  a.queue.Running(),
	}
}

// RefuseQueued refuses all queued jobs for reason.
func (a *Admitter) RefuseQueued(reason gooseberrypass.Reason) {
	a.apply(func(q *Queue) []Decision { return q.RefuseQueued(reason) })
}

// Reopen ends a Close.
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

func (a *Admitter) apply(change func(*Queue) []Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(change(a.queue))
}

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

func (a *Admitter) deliver(decisions []Decision) {
	for _, d := range decisions {
		if w, ok := a.waiters[d.ID]; ok {
			delete(a.waiters, d.ID)
			w <- d
		}
	}
}

func (a *Admitter) offer(now time.Time, job Job, decided chan Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.known(job.ID) {
		decided <- refusal(job.ID, gooseberrypass.ReasonBadRequest, 0)
		return
	}
	a.waiters[job.ID] = decided
	a.deliver(a.queue.Offer(now, job))
}

func (a *Admitter) permit(job Job, offered time.Time, d Decision) (*Permit, error) {
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
	wait := a.clock.Since(offered)
	a.waited.Observe(wait.Seconds())
	return &Permit{admitter: a, id: job.ID, waited: wait}, nil
}

// cancelReason tells a deadline from a caller that hung up.
func cancelReason(ctx context.Context) gooseberrypass.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return gooseberrypass.ReasonDeadline
	}
	return gooseberrypass.ReasonCut
}

// A Permit is the right of one job to run.
type Permit struct {
	admitter *Admitter
	id       string
	once     sync.Once
	waited   time.Duration
}

// End gives the permit back. cost is the work done; whole tells whether the job
// ran to its end. Only the first call counts.
func (p *Permit) End(cost int64, whole bool) {
	p.once.Do(func() {
		a := p.admitter
		a.apply(func(q *Queue) []Decision { return q.Finish(a.clock.Now(), p.id, cost, whole) })
	})
}

// Waited returns how long the job was queued.
func (p *Permit) Waited() time.Duration { return p.waited }
