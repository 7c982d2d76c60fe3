package forwarder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// errInterrupted is the error of an answer that broke off after part of it was
// delivered.
var errInterrupted = errors.New("answer broke off after part of it was delivered")

const (
	copyBufferBytes = 32 << 10  // buffer for the rest of an answer longer than MaxBufferedAnswer
	defaultTimeLeft = time.Hour // time left if neither the caller nor the route sets a limit
)

// A request is the state of one proxy request while it is handled. The goroutine that handles
// it holds mu while it changes what a handover reads, or waits in await.
type request struct {
	account         gooseberrypass.ID
	accountPriority int // -1 for none
	arrivedAt       time.Time
	attempts        int   // attempts made
	beginCrashes    int   // attempts whose answer broke off at its begin
	configVersion   int64 // version of the deployment
	ctx             context.Context
	deadline        time.Time
	deliveredAt     time.Time // last event delivered, zero for none
	digest          gooseberrypass.Digest
	fallback        *heldResponse
	firstSent       map[gooseberrypass.ID]time.Time // first attempt at each endpoint
	forwarder       *Forwarder
	headTime        time.Duration     // time from arrival to the head of the answer
	inFlight        int               // requests at the last endpoint when it was chosen
	lastEndpoint    gooseberrypass.ID // endpoint of the last attempt
	lastEvent       int               // index of the last event delivered, -1 for none
	maxConns        int               // connections that an endpoint of the service accepts, 0 for any number
	mayRun          bool              // an attempt may have run
	model           string            // "" for a plain service
	nextMove        time.Time         // the stream is not moved before
	stays           bool              // the stream is moved no more
	priority        int
	prompt          attributor.Prompt
	proxyRequest    *gooseberrypass.ProxyRequest
	refusedBy       []gooseberrypass.ID      // endpoints that refused to run it
	regions         gooseberrypass.RegionSet // regions that may serve the request
	refusedBefore   bool                     // retry of a request that was refused because of load
	rank            int                      // 0 is the most urgent
	ranks           int                      // number of ranks of the service, 0 if it is not scheduled
	repeatDigest    gooseberrypass.Digest    // digest that includes the prompt
	route           *gooseberrypass.Route
	service         gooseberrypass.ID
	started         bool // part of the answer was delivered
	status          int
	tried           []gooseberrypass.ID // endpoints that may have run it
	unbegun         atomic.Int32        // attempts that were withdrawn without a sign of an answer
	version         int                 // version of the weights that began the answer
	w               gooseberrypass.Responder
	wholeBegun      bool // part of an answer that is no stream was delivered, which nothing can go on

	mu       sync.Mutex
	awaited  *attempt  // attempt whose data the request waits for
	handover *handover // nil if there is none
}

// A heldResponse is an endpoint's error that is delivered if no other endpoint
// gives a better answer.
type heldResponse struct {
	body  []byte
	reply *gooseberrypass.Reply
}

// A failure says how one attempt failed.
type failure struct {
	err       *gooseberrypass.RequestError
	result    balancer.Result
	takenOver bool // another attempt has begun in its place
}

// serve makes attempts until the request is answered or has failed.
func (r *request) serve() error {
	f := r.forwarder
	f.budget.recordRequest(r.arrivedAt, r.service)
	for {
		ticket, err := r.choose()
		if err != nil {
			return r.settleFailure(r.noEndpoint(err))
		}
		if !r.started {
			if refusal := r.quarantined(); refusal != nil { // quarantined while it waited
				ticket.Done(balancer.ResultInconclusive)
				return r.settleFailure(refusal)
			}
		}
		r.attempts++
		last, failed := r.deliver(r.newAttempt(r.ctx, ticket))
		if failed == nil {
			f.tracker.recordAnswered(r.digest)
			return nil
		}
		if r.ctx.Err() != nil {
			return errors.Wrap(context.Cause(r.ctx), "no longer wanted")
		}
		obstacle := r.repeatObstacle(last, failed)
		r.logFailure(last, failed, obstacle)
		if obstacle != "" {
			return r.settleFailure(r.lastFailure(failed))
		}
	}
}

// deliver delivers the answer of an attempt, or of those that take over from it. It returns
// the last one and its failure, nil after the whole answer.
func (r *request) deliver(a *attempt) (*attempt, *failure) {
	var h *handover // to a, nil if a is the first attempt
	defer func() {
		r.arrived(true)
		if next := r.takeOver(); next != nil {
			next.next.end(balancer.ResultInconclusive)
		}
		a.end(balancer.ResultInconclusive) // after a panic
	}()
	for {
		r.lastEndpoint, r.inFlight = a.ticket.Endpoint().ID, a.ticket.InFlight()
		failed := r.deliverFrom(a, h)
		if failed == nil {
			a.end(balancer.ResultAnswered)
			return a, nil
		}
		if r.ctx.Err() != nil {
			a.end(balancer.ResultInconclusive)
			return a, failed
		}
		r.mu.Lock()
		r.absorb(a, failed)
		r.mu.Unlock()
		h = r.takeOver()
		if h == nil {
			a.end(failed.result)
			return a, failed
		}
		if !failed.takenOver {
			r.logFailure(a, failed, "")
		}
		a.end(failed.result)
		a = h.next
	}
}

