// Package drainer takes an entry through a planned stop: it refuses requests that cannot
// be expected to end before the process does, and answers those that have not ended.
package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// errGraceOver is the cause with which requests in progress are canceled.
var errGraceOver = errors.New("the grace period is over")

// retryAfter is the Retry-After of refused requests. Other entries are in rotation.
const retryAfter = 10 * time.Millisecond

// Deployments returns the deployment in force, nil before the first one.
type Deployments interface {
	Deployment() *gooseberrypass.Deployment
}

// A Drainer is a ProxyHandler in front of another one. Before a stop it passes on all
// requests and measures how long they take. It is safe for concurrent use.
type Drainer struct {
	clock       gooseberrypass.Clock
	deployments Deployments
	durations   *durations
	expire      context.CancelCauseFunc
	expired     context.Context //nolint:containedctx // lives as long as the process
	logger      logrus.FieldLogger
	mu          sync.Mutex
	next        gooseberrypass.ProxyHandler
	requests    *prometheus.CounterVec
	schedule    Schedule
	stopAt      time.Time // begin of the stop, zero before
}

// New returns a drainer of requests to next.
func New(
	clock gooseberrypass.Clock,
	deployments Deployments,
	next gooseberrypass.ProxyHandler,
	schedule Schedule,
	registerer prometheus.Registerer,
	logger logrus.FieldLogger,
) (*Drainer, error) {
	d := &Drainer{
		clock:       clock,
		deployments: deployments,
		durations:   newDurations(),
		logger:      logger,
		next:        next,
		schedule:    schedule,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_drain_requests_total",
			Help: "Requests that a planned stop ended, by result.",
		}, []string{"result"}),
	}
	d.expired, d.expire = context.WithCancelCause(context.Background())
	return d, errors.Wrap(registerer.Register(d.requests), "register drain metrics")
}

// Begin begins the stop. Later calls change nothing.
func (d *Drainer) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopAt.IsZero() {
		return
	}
	d.stopAt = d.clock.Now()
	d.clock.AfterFunc(d.schedule.Final, func() { d.expire(errGraceOver) })
}

// Draining reports whether the stop has begun.
func (d *Drainer) Draining() bool {
	_, draining := d.deadline()
	return draining
}

// Expired returns a context that is done when requests that are not answered get a final
// answer.
func (d *Drainer) Expired() context.Context { return d.expired }

// Schedule returns the schedule of the stop.
func (d *Drainer) Schedule() Schedule { return d.schedule }

// deadline returns when requests must be answered, false before the stop.
func (d *Drainer) deadline() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopAt.Add(d.schedule.Deadline), !d.stopAt.IsZero()
}

// HandleProxyRequest implements gooseberrypass.ProxyHandler.
func (d *Drainer) HandleProxyRequest(ctx context.Context, p *gooseberrypass.ProxyRequest, w gooseberrypass.Responder) {
	arrived := d.clock.Now()
	route := d.route(p)
	if deadline, draining := d.deadline(); draining {
		if d.expired.Err() != nil || route != nil && !d.endsBy(deadline, arrived, route, p) {
			d.record("refused", p)
			w.Refuse(&gooseberrypass.RequestError{
				Detail: "the entry stops before the answer is expected to end", Outcome: gooseberrypass.OutcomeNotRun,
				Reason: gooseberrypass.ReasonLeaving, RetryAfter: retryAfter,
			})
			return
		}
		p = withDeadline(p, deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(d.expired, func() { cancel(errGraceOver) })() //nolint:contextcheck // that of the process
	a := &answer{Responder: w, expired: d.expired}
	if d.handle(ctx, p, a); a.unanswered {
		d.record("unanswered", p)
		w.Refuse(&gooseberrypass.RequestError{Detail: errGraceOver.Error(), Reason: gooseberrypass.ReasonLeaving})
		return
	}
	if route != nil && !a.notRun {
		d.durations.record(route.Name, d.clock.Since(arrived))
	}
}

// handle passes on a request and recovers from the end of the grace period.
func (d *Drainer) handle(ctx context.Context, p *gooseberrypass.ProxyRequest, a *answer) {
	defer func() {
		if a.cut {
			d.record("cut", p)
		}
		if !a.unanswered {
			return
		}
		if cause := recover(); cause != nil && cause != any(errGraceOver) {
			panic(cause)
		}
	}()
	d.next.HandleProxyRequest(ctx, p, a)
}

// route returns the route of a request, nil if it has none.
func (d *Drainer) route(p *gooseberrypass.ProxyRequest) *gooseberrypass.Route {
	deployment := d.deployments.Deployment()
	if deployment == nil {
		return nil
	}
	route, _ := deployment.Match(p.Host, p.Path)
	return route
}

// endsBy reports whether a request can be expected to end by a deadline: its own time
// limit is before that, or usual requests of its route take less time.
func (d *Drainer) endsBy(deadline, now time.Time, route *gooseberrypass.Route, p *gooseberrypass.ProxyRequest) bool {
	if !p.Deadline.IsZero() && !p.Deadline.After(deadline) {
		return true
	}
	if route.Timeout > 0 && !now.Add(route.Timeout).After(deadline) {
		return true
	}
	usual, ok := d.durations.upper(route.Name)
	return ok && !now.Add(usual).After(deadline)
}

// record counts and logs a request that the stop ends.
func (d *Drainer) record(result string, p *gooseberrypass.ProxyRequest) {
	d.requests.WithLabelValues(result).Inc()
	d.logger.WithField("request", p.ID).WithField("result", result).Info("request ended by the planned stop")
}

// withDeadline returns a request with a deadline no later than the given one.
func withDeadline(p *gooseberrypass.ProxyRequest, deadline time.Time) *gooseberrypass.ProxyRequest {
	if !p.Deadline.IsZero() && p.Deadline.Before(deadline) {
		return p
	}
	c := *p
	c.Deadline = deadline
	return &c
}

var _ gooseberrypass.ProxyHandler = (*Drainer)(nil)
