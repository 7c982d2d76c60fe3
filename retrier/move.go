package retrier

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass/router"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// moveTimeout is how long another endpoint may take to resume a stream.
const moveTimeout = 5 * time.Second

// move accepts an agent's offer to move a stream to another endpoint with the same
// weights. It returns the stream to read from: the target once its first piece or
// its end has arrived, else the current one, which continues until it is abandoned.
func (e *execution) move(ctx context.Context, current *stream, moved *wire.Moved) *stream {
	q := e.query()
	q.Avoid = append(slices.Clone(q.Avoid), current.ticket.Member().Listed.ID)
	q.Weights = current.ticket.Weights()
	ticket, err := e.retrier.chooser.Choose(q)
	remaining := e.req.Deadline().Sub(e.retrier.clock.Now())
	if err != nil {
		return current
	}
	if ticket.Member().Listed.ID == current.ticket.Member().Listed.ID || remaining <= 0 {
		ticket.Done(router.ResultDropped)
		return current
	}
	attempt := e.wireAttempt(ticket, e.retrier.newID(), remaining)
	attempt.From = moved.GetNext()
	attempt.KvCache = moved.GetKvCache()
	target, err := e.open(ctx, ticket, attempt, min(remaining, moveTimeout))
	for err == nil && target.readAhead == nil {
		var frame *wire.Frame
		frame, err = target.next()
		if err == nil && frame.GetStarted() == nil {
			target.readAhead = frame
		}
	}
	if err != nil || target.readAhead.GetFailed() != nil || target.readAhead.GetMoved() != nil {
		e.abandon(ctx, target, router.ResultDropped)
		return current
	}
	target.watch.reset(stallTimeout)
	e.abandon(ctx, current, router.ResultLeaving)
	e.retrier.metrics.moves.Inc()
	return target
}

// abandon ends a stream that is no longer read, and cancels its attempt.
func (e *execution) abandon(ctx context.Context, s *stream, result router.Result) {
	s.close()
	s.ticket.Done(result)
	e.cancel(ctx, s.id, s.ticket.Member().Listed)
}