// deliverFrom delivers the answer of one attempt. With a handover, that has begun it.
func (r *request) deliverFrom(a *attempt, h *handover) *failure {
	r.await(a)
	var failed *failure
	if h == nil {
		failed = a.begin()
	} else {
		<-h.begun
		failed = h.failed
	}
	if r.arrived(failed == nil) {
		return takenOver(balancer.ResultTimedOut)
	}
	if failed != nil {
		return failed
	}
	if !a.streams() {
		return r.deliverWhole(a)
	}
	if next := r.nextSilence(); next.After(a.silentAt) { // the head is a sign
		a.silentAt = next
	}
	return r.deliverStream(a)
}

// absorb takes what a failed attempt has revealed into the request. The caller holds r.mu.
func (r *request) absorb(a *attempt, failed *failure) {
	id := a.ticket.Endpoint().ID
	r.mayRun = r.mayRun || a.mayHaveRun
	if failed.err.Outcome == gooseberrypass.OutcomeNotRun {
		r.refusedBy = append(r.refusedBy, id)
	} else {
		r.tried = append(r.tried, id)
	}
	if a.crashed && a.progress == progressHead {
		r.beginCrashes++
	}
	if a.fallback != nil {
		r.fallback = a.fallback
	}
}

// runs returns the number of attempts that an endpoint has begun, as far as known. Those that
// were withdrawn without a sign of an answer do not count.
func (r *request) runs() int { return r.attempts - len(r.refusedBy) - int(r.unbegun.Load()) }

// mayRunAgain reports whether the route allows a further attempt that may run.
func (r *request) mayRunAgain() bool {
	return r.route.Repeatable() && r.runs() < r.route.MaxAttempts
}

// logFailure logs a failed attempt and what prevents another one, "" for nothing.
func (r *request) logFailure(a *attempt, failed *failure, obstacle string) {
	f := r.forwarder
	f.logger.WithFields(logrus.Fields{
		fieldRequest: r.proxyRequest.ID, fieldEndpoint: a.ticket.Endpoint().ID, "try": r.attempts, "at_endpoint": a.ticket.InFlight(),
		"again": obstacle == "", "obstacle": obstacle, "begun": r.started, "entries": f.chooser.Entries(),
		"may_have_run": r.mayRun, "progress": a.progress, "expect": a.ticket.ExpectedVersion(), "ms": f.clock.Since(r.arrivedAt).Milliseconds(),
	}).WithError(failed.err).Info("attempt failed")
}

// settleFailure delivers the held error of an endpoint, if there is one, instead
// of err.
func (r *request) settleFailure(err error) error {
	if r.fallback == nil || r.started {
		return err
	}
	r.start(r.fallback.reply)
	return errors.Wrap(r.w.Write(r.fallback.body), "deliver the held error of an endpoint")
}

// choose reserves a place at an endpoint. If all endpoints are full, the first attempt of a
// scheduled request waits in the scheduler's queue; any other attempt checks again until
// waitUntil.
func (r *request) choose() (*balancer.Ticket, error) {
	if r.ranks > 0 && r.attempts == 0 {
		return r.forwarder.scheduler.Choose(r.ctx, r.scheduled())
	}
	f := r.forwarder
	until, poll := r.waitUntil()
	for polled := false; ; polled = true {
		query := r.endpointQuery()
		query.Polled = polled
		if !polled {
			query.Tried = slices.Concat(r.tried, r.refusedBy)
		}
		ticket, err := f.chooser.Choose(query)
		var refusal *gooseberrypass.RequestError
		if err == nil || !errors.As(err, &refusal) || !r.waitsAfter(refusal) {
			return ticket, err
		}
		if f.clock.Until(until) <= max(poll, refusal.RetryAfter) {
			return nil, err
		}
		timer := f.clock.NewTimer(poll)
		select {
		case <-r.ctx.Done():
			timer.Stop()
			return nil, err
		case <-timer.Chan():
		}
	}
}

// waitsAfter reports whether the request waits for an endpoint after a refusal. One that may
// have run waits also for endpoints that are skipped for a known time.
func (r *request) waitsAfter(refusal *gooseberrypass.RequestError) bool {
	return refusal.Reason == gooseberrypass.ReasonOverloaded || r.mayRun && refusal.RetryAfter > 0
}

// waitUntil returns until when the request waits for an endpoint with room, and how often it
// checks for one. A request that may have run can no longer be refused with a promise, so it
// waits for as long as its caller does.
func (r *request) waitUntil() (time.Time, time.Duration) {
	s := r.forwarder.settings
	if !r.mayRun {
		return r.arrivedAt.Add(time.Duration(s.QueueWaitShare * float64(r.route.Objective))), s.QueuePoll
	}
	since := r.arrivedAt
	if r.deliveredAt.After(since) {
		since = r.deliveredAt
	}
	until := since.Add(s.ResumeWait)
	if r.deadline.IsZero() {
		return until, s.ResumePoll
	}
	latest := r.deadline
	if !r.started {
		latest = latest.Add(-r.route.Objective)
	}
	if latest.Before(until) {
		until = latest
	}
	return until, s.ResumePoll
}

