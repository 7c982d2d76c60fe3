// Package forwarder handles proxy requests: it finds the route and the client
// account of a request, sends the request to an endpoint, and repeats or resumes it
// where the route allows that.
package forwarder

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// Settings configure a Forwarder.
type Settings struct {
	DeadlineGrace      time.Duration // time after the deadline for which an answer in progress may continue
	EventTimeoutFactor float64       // timeout of the next event of a resumable stream, as a multiple of the route's EventGap
	HeadTimeoutFactor  float64       // timeout of a repeatable attempt's head, as a multiple of the objective
	LossPoll           time.Duration // interval of checks whether the endpoint of an attempt is lost; 0 for none
	MaxBufferedAnswer  int64         // bytes of an answer that are buffered before delivery
	MoveWaitFactor     float64       // longest pause of a stream that moves, as a multiple of the route's EventGap
	MoveShare          float64       // share of the retry budget that moves of streams may use
	QuarantineCrashes  int           // connections broken by a request after which it is quarantined
	QuarantineTime     time.Duration // duration of the quarantine
	QueuePoll          time.Duration // interval between attempts to find an endpoint with capacity
	QueueWaitShare     float64       // share of the objective for which a request waits for an endpoint with capacity
	ResumePoll         time.Duration // interval between attempts to find an endpoint for a request that may have run
	ResumeWait         time.Duration // time after arrival, or after the last event delivered, for which such a request waits for an endpoint with capacity
	RetryAfter         time.Duration // Retry-After of requests refused because of load
	RetryEntryFactor   float64       // entries that share RetrySlack, as a multiple of the known ones
	RetryRatio         float64       // repeats per request that a service may have in the window
	RetrySlack         float64       // repeats of a service in the window beyond RetryRatio, for all entries together
	RetryWindow        time.Duration
	StartingRetryAfter time.Duration // Retry-After before the first configuration
}

// A Chooser chooses endpoints and knows the number of entries.
type Chooser interface {
	Choose(q balancer.Query) (*balancer.Ticket, error)
	Entries() int
}

// A Scheduler lets requests wait for capacity in the order of their urgency.
type Scheduler interface {
	Choose(ctx context.Context, r *scheduler.Request) (*balancer.Ticket, error)
	RetryAfter(r *scheduler.Request, timeLeft time.Duration) time.Duration
	Schedules(d *gooseberrypass.Deployment, service gooseberrypass.ID) bool
}

// Deployments returns the deployment in force, nil before the first one.
type Deployments interface {
	Deployment() *gooseberrypass.Deployment
}

// A Forwarder handles proxy requests. It is safe for concurrent use.
type Forwarder struct {
	budget      *budget
	chooser     Chooser
	clock       gooseberrypass.Clock
	deployments Deployments
	logger      logrus.FieldLogger
	metrics     *metrics
	scheduler   Scheduler // nil if no service is scheduled
	settings    Settings
	tracker     RequestTracker
	transport   gooseberrypass.Transport
}

// New returns a forwarder. Without a scheduler no service is scheduled.
func New(
	clock gooseberrypass.Clock,
	deployments Deployments,
	chooser Chooser,
	scheduler Scheduler,
	transport gooseberrypass.Transport,
	tracker RequestTracker,
	settings Settings,
	registerer prometheus.Registerer,
	logger logrus.FieldLogger,
) (*Forwarder, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	return &Forwarder{
		budget:      newBudget(settings),
		chooser:     chooser,
		clock:       clock,
		transport:   transport,
		deployments: deployments,
		logger:      logger,
		metrics:     m,
		scheduler:   scheduler,
		settings:    settings,
		tracker:     tracker,
	}, nil
}

// HandleProxyRequest implements gooseberrypass.ProxyHandler.
func (f *Forwarder) HandleProxyRequest(ctx context.Context, p *gooseberrypass.ProxyRequest, w gooseberrypass.Responder) {
	r := &request{accountPriority: -1, arrivedAt: f.clock.Now(), ctx: ctx, firstSent: map[gooseberrypass.ID]time.Time{}, forwarder: f, proxyRequest: p, lastEvent: p.LastEvent, w: w}
	err := r.prepare()
	if err == nil {
		err = r.serve()
	}
	r.finish(ctx, err)
}

