package retrier

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/router"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// stallTimeout is the longest pause between two pieces of a stream.
const stallTimeout = 15 * time.Second

// errFrameTimeout is the error of an attempt whose next frame came after its
// timeout.
var errFrameTimeout = errors.New("no frame in time")

// A stream reads the answer to one attempt.
type stream struct {
	cancel    context.CancelFunc
	checker   *frameChecker
	frames    FrameStream
	id        string
	readAhead *wire.Frame // next frame if already read, nil for none
	ticket    *router.Ticket
	watch     *watchdog
}

// open sends one attempt. The returned stream must be closed even after an error.
// The attempt is canceled if wait passes before the watchdog is reset or stopped.
func (e *execution) open(ctx context.Context, ticket *router.Ticket, attempt *wire.Attempt, wait time.Duration) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{
		cancel:  cancel,
		checker: newFrameChecker(attempt),
		id:      attempt.GetAttemptId(),
		ticket:  ticket,
		watch:   startWatchdog(e.retrier.clock, wait, cancel),
	}
	var err error
	s.frames, err = e.retrier.dispatcher.Generate(ctx, ticket.Member().Listed, attempt)
	return s, err
}

// next returns the next frame once it is validated.
func (s *stream) next() (*wire.Frame, error) {
	if frame := s.readAhead; frame != nil {
		s.readAhead = nil
		return frame, nil
	}
	frame, err := s.frames.Next()
	if err != nil {
		return nil, truncationError(err)
	}
	return frame, s.checker.check(frame)
}

func (s *stream) close() {
	s.watch.stop()
	s.cancel()
	if s.frames != nil {
		_ = s.frames.Close()
	}
}

// generate makes one attempt to generate a stream of tokens. The stream may move to
// other endpoints before its end.
func (e *execution) generate(ctx context.Context, ticket *router.Ticket, id string, remaining time.Duration) *failure {
	s, err := e.open(ctx, ticket, e.wireAttempt(ticket, id, remaining), firstFrameTimeout(remaining, ticket.ServiceTime()))
	defer func() { s.close() }()
	for err == nil {
		var frame *wire.Frame
		if frame, err = s.next(); err == nil && s.watch.fired() {
			err = errFrameTimeout
		}
		if err != nil {
			break
		}
		if moved := frame.GetMoved(); moved != nil {
			s = e.move(ctx, s, moved)
			continue
		}
		done, f := e.deliver(s, frame)
		if done || f != nil {
			e.finish(ctx, s.ticket, f)
			return f
		}
	}
	if errors.Is(err, ErrBadFrame) {
		e.retrier.metrics.badFrames.Inc()
	}
	f := e.attemptFailure(s.ticket, s.watch, err)
	e.finish(ctx, s.ticket, f)
	return f
}

func (e *execution) wireAttempt(ticket *router.Ticket, id string, remaining time.Duration) *wire.Attempt {
	digest, weights := e.req.Digest(), ticket.Weights()
	attempt := &wire.Attempt{
		Account:       string(e.req.AccountID()),
		Alone:         e.mustRunAlone(),
		AttemptId:     id,
		DeadlineMs:    max(remaining.Milliseconds(), 1),
		MaxTokens:     int64(e.req.MaxTokens()),
		Model:         string(e.req.TargetID()),
		Priority:      int32(e.req.Priority()),
		Prompt:        e.req.Body(),
		RequestDigest: digest[:],
		WeightsDigest: weights[:],
	}
	return attempt
}

// mustRunAlone reports whether the request must run alone on its endpoint, as it
// may have crashed an endpoint before.
func (e *execution) mustRunAlone() bool {
	return e.interruptions > 0 || e.retrier.suspects.MustRunAlone(e.req.Digest())
}

// deliver passes a validated frame to the caller. It reports whether the answer is
// complete.
func (e *execution) deliver(s *stream, frame *wire.Frame) (bool, *failure) {
	switch kind := frame.GetKind().(type) {
	case *wire.Frame_Piece:
		s.watch.stop()
		if err := e.start(s.ticket.Weights()); err != nil {
			return false, e.callerGoneFailure(err)
		}
		if err := e.answer.Write(kind.Piece.GetText()); err != nil {
			return false, e.callerGoneFailure(err)
		}
		s.watch.reset(stallTimeout)
	case *wire.Frame_End:
		if err := e.start(s.ticket.Weights()); err != nil {
			return false, e.callerGoneFailure(err)
		}
		if err := e.answer.End(); err != nil {
			return false, e.callerGoneFailure(err)
		}
		return true, nil
	case *wire.Frame_Failed:
		return false, e.reportedFailure(s, kind.Failed)
	}
	return false, nil
}

