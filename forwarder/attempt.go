package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// An attempt is one dispatch of a request to an endpoint, until its answer has ended. It
// never changes its request, so that two attempts may go on side by side.
type attempt struct {
	begun      func() // ends the watch of the endpoint's version
	body       []byte // begin of a whole answer
	bodyEnded  bool   // body is all of it
	cancel     context.CancelCauseFunc
	crashed    bool // the connection to the endpoint broke
	ctx        context.Context
	ended      bool
	events     *eventReader
	fallback   *heldResponse // error of an endpoint, if that is all it answered
	beside     bool          // begins beside another attempt
	last       bool          // the route allows no further one
	lastEvent  int           // index of the event after which it goes on, -1 for the begin
	limit      *watchdog     // withdraws the attempt when no time is left
	loss       *watchdog     // checks whether the endpoint is lost
	mayHaveRun bool
	progress   progress
	readAhead  []readResult // read before the attempt took over
	firstSent  time.Time    // when an attempt was first sent to the endpoint, zero for never
	reply      *gooseberrypass.Reply
	request    *request
	resumes    bool // part of the answer was delivered
	sentAt     time.Time
	silence    *watchdog // looks for another endpoint when this one gives no sign
	silentAt   time.Time // end of the time within which the endpoint should send something
	ticket     *balancer.Ticket
	timeLeft   time.Duration
	tooLate    bool // it would have reached the endpoint after its version went out of use
	version    int  // version of that part
}

// A readResult is an event of a stream, or its end.
type readResult struct {
	err   error
	event event
}

