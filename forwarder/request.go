package forwarder

import (
	"bytes"
	"context"
	"io"
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

// A request is the state of one proxy request while it is handled.
type request struct {
	account       gooseberrypass.ID
	arrivedAt     time.Time
	attempts      int   // attempts made
	beginCrashes  int   // attempts whose answer broke off at its begin
	configVersion int64 // version of the deployment
	deadline      time.Time
	digest        gooseberrypass.Digest
	fallback      *heldResponse
	forwarder     *Forwarder
	headTime      time.Duration     // time from arrival to the head of the answer
	inFlight      int               // requests at the last endpoint when it was chosen
	lastEndpoint  gooseberrypass.ID // endpoint of the last attempt
	lastEvent     int               // index of the last event delivered, -1 for none
	maxConns      int               // connections that an endpoint of the service accepts, 0 for any number
	mayRun        bool              // an attempt may have run
	model         string            // "" for a plain service
	moveTo        *balancer.Ticket  // place reserved for a stream that is being moved
	priority      int
	progress      progress // of the last attempt
	prompt        attributor.Prompt
	proxyRequest  *gooseberrypass.ProxyRequest
	regions       gooseberrypass.RegionSet // regions that may serve the request
	refusedBefore bool                     // retry of a request that was refused because of load
	repeatDigest  gooseberrypass.Digest    // digest that includes the prompt
	route         *gooseberrypass.Route
	service       gooseberrypass.ID
	repeatPaid    atomic.Bool // the next repeat is taken from the retry budget already
	started       bool        // part of the answer was delivered
	status        int
	tried         []gooseberrypass.ID // endpoints of earlier attempts
	version       int                 // version of the weights that began the answer
	w             gooseberrypass.Responder
}

// A heldResponse is an endpoint's error that is delivered if no other endpoint
// gives a better answer.
type heldResponse struct {
	body  []byte
	reply *gooseberrypass.Reply
}

// A failure says how one attempt failed.
type failure struct {
	err    *gooseberrypass.RequestError
	moved  bool // the stream goes on at the endpoint of moveTo
	result balancer.Result
}

// serve makes attempts until the request is answered or has failed.
func (r *request) serve(ctx context.Context) error {
	f := r.forwarder
	f.budget.recordRequest(r.arrivedAt, r.service)
	for {
		ticket, err := r.choose(ctx)
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
		failed := r.attemptAt(ctx, ticket)
		if failed == nil {
			ticket.Done(balancer.ResultAnswered)
			return nil
		}
		if ctx.Err() != nil {
			ticket.Done(balancer.ResultInconclusive)
			r.releaseMove()
			return errors.Wrap(ctx.Err(), "caller disconnected")
		}
		ticket.Done(failed.result)
		r.tried = append(r.tried, ticket.Endpoint().ID)
		if failed.moved {
			continue
		}
		obstacle := r.repeatObstacle(failed)
		again := obstacle == ""
		f.logger.WithFields(logrus.Fields{
			fieldRequest: r.proxyRequest.ID, fieldEndpoint: r.lastEndpoint, "try": r.attempts, "at_endpoint": r.inFlight, "again": again, "obstacle": obstacle, "begun": r.started, "entries": f.chooser.Entries(),
			"may_have_run": r.mayRun, "progress": r.progress, "expect": ticket.ExpectedVersion(), "ms": f.clock.Since(r.arrivedAt).Milliseconds(),
		}).WithError(failed.err).Info("attempt failed")
		if !again {
			return r.settleFailure(r.lastFailure(failed))
		}
	}
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

// choose reserves a place at an endpoint. If all endpoints are full, it retries
// until a share of the objective has passed.
func (r *request) choose(ctx context.Context) (*balancer.Ticket, error) {
	f := r.forwarder
	if reserved := r.moveTo; reserved != nil {
		r.moveTo = nil
		return reserved, nil
	}
	until := r.arrivedAt.Add(time.Duration(f.settings.QueueWaitShare * float64(r.route.Objective)))
	for polled := false; ; polled = true {
		query := r.endpointQuery()
		query.Polled = polled
		ticket, err := f.chooser.Choose(query)
		var refusal *gooseberrypass.RequestError
		if err == nil || !errors.As(err, &refusal) || refusal.Reason != gooseberrypass.ReasonOverloaded {
			return ticket, err
		}
		if f.clock.Until(until) <= max(f.settings.QueuePoll, refusal.RetryAfter) {
			return nil, err
		}
		timer := f.clock.NewTimer(f.settings.QueuePoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		case <-timer.Chan():
		}
	}
}

// endpointQuery returns the query for the endpoint of the next attempt.
func (r *request) endpointQuery() balancer.Query {
	answer := r.proxyRequest.EstimatedTokens
	if r.proxyRequest.MaxTokens > 0 {
		answer = min(answer, r.proxyRequest.MaxTokens)
	}
	return balancer.Query{
		AnswerTokens: answer, Tried: r.tried, Model: r.model, Objective: r.route.Objective, PromptTokens: r.proxyRequest.PromptTokens,
		Regions: r.regions, Resumed: r.started, RefusedBefore: r.refusedBefore, Service: r.service, Version: r.version,
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

// retryAfter returns the Retry-After of a refusal: the usual one, or the time until an
// endpoint takes requests if that is longer. It is at most a third of the caller's time.
func (r *request) retryAfter(room time.Duration) time.Duration {
	wait := max(r.forwarder.settings.RetryAfter, room)
	if !r.proxyRequest.Deadline.IsZero() {
		wait = min(wait, r.proxyRequest.Deadline.Sub(r.arrivedAt)/3)
	}
	return wait
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
	obstacleBudget     = "the retry budget is used up"
	obstacleDeadline   = "no time is left"
	obstacleMayHaveRun = "it may have run and must not be repeated"
	obstacleQuarantine = "it probably crashes endpoints"
	obstacleTries      = "all tries are used up"
)

// repeatObstacle returns what prevents another attempt after a failure. If nothing does, it
// returns "" and takes the attempt from the retry budget.
func (r *request) repeatObstacle(last *failure) string {
	f := r.forwarder
	now := f.clock.Now()
	switch {
	case r.mayRun && !r.route.Repeatable():
		return obstacleMayHaveRun
	case r.attempts >= r.route.MaxAttempts && last.err.Outcome != gooseberrypass.OutcomeNotRun, r.attempts > r.route.MaxAttempts:
		return obstacleTries
	case !r.deadline.IsZero() && !now.Before(r.deadline):
		return obstacleDeadline
	case f.tracker.isQuarantined(r.digest) || r.crashesEndpoints():
		return obstacleQuarantine
	case !r.repeatPaid.Swap(false) && !f.budget.allowRepeat(now, r.service, f.chooser.Entries()):
		f.metrics.denied.Inc()
		return obstacleBudget
	default:
		return ""
	}
}

// attemptAt makes an attempt, and gives back its place also if the attempt panics.
func (r *request) attemptAt(ctx context.Context, ticket *balancer.Ticket) *failure {
	returned := false
	defer func() {
		if !returned {
			ticket.Done(balancer.ResultInconclusive)
			r.releaseMove()
		}
	}()
	failed := r.attempt(ctx, ticket)
	returned = true
	return failed
}

// attempt sends the request to one endpoint. It returns nil after the whole
// answer was delivered.
func (r *request) attempt(ctx context.Context, ticket *balancer.Ticket) *failure {
	f := r.forwarder
	r.lastEndpoint, r.inFlight, r.progress = ticket.Endpoint().ID, ticket.InFlight(), progressNone
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	left := r.deadline.Sub(f.clock.Now())
	if r.deadline.IsZero() {
		left = defaultTimeLeft
	}
	watch := newWatchdog(f.clock, func(cause error) { cancel(cause) })
	defer watch.stop()
	watch.reset(r.headTimeout(left), context.DeadlineExceeded)
	begun := r.watchVersion(ticket, func() { cancel(errVersionExpired) })
	defer begun()
	defer r.watchEndpoint(ticket, func() { cancel(errEndpointLost) })()
	sent := f.clock.Now()
	reply, err := f.transport.Send(ctx, gooseberrypass.Dispatch{
		Account: r.account, Endpoint: ticket.Endpoint(), ExpectedVersion: ticket.ExpectedVersion(), MaxIdleConns: r.maxIdleConns(), Request: r.proxyRequest,
		Priority: r.priority, LastEvent: r.lastEvent, TimeLeft: left,
	})
	if err != nil {
		return r.connectionFailure(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	ticket.AdvisoryReceived(reply.Advisory)
	if reply.NotRun {
		return r.rejection(reply)
	}
	ticket.HeadReceived(f.clock.Since(sent))
	r.mayRun, r.progress = true, progressHead
	if !reply.Signed && reply.Status < 300 {
		return &failure{err: unknown(gooseberrypass.ReasonUpstream, "answer without a signature"), result: balancer.ResultFailed}
	}
	// An endpoint with nothing left to send names no version.
	if r.started && (reply.Status >= 300 || reply.ModelVersion != r.version && reply.ModelVersion != 0) {
		return otherVersion()
	}
	if r.route.Mode == gooseberrypass.RouteStream && reply.Status < 300 {
		return r.deliverStream(ctx, reply, ticket, watch, begun)
	}
	return r.deliverWhole(ctx, reply, watch, begun)
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

// headTimeout returns how long an attempt may take to the head of its answer. An
// attempt that may be repeated gets less time, so that another endpoint can be
// tried.
func (r *request) headTimeout(left time.Duration) time.Duration {
	left += r.forwarder.settings.DeadlineGrace
	if !r.route.Repeatable() || r.attempts >= r.route.MaxAttempts || r.route.Objective == 0 {
		return left
	}
	return min(left, time.Duration(r.forwarder.settings.HeadTimeoutFactor*float64(r.route.Objective)))
}

// connectionFailure returns the failure of an attempt whose answer is missing or
// incomplete.
func (r *request) connectionFailure(ctx context.Context, err error) *failure {
	var dispatch *gooseberrypass.DispatchError
	sent := !errors.As(err, &dispatch) || dispatch.Sent
	f := &failure{err: notRun(gooseberrypass.ReasonUpstream, err.Error(), 0), result: balancer.ResultFailed}
	if sent {
		r.mayRun = true
		f.err.Outcome = gooseberrypass.OutcomeUnknown
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errVersionExpired):
		f.err.Reason = gooseberrypass.ReasonNotLoaded
		f.err.Detail = cause.Error()
		f.result = balancer.ResultInconclusive
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, errEndpointLost):
		f.err.Reason = gooseberrypass.ReasonDeadline
		f.err.Detail = "no answer in time (" + cause.Error() + "): " + err.Error()
		f.result = balancer.ResultTimedOut
	case errors.Is(cause, context.Canceled): // the caller left
	case sent:
		r.recordCrash()
	}
	return f
}

// rejection returns the failure of an attempt that the endpoint refused to run.
func (r *request) rejection(reply *gooseberrypass.Reply) *failure {
	f := &failure{err: notRun(gooseberrypass.ReasonOverloaded, "the endpoint is full", 0), result: balancer.ResultFull}
	if reply.Misdirected {
		f.err = notRun(gooseberrypass.ReasonNotLoaded, "the endpoint or its version changed", 0)
		f.result = balancer.ResultMisdirected
	}
	if reply.Replaced {
		f.result = balancer.ResultReplaced
	}
	if !reply.Unframed {
		_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, r.forwarder.settings.MaxBufferedAnswer)) // an unread body would prevent reuse of the connection
	}
	return f
}

// deliverWhole delivers an answer once it is complete. A longer answer than
// MaxBufferedAnswer is delivered as it arrives after that many bytes.
func (r *request) deliverWhole(ctx context.Context, reply *gooseberrypass.Reply, watch *watchdog, begun func()) *failure {
	s := r.forwarder.settings
	var body bytes.Buffer
	_, err := io.Copy(&body, io.LimitReader(reply.Body, s.MaxBufferedAnswer))
	if err != nil {
		return r.connectionFailure(ctx, &gooseberrypass.DispatchError{Err: errors.Wrap(err, "read body"), Sent: true})
	}
	if r.route.Mode == gooseberrypass.RouteIdempotent && reply.Status >= 500 && r.attempts < r.route.MaxAttempts {
		r.fallback = &heldResponse{body: body.Bytes(), reply: reply}
		return &failure{err: unknown(gooseberrypass.ReasonUpstream, "the endpoint answered with an error"), result: balancer.ResultAnswered}
	}
	begun()
	watch.stop()
	if reply.Status < 300 {
		r.recordProgress()
	}
	if int64(body.Len()) >= s.MaxBufferedAnswer && reply.Header.Get("Content-Length") == "" {
		watch.reset(r.timeLeft(), context.DeadlineExceeded) // the rest may have no end
	}
	r.start(reply)
	if err := r.w.Write(body.Bytes()); err != nil {
		return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultAnswered}
	}
	if int64(body.Len()) < s.MaxBufferedAnswer {
		return nil
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			if err := r.w.Write(buf[:n]); err != nil {
				return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultAnswered}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultFailed}
		}
	}
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

// timeLeft returns how long an answer may still take.
func (r *request) timeLeft() time.Duration {
	if r.deadline.IsZero() {
		return defaultTimeLeft
	}
	return r.deadline.Sub(r.forwarder.clock.Now()) + r.forwarder.settings.DeadlineGrace
}
