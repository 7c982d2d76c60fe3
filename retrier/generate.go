package retrier

import (
	"context"
	"io"
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

// generate makes one attempt at a stream of tokens.
func (r *run) generate(ctx context.Context, ticket *router.Ticket, id string, left time.Duration) *failure {
	attempt := r.wireAttempt(ticket, id, left)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := startWatchdog(r.retrier.clock, firstWait(left, ticket.Service()), cancel)
	defer watch.stop()
	frames, err := r.retrier.dispatcher.Generate(ctx, ticket.Member().Listed, attempt)
	if err != nil {
		return r.broken(ticket, watch, err)
	}
	defer func() { _ = frames.Close() }()
	checker := newFrameChecker(attempt)
	for {
		frame, err := frames.Next()
		if err != nil {
			return r.broken(ticket, watch, cut(err))
		}
		if err := checker.check(frame); err != nil {
			r.retrier.metrics.badFrames.Inc()
			return r.broken(ticket, watch, err)
		}
		done, f := r.deliver(ticket, watch, frame)
		if done || f != nil {
			return f
		}
	}
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
	if r.resume != nil {
		attempt.From = r.resume.next
		attempt.KvCache = r.resume.kvCache
	}
	return attempt
}

// alone reports whether the request must run alone on its endpoint, as it may
// be what broke the last one.
func (r *run) alone() bool {
	return r.cuts > 0 || r.retrier.suspects.Alone(r.req.Digest())
}

// deliver hands an admitted frame to the caller. It reports whether the answer
// is whole.
func (r *run) deliver(ticket *router.Ticket, watch *watchdog, frame *wire.Frame) (bool, *failure) {
	switch kind := frame.GetKind().(type) {
	case *wire.Frame_Piece:
		watch.stop()
		if err := r.start(ticket.Weights()); err != nil {
			return false, r.gone(err)
		}
		r.resume = nil
		if err := r.answer.Write(kind.Piece.GetText()); err != nil {
			return false, r.gone(err)
		}
		watch.reset(stallLimit)
	case *wire.Frame_End:
		if err := r.start(ticket.Weights()); err != nil {
			return false, r.gone(err)
		}
		if err := r.answer.End(); err != nil {
			return false, r.gone(err)
		}
		return true, nil
	case *wire.Frame_Failed:
		return false, refusal(kind.Failed.GetOutcome(), kind.Failed.GetReason(), kind.Failed.GetDetail(),
			time.Duration(kind.Failed.GetRetryAfterMs())*time.Millisecond)
	case *wire.Frame_Moved:
		r.resume = &resumption{kvCache: kind.Moved.GetKvCache(), next: kind.Moved.GetNext(), weights: ticket.Weights()}
		r.retrier.metrics.moves.Inc()
		return false, &failure{result: router.ResultLeaving}
	}
	return false, nil
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
		return f
	case r.delivered:
		f.err.Reason = gooseberrypass.ReasonCut
	case watch.fired():
		f.result = router.ResultLate
	case errors.Is(err, io.ErrUnexpectedEOF):
		r.retrier.suspects.Cut(r.req.Digest(), ticket.Member().Listed.ID, r.alone())
		r.cuts++
		f.final = r.cuts >= maxCuts
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
	case gooseberrypass.ReasonOverloaded, gooseberrypass.ReasonLimited:
		f.result = router.ResultBusy
	case gooseberrypass.ReasonLeaving:
		f.result = router.ResultLeaving
	case gooseberrypass.ReasonDeadline, gooseberrypass.ReasonNotLoaded:
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
