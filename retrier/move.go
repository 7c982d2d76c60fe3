package retrier

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass/router"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// moveWait is how long another endpoint may take to go on with a stream.
const moveWait = 5 * time.Second

// move takes up the offer to go on with a stream at another endpoint with the
// same weights. It returns the stream to read on: the new one once its first
// frame has come, else the old one, which goes on until it is ended.
func (r *run) move(ctx context.Context, old *stream, moved *wire.Moved) *stream {
	q := r.query()
	q.Avoid = append(slices.Clone(q.Avoid), old.ticket.Member().Listed.ID)
	q.Weights = old.ticket.Weights()
	ticket, err := r.retrier.chooser.Choose(q)
	left := r.req.Deadline().Sub(r.retrier.clock.Now())
	if err != nil {
		return old
	}
	if ticket.Member().Listed.ID == old.ticket.Member().Listed.ID || left <= 0 {
		ticket.Done(router.ResultDropped)
		return old
	}
	attempt := r.wireAttempt(ticket, r.retrier.newID(), left)
	attempt.From = moved.GetNext()
	attempt.KvCache = moved.GetKvCache()
	moving, err := r.open(ctx, ticket, attempt, min(left, moveWait))
	for err == nil && moving.first == nil {
		var frame *wire.Frame
		frame, err = moving.next()
		if err == nil && frame.GetStarted() == nil {
			moving.first = frame
		}
	}
	if err != nil || moving.first.GetFailed() != nil || moving.first.GetMoved() != nil {
		r.drop(ctx, moving, router.ResultDropped)
		return old
	}
	moving.watch.reset(stallLimit)
	r.drop(ctx, old, router.ResultLeaving)
	r.retrier.metrics.moves.Inc()
	return moving
}

// drop ends a stream that is not read on.
func (r *run) drop(ctx context.Context, s *stream, result router.Result) {
	s.close()
	s.ticket.Done(result)
	r.cancel(ctx, s.id, s.ticket.Member().Listed)
}
