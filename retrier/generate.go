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

// stallLimit is how long a stream may pause between two pieces.
const stallLimit = 15 * time.Second

// errLate is the failure of an attempt that was given up before its frame came.
var errLate = errors.New("no frame in time")

// A stream is the answer to one attempt, as it comes.
type stream struct {
	cancel  context.CancelFunc
	checker *frameChecker
	first   *wire.Frame // read ahead, nil for none
	frames  FrameStream
	id      string
	ticket  *router.Ticket
	watch   *watchdog
}

// open sends one attempt. Its stream must be closed.
func (r *run) open(ctx context.Context, ticket *router.Ticket, attempt *wire.Attempt, wait time.Duration) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{
		cancel:  cancel,
		checker: newFrameChecker(attempt),
		id:      attempt.GetAttemptId(),
		ticket:  ticket,
		watch:   startWatchdog(r.retrier.clock, wait, cancel),
	}
	var err error
	s.frames, err = r.retrier.dispatcher.Generate(ctx, ticket.Member().Listed, attempt)
	return s, err
}

// next returns the next frame that belongs to the answer.
func (s *stream) next() (*wire.Frame, error) {
	if frame := s.first; frame != nil {
		s.first = nil
		return frame, nil
	}
	frame, err := s.frames.Next()
	if err != nil {
		return nil, cut(err)
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

// generate makes one attempt at a stream of tokens. The stream may move to
// other endpoints on its way.
func (r *run) generate(ctx context.Context, ticket *router.Ticket, id string, left time.Duration) *failure {
	s, err := r.open(ctx, ticket, r.wireAttempt(ticket, id, left), firstWait(left, ticket.Service()))
	defer func() { s.close() }()
	for err == nil {
		var frame *wire.Frame
		if frame, err = s.next(); err == nil && s.watch.fired() {
			err = errLate
		}
		if err != nil {
			break
		}
		if moved := frame.GetMoved(); moved != nil {
			s = r.move(ctx, s, moved)
			continue
		}
		done, f := r.deliver(s, frame)
		if done || f != nil {
			r.finish(ctx, s.ticket, f)
			return f
		}
	}
	if errors.Is(err, ErrBadFrame) {
		r.retrier.metrics.badFrames.Inc()
	}
	f := r.broken(s.ticket, s.watch, err)
	r.finish(ctx, s.ticket, f)
	return f
}

func (r *run) wireAttempt(ticket *router.Ticket, id string, left time.Duration) *wire.Attempt {
	digest, weights := r.req.Digest(), ticket.Weights()
	attempt := &wire.Attempt{
		Account:       string(r.req.AccountID()),
		Alone:         r.alone(),
		AttemptId:     id,
		DeadlineMs:    max(left.Milliseconds(), 1),
		MaxTokens:     int64(r.req.MaxTokens()),
		Model:         string(r.req.TargetID()),
		Priority:      int32(r.req.Priority()),
		Prompt:        r.req.Body(),
		RequestDigest: digest[:],
		WeightsDigest: weights[:],
	}
	return attempt
}

// alone reports whether the request must run alone on its endpoint, as it may
// be what broke the last one.
func (r *run) alone() bool {
	return r.cuts > 0 || r.retrier.suspects.RunsAlone(r.req.Digest())
}

// deliver hands an admitted frame to the caller. It reports whether the answer
// is whole.
func (r *run) deliver(s *stream, frame *wire.Frame) (bool, *failure) {
	switch kind := frame.GetKind().(type) {
	case *wire.Frame_Piece:
		s.watch.stop()
		if err := r.start(s.ticket.Weights()); err != nil {
			return false, r.gone(err)
		}
		if err := r.answer.Write(kind.Piece.GetText()); err != nil {
			return false, r.gone(err)
		}
		s.watch.reset(stallLimit)
	case *wire.Frame_End:
		if err := r.start(s.ticket.Weights()); err != nil {
			return false, r.gone(err)
		}
		if err := r.answer.End(); err != nil {
			return false, r.gone(err)
		}
		return true, nil
	case *wire.Frame_Failed:
		return false, r.failed(s, kind.Failed)
	}
	return false, nil
}

// failed is the failure that a frame tells. After the start of an answer it is
// never "not run".
func (r *run) failed(s *stream, frame *wire.Failed) *failure {
	f := refusal(frame.GetOutcome(), frame.GetReason(), frame.GetDetail(), time.Duration(frame.GetRetryAfterMs())*time.Millisecond)
	if s.checker.started {
		f.err.Outcome = gooseberrypass.OutcomeUnknown
	}
	r.afterCut(s.ticket, f)
	return f
}

// afterCut notes an attempt that broke off, as its endpoint may have crashed
// for it: the request then runs once more, alone, and no more than that.
func (r *run) afterCut(ticket *router.Ticket, f *failure) {
	if f.err.Reason != gooseberrypass.ReasonCut || f.err.Outcome == gooseberrypass.OutcomeNotRun {
		return
	}
	r.retrier.suspects.AttemptInterrupted(r.req.Digest(), ticket.Member().Listed.ID)
	f.final = r.alone()
	r.cuts++
}

// start tells the caller which version answers, once.
func (r *run) start(weights gooseberrypass.Digest) error {
	if r.delivered {
		return nil
	}
	r.delivered = true
	return r.answer.Start(weights)
}

// broken is the failure of an attempt without a typed answer.
func (r *run) broken(ticket *router.Ticket, watch *watchdog, err error) *failure {
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
		r.afterCut(ticket, f)
	}
	if r.delivered {
		f.err.Reason = gooseberrypass.ReasonCut
	}
	return f
}

// gone is the failure to hand the answer to the caller, who has left.
func (r *run) gone(err error) *failure {
	return &failure{
		err:    &gooseberrypass.RequestError{Detail: "caller left: " + err.Error(), Reason: gooseberrypass.ReasonCut},
		final:  true,
		result: router.ResultDropped,
	}
}

// refusal is the failure that an agent reported.
func refusal(outcome, reason, detail string, retryAfter time.Duration) *failure {
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

// maxRetryAfter bounds the wait that an agent can ask of a caller.
const maxRetryAfter = time.Minute

// A watchdog cancels an attempt that stalls.
type watchdog struct {
	barked atomic.Bool
	timer  clockwork.Timer
}

func startWatchdog(clock gooseberrypass.Clock, d time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{}
	w.timer = clock.AfterFunc(d, func() {
		w.barked.Store(true)
		cancel()
	})
	return w
}

func (w *watchdog) fired() bool           { return w.barked.Load() }
func (w *watchdog) reset(d time.Duration) { w.timer.Reset(d) }
func (w *watchdog) stop()                 { w.timer.Stop() }