// reportedFailure returns the failure that a frame reports. After the start of an
// answer its outcome is never "not run".
func (e *execution) reportedFailure(s *stream, frame *wire.Failed) *failure {
	f := agentFailure(frame.GetOutcome(), frame.GetReason(), frame.GetDetail(), time.Duration(frame.GetRetryAfterMs())*time.Millisecond)
	if s.checker.started {
		f.err.Outcome = gooseberrypass.OutcomeUnknown
	}
	e.recordInterruption(s.ticket, f)
	return f
}

// recordInterruption records an interrupted attempt, as the request may have crashed its
// endpoint. The request then gets one more attempt, alone on its endpoint. If it
// already ran alone, it is not retried.
func (e *execution) recordInterruption(ticket *router.Ticket, f *failure) {
	if f.err.Reason != gooseberrypass.ReasonCut || f.err.Outcome == gooseberrypass.OutcomeNotRun {
		return
	}
	e.retrier.suspects.ReportInterruption(e.req.Digest(), ticket.Member().Listed.ID)
	f.final = e.mustRunAlone()
	e.interruptions++
}

// start tells the caller once which version answers.
func (e *execution) start(weights gooseberrypass.Digest) error {
	if e.delivered {
		return nil
	}
	e.delivered = true
	return e.answer.Start(weights)
}

// attemptFailure returns the failure of an attempt that ended with err: nothing was
// sent, the connection broke, the attempt timed out or a frame was invalid.
func (e *execution) attemptFailure(ticket *router.Ticket, watch *watchdog, err error) *failure {
	f := &failure{
		err: &gooseberrypass.RequestError{
			Detail: "endpoint " + string(ticket.Member().Listed.ID) + ": " + err.Error(),
			Reason: gooseberrypass.ReasonUpstream,
		},
		result: router.ResultFailed,
	}
	switch {
	case errors.Is(err, ErrNotSent):
		f.err.Outcome = gooseberrypass.OutcomeNotRun
	case watch.fired():
		f.result = router.ResultLate
	case errors.Is(err, ErrStatus):
		f.result = router.ResultBusy
	case errors.Is(err, ErrBadFrame), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
	default:
		f.err.Reason = gooseberrypass.ReasonCut
		e.recordInterruption(ticket, f)
	}
	if e.delivered {
		f.err.Reason = gooseberrypass.ReasonCut
	}
	return f
}

// callerGoneFailure returns the failure of an attempt whose answer could not be
// delivered, as the caller has disconnected.
func (e *execution) callerGoneFailure(err error) *failure {
	return &failure{
		err:    &gooseberrypass.RequestError{Detail: "caller left: " + err.Error(), Reason: gooseberrypass.ReasonCut},
		final:  true,
		result: router.ResultDropped,
	}
}

// agentFailure returns the failure that an agent reported.
func agentFailure(outcome, reason, detail string, retryAfter time.Duration) *failure {
	f := &failure{err: &gooseberrypass.RequestError{
		Detail:     detail,
		Outcome:    gooseberrypass.ParseOutcome(outcome),
		Reason:     gooseberrypass.Reason(reason),
		RetryAfter: min(max(retryAfter, 0), maxRetryAfter),
	}}
	if f.err.Outcome == gooseberrypass.OutcomeAnswered {
		f.err.Outcome = gooseberrypass.OutcomeUnknown
	}
	switch f.err.Reason {
	case gooseberrypass.ReasonLimited, gooseberrypass.ReasonOverloaded:
		f.result = router.ResultBusy
	case gooseberrypass.ReasonLeaving:
		f.result = router.ResultLeaving
	case gooseberrypass.ReasonNotLoaded:
		f.result = router.ResultUnready
	case gooseberrypass.ReasonDeadline:
		f.result = router.ResultDropped
	case gooseberrypass.ReasonBadRequest:
		f.final = true
	default:
		f.result = router.ResultFailed
	}
	return f
}

// maxRetryAfter is the longest wait that an agent can ask a caller for.
const maxRetryAfter = time.Minute

// A watchdog cancels an attempt when its timer expires.
type watchdog struct {
	expired atomic.Bool
	timer   clockwork.Timer
}

func startWatchdog(clock gooseberrypass.Clock, d time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{}
	w.timer = clock.AfterFunc(d, func() {
		w.expired.Store(true)
		cancel()
	})
	return w
}

func (w *watchdog) fired() bool           { return w.expired.Load() }
func (w *watchdog) reset(d time.Duration) { w.timer.Reset(d) }
func (w *watchdog) stop()                 { w.timer.Stop() }