// newAttempt returns an attempt that is not sent yet. It must be ended.
func (r *request) newAttempt(ctx context.Context, ticket *balancer.Ticket) *attempt {
	clock := r.forwarder.clock
	a := &attempt{last: r.runs() >= r.route.MaxAttempts, lastEvent: r.lastEvent, request: r, resumes: r.started, sentAt: clock.Now(), ticket: ticket, timeLeft: defaultTimeLeft, version: r.version}
	if id := ticket.Endpoint().ID; r.firstSent[id].IsZero() {
		r.firstSent[id] = a.sentAt
	} else {
		a.firstSent = r.firstSent[id]
	}
	if !r.deadline.IsZero() {
		a.timeLeft = r.deadline.Sub(a.sentAt)
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.limit = newWatchdog(clock, func(cause error) { a.cancel(cause) })
	a.limit.reset(a.timeLeft+r.forwarder.settings.DeadlineGrace, context.DeadlineExceeded)
	a.begun = r.watchVersion(ticket, func() { a.cancel(errVersionExpired) })
	a.silence = newWatchdog(clock, func(error) { r.endpointSilent(a) })
	a.loss = newWatchdog(clock, func(error) { r.checkLoss(a) })
	if wait := r.headTimeout(); wait > 0 {
		a.silentAt = a.sentAt.Add(wait)
	}
	return a
}

// end ends the attempt and gives back its place. Only the first call has an effect.
func (a *attempt) end(result balancer.Result) {
	if a.ended {
		return
	}
	a.ended = true
	for _, w := range []*watchdog{a.limit, a.silence, a.loss} {
		w.stop()
	}
	a.begun()
	if a.reply != nil {
		_ = a.reply.Body.Close() // before the context ends, which closes the connection
	}
	a.cancel(nil)
	a.ticket.Done(result)
}

// begin sends the request and reads the answer up to where it can be delivered.
func (a *attempt) begin() *failure {
	r := a.request
	f := r.forwarder
	reply, err := f.transport.Send(a.ctx, gooseberrypass.Dispatch{
		Account: r.account, Endpoint: a.ticket.Endpoint(), ExpectedVersion: a.ticket.ExpectedVersion(), FirstSent: a.firstSent, LastEvent: a.lastEvent, MaxIdleConns: r.maxIdleConns(),
		Priority: r.priority, Release: a.release(), Request: r.proxyRequest, TimeLeft: a.timeLeft,
	})
	if err != nil {
		return a.connectionFailure(err)
	}
	a.reply = reply
	a.ticket.AdvisoryReceived(reply.Advisory)
	a.ticket.PaceReceived(reply.Pace)
	if reply.NotRun {
		return a.rejection()
	}
	a.ticket.HeadReceived(f.clock.Since(a.sentAt))
	a.mayHaveRun, a.progress = true, progressHead
	if !reply.Signed && reply.Status < 300 {
		return &failure{err: unknown(gooseberrypass.ReasonUpstream, "answer without a signature"), result: balancer.ResultFailed}
	}
	// An endpoint with nothing left to send names no version.
	if a.resumes && (reply.Status >= 300 || reply.ModelVersion != a.version && reply.ModelVersion != 0) {
		return otherVersion()
	}
	if a.streams() {
		a.events = newEventReader(reply.Body)
		return nil
	}
	return a.readBody()
}

// release returns the function that decides whether the rest of the request is sent once its
// begin has arrived, nil if it need not wait for that.
func (a *attempt) release() func(took time.Duration) bool {
	mayArrive := a.ticket.Release()
	if mayArrive == nil {
		return nil
	}
	return func(took time.Duration) bool {
		a.tooLate = !mayArrive(took)
		return !a.tooLate
	}
}

// maxEventsAhead bounds the events without an index before the first one with an index, as long
// as they are held back.
const maxEventsAhead = 64

// errTooManyEvents is the error of a stream whose events have no index.
var errTooManyEvents = errors.New("too many events without an index")

// beginBeside begins an attempt beside another one. It has begun only when an event with an
// index has arrived, or the end: a stalled endpoint may send others, and an error is no reason
// to give up an endpoint that may still answer.
func (a *attempt) beginBeside() *failure {
	a.beside = true
	if failed := a.begin(); failed != nil || !a.streams() {
		return failed
	}
	var ahead []readResult
	for len(ahead) < maxEventsAhead {
		ev, err := a.readEvent()
		if err == nil && (ev.comment || a.repeats(ev)) {
			continue
		}
		if err == nil {
			err = a.checkFollows(ev, a.lastEvent)
		}
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return a.streamFailure(err)
		}
		ahead = append(ahead, readResult{err: err, event: ev})
		if ended || ev.id >= 0 {
			a.readAhead = ahead
			return nil
		}
	}
	return a.streamFailure(errTooManyEvents)
}

// checkFollows returns an error if an event cannot be the next one after that with the index
// last, -1 for none.
func (a *attempt) checkFollows(e event, last int) error {
	switch {
	case a.resumes && e.id < 0 && !e.comment:
		return errors.New("resumed stream has an event without an index")
	case last >= 0 && e.id >= 0 && e.id != last+1:
		return errors.Errorf("event %d after %d", e.id, last)
	default:
		return nil
	}
}

// streams reports whether the answer is a stream of events.
func (a *attempt) streams() bool {
	return a.request.route.Mode == gooseberrypass.RouteStream && a.reply.Status < 300
}

// repeats reports whether an event was delivered before the stream was resumed.
func (a *attempt) repeats(e event) bool {
	return e.id >= 0 && a.lastEvent >= 0 && e.id <= a.lastEvent
}

// readEvent reads the next event of a stream. A stream that has no events and ends with
// its connection has broken off: a crash after the head looks the same. Only an endpoint
// that names no version may have nothing left of a stream that is resumed.
func (a *attempt) readEvent() (event, error) {
	if len(a.readAhead) > 0 {
		next := a.readAhead[0]
		a.readAhead = a.readAhead[1:]
		return next.event, next.err
	}
	ev, err := a.events.next()
	if errors.Is(err, io.EOF) && a.reply.Unframed && a.progress != progressContent && (a.lastEvent < 0 || a.reply.ModelVersion != 0) {
		return ev, io.ErrUnexpectedEOF
	}
	if err == nil && !ev.comment {
		a.recordContent()
	}
	return ev, err
}