// prepare determines everything about a request that does not depend on
// endpoints.
func (r *request) prepare() error {
	f := r.forwarder
	d := f.deployments.Deployment()
	if d == nil {
		return notRun(gooseberrypass.ReasonNoEndpoint, "no configuration yet", f.settings.StartingRetryAfter)
	}
	route, ok := d.Match(r.proxyRequest.Host, r.proxyRequest.Path)
	if !ok {
		return notRun(gooseberrypass.ReasonUnknownTarget, "no route", 0)
	}
	r.route, r.configVersion = route, d.Version()
	r.priority = route.Priority
	r.regions = r.regions.Intersect(route.Regions)
	if !route.Public && d.RequiresAccount() {
		account, ok := d.Account(r.proxyRequest.AccountKey)
		if !ok {
			return notRun(gooseberrypass.ReasonUnknownClient, "unknown key", 0)
		}
		r.account = account.ID
		r.regions = r.regions.Intersect(account.Regions)
		r.accountPriority = account.Priority
		if account.Priority >= 0 {
			r.priority = account.Priority
		}
	}
	if r.proxyRequest.ID == "" {
		return notRun(gooseberrypass.ReasonBadRequest, "the request has no id", 0)
	}
	if !r.setDeadline() {
		return notRun(gooseberrypass.ReasonDeadline, "no time left", 0)
	}
	if !r.deadline.IsZero() {
		r.w.LimitWrites(r.deadline.Sub(r.arrivedAt))
	}
	r.service = pickTarget(route.Targets, r.proxyRequest.ID)
	spec, _ := d.Service(r.service)
	r.maxConns = spec.MaxConns
	if spec.Engine != nil {
		r.model = spec.Engine.Model
	}
	r.setRank(d)
	r.digest, r.repeatDigest = r.proxyRequest.Digest(), r.proxyRequest.RepeatDigest()
	r.refusedBefore = f.tracker.refusedRecently(r.repeatDigest)
	if r.model != "" {
		r.prompt = f.tracker.Register(r.service, r.digest, r.proxyRequest.SharedParts)
	}
	if f.tracker.isQuarantined(r.digest) {
		return notRun(gooseberrypass.ReasonPoison, "the request broke endpoints before", 0)
	}
	if refusal := r.quarantined(); refusal != nil {
		return refusal
	}
	return nil
}

// quarantined returns the error of a request with a quarantined part, nil if it has none.
func (r *request) quarantined() *gooseberrypass.RequestError {
	tracker := r.forwarder.tracker
	part, left := tracker.Quarantine(r.prompt)
	if left <= 0 {
		return nil
	}
	tracker.CountRefusal()
	detail := "endpoints crashed under the part " + part + " of the prompt"
	if r.mayRun {
		return unknown(gooseberrypass.ReasonPoison, detail)
	}
	return notRun(gooseberrypass.ReasonPoison, detail, left)
}

// setDeadline sets the earlier of the caller's deadline and the route's timeout.
// It reports whether any time is left.
func (r *request) setDeadline() bool {
	r.deadline = r.proxyRequest.Deadline
	if r.route.Timeout > 0 {
		limit := r.arrivedAt.Add(r.route.Timeout)
		if r.deadline.IsZero() || limit.Before(r.deadline) {
			r.deadline = limit
		}
	}
	return r.deadline.IsZero() || r.deadline.After(r.arrivedAt)
}

// pickTarget chooses a service by weight. Equal ids give the same service.
func pickTarget(targets []gooseberrypass.RouteTarget, id string) gooseberrypass.ID {
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	n := int(h.Sum32() % uint32(total))
	for _, t := range targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

// notRun returns the error of a request that certainly did not run.
func notRun(reason gooseberrypass.Reason, detail string, retryAfter time.Duration) *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{Detail: detail, Outcome: gooseberrypass.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// unknown returns the error of a request that may have run.
func unknown(reason gooseberrypass.Reason, detail string) *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{Detail: detail, Outcome: gooseberrypass.OutcomeUnknown, Reason: reason}
}

// finish delivers a failure, if any, and logs the request.
func (r *request) finish(ctx context.Context, err error) {
	f := r.forwarder
	took := f.clock.Since(r.arrivedAt)
	outcome := "answered"
	var failure *gooseberrypass.RequestError
	if errors.As(err, &failure) {
		outcome = string(failure.Reason)
	} else if err != nil {
		outcome = "cut"
	}
	f.metrics.observe(r, outcome, took)
	entry := f.logger.WithFields(logrus.Fields{
		fieldRequest: r.proxyRequest.ID, labelOutcome: outcome, "ms": took.Milliseconds(), "tries": r.attempts, "config": r.configVersion,
		fieldEndpoint: r.lastEndpoint, labelService: r.service, "status": r.status, "first_ms": r.headTime.Milliseconds(), "at_endpoint": r.inFlight, "returned": r.refusedBefore,
	})
	if r.route != nil {
		entry = entry.WithField("route", r.route.Name)
	}
	switch {
	case err == nil && r.late():
		entry.WithField("objective_ms", r.route.Objective.Milliseconds()).Info("request answered late")
		return
	case err == nil:
		entry.Debug("request answered")
		return
	case errors.Is(context.Cause(ctx), context.Canceled):
		entry.WithError(err).Info("caller disconnected")
	default:
		entry.WithError(err).Info("request failed")
	}
	if r.started || ctx.Err() != nil {
		r.w.Abort()
	}
	r.w.Refuse(failure)
}

// late reports whether the head of the answer missed the route's objective.
func (r *request) late() bool { return r.route.Objective > 0 && r.headTime > r.route.Objective }

var _ gooseberrypass.ProxyHandler = (*Forwarder)(nil)