// endpointQuery returns the query for the endpoint of the next attempt.
func (r *request) endpointQuery() balancer.Query {
	answer := r.proxyRequest.EstimatedTokens
	if r.proxyRequest.MaxTokens > 0 {
		answer = min(answer, r.proxyRequest.MaxTokens)
	}
	return balancer.Query{
		AnswerTokens: answer, Tried: slices.Clone(r.tried), Model: r.model, Objective: r.route.Objective, PromptTokens: r.proxyRequest.PromptTokens,
		Regions: r.regions, Resumed: r.started, RefusedBefore: r.refusedBefore, Scheduled: r.ranks > 0, Service: r.service, Version: r.version,
	}
}

// noEndpoint returns the error of a request for which no endpoint was chosen.
func (r *request) noEndpoint(err error) error {
	if r.started {
		return errors.WithMessage(errInterrupted, err.Error())
	}
	var refusal *gooseberrypass.RequestError
	if !errors.As(err, &refusal) {
		return err
	}
	if r.mayRun {
		return unknown(gooseberrypass.ReasonUpstream, "an endpoint failed and no other has room")
	}
	refusal.RetryAfter = r.retryAfter(refusal.RetryAfter)
	r.forwarder.tracker.recordRefusal(r.repeatDigest)
	return refusal
}

// lastFailure returns the error of a request after its last attempt.
func (r *request) lastFailure(last *failure) error {
	if r.started {
		return errInterrupted
	}
	if r.mayRun {
		last.err.Outcome = gooseberrypass.OutcomeUnknown
		return last.err
	}
	last.err.Outcome = gooseberrypass.OutcomeNotRun
	last.err.RetryAfter = r.retryAfter(0)
	return last.err
}

// Obstacles to another attempt, as they appear in log lines.
const (
	obstacleBegun      = "part of its answer was delivered and cannot go on"
	obstacleBudget     = "the retry budget is used up"
	obstacleDeadline   = "no time is left"
	obstacleMayHaveRun = "it may have run and must not be repeated"
	obstacleQuarantine = "it probably crashes endpoints"
	obstacleTries      = "all tries are used up"
)

// repeatObstacle returns what prevents another attempt after a failure. If nothing does, it
// returns "" and takes the attempt from the retry budget. A request that may have run can
// only go on or fail, so refusals do not use up its tries.
func (r *request) repeatObstacle(last *attempt, failed *failure) string {
	f := r.forwarder
	now := f.clock.Now()
	switch {
	case r.mayRun && !r.route.Repeatable():
		return obstacleMayHaveRun
	case r.wholeBegun:
		return obstacleBegun
	case r.runs() >= r.route.MaxAttempts && failed.err.Outcome != gooseberrypass.OutcomeNotRun, !r.mayRun && r.attempts > r.route.MaxAttempts:
		return obstacleTries
	case !r.deadline.IsZero() && !now.Before(r.deadline):
		return obstacleDeadline
	case f.tracker.isQuarantined(r.digest) || r.crashesEndpoints(last):
		return obstacleQuarantine
	case !f.budget.allowRepeat(now, r.service, f.chooser.Entries()):
		f.metrics.denied.Inc()
		return obstacleBudget
	default:
		return ""
	}
}

// takenOver returns the failure of an attempt in whose place another one has begun.
func takenOver(result balancer.Result) *failure {
	return &failure{err: unknown(gooseberrypass.ReasonCut, errTakenOver.Error()), result: result, takenOver: true}
}

// idleConnShare is the share of an endpoint's connections that all entries
// together keep idle. The rest is left for requests in flight.
const idleConnShare = 0.5

// maxIdleConns returns the number of idle connections that this entry may keep to
// an endpoint of the service, 0 if the service does not limit its connections.
func (r *request) maxIdleConns() int {
	if r.maxConns == 0 {
		return 0
	}
	return max(int(idleConnShare*float64(r.maxConns)/float64(r.forwarder.chooser.Entries())), 1)
}

// headTimeout returns how long the head of an answer may take until another endpoint is
// tried, 0 if none may be.
func (r *request) headTimeout() time.Duration {
	if !r.mayRunAgain() || r.route.Objective == 0 {
		return 0
	}
	return time.Duration(r.forwarder.settings.HeadTimeoutFactor * float64(r.route.Objective))
}

// start delivers the head of an answer, once.
func (r *request) start(reply *gooseberrypass.Reply) {
	if r.started {
		return
	}
	r.started = true
	r.headTime = r.forwarder.clock.Since(r.arrivedAt)
	r.status = reply.Status
	r.version = reply.ModelVersion
	r.w.Start(reply.Status, reply.Header)
}