// readBody reads the body of a whole answer, up to MaxBufferedAnswer bytes or to the memory
// that is left.
func (a *attempt) readBody() *failure {
	r := a.request
	var err error
	if a.body, a.bodyEnded, err = r.bufferAnswer(a.reply.Body); err != nil {
		return a.connectionFailure(&gooseberrypass.DispatchError{Err: errors.Wrap(err, "read body"), Sent: true})
	}
	if a.reply.Status >= 500 && a.bodyEnded && (a.beside || r.route.Mode == gooseberrypass.RouteIdempotent && !a.last) {
		a.fallback = &heldResponse{body: a.body, reply: a.reply}
		return &failure{err: unknown(gooseberrypass.ReasonUpstream, "the endpoint answered with an error"), result: balancer.ResultAnswered}
	}
	if a.reply.Status < 300 {
		a.recordContent()
	}
	return nil
}

// connectionFailure returns the failure of an attempt whose answer is missing or
// incomplete.
func (a *attempt) connectionFailure(err error) *failure {
	var dispatch *gooseberrypass.DispatchError
	sent := !errors.As(err, &dispatch) || dispatch.Sent
	f := &failure{err: notRun(gooseberrypass.ReasonUpstream, err.Error(), 0), result: balancer.ResultFailed}
	if sent {
		a.mayHaveRun = true
		f.err.Outcome = gooseberrypass.OutcomeUnknown
	}
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errVersionExpired):
		f.err.Reason = gooseberrypass.ReasonNotLoaded
		f.err.Detail = cause.Error()
		f.result = balancer.ResultInconclusive
	case a.tooLate:
		f.err.Reason = gooseberrypass.ReasonNotLoaded
		f.result = balancer.ResultInconclusive
	case errors.Is(cause, context.DeadlineExceeded):
		f.err.Reason = gooseberrypass.ReasonDeadline
		f.err.Detail = "no answer in time (" + cause.Error() + "): " + err.Error()
		f.result = balancer.ResultTimedOut
	case errors.Is(cause, errTakenOver), errors.Is(cause, errNotNeeded), errors.Is(cause, context.Canceled): // withdrawn, or the caller left
		f.result = balancer.ResultInconclusive
	case sent:
		a.crashed = true
		a.recordCrash()
	}
	return f
}

// rejection returns the failure of an attempt that the endpoint refused to run.
func (a *attempt) rejection() *failure {
	f := &failure{err: notRun(gooseberrypass.ReasonOverloaded, "the endpoint is full", 0), result: balancer.ResultFull}
	if a.reply.Misdirected {
		f.err = notRun(gooseberrypass.ReasonNotLoaded, "the endpoint or its version changed", 0)
		f.result = balancer.ResultMisdirected
	}
	if a.reply.Replaced {
		f.result = balancer.ResultReplaced
	}
	return f
}

// recordContent records that content of the answer was received.
func (a *attempt) recordContent() {
	if a.progress == progressContent {
		return
	}
	a.progress = progressContent
	a.request.forwarder.tracker.RecordAnswer(a.request.prompt)
}

// recordCrash records that the connection to the endpoint broke.
func (a *attempt) recordCrash() {
	tracker := a.request.forwarder.tracker
	tracker.recordCrash(a.request.digest)
	if a.progress != progressContent {
		tracker.RecordInterruption(a.request.prompt, a.ticket.Endpoint().ID, a.progress == progressHead)
	}
}

// streamFailure returns the failure of a stream that broke off.
func (a *attempt) streamFailure(err error) *failure {
	f := a.connectionFailure(&gooseberrypass.DispatchError{Err: errors.Wrap(err, "stream"), Sent: true})
	f.err.Reason = gooseberrypass.ReasonCut
	return f
}
