package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// deliverStream delivers each event of a stream as it arrives, and calls begun after the
// first one.
func (r *request) deliverStream(ctx context.Context, reply *gooseberrypass.Reply, ticket *balancer.Ticket, watch *watchdog, begun func()) *failure {
	if r.route.Resumable {
		reply.Header.Del("Content-Length") // the rest may come from another endpoint
	}
	events := newEventReader(reply.Body)
	resumed := r.started
	for {
		event, err := r.nextEvent(events, reply)
		if errors.Is(err, io.EOF) {
			r.start(reply)
			return nil
		}
		if err != nil {
			return r.streamFailure(ctx, err)
		}
		loading := ticket.EventReceived()
		if !event.comment {
			r.recordProgress()
		}
		if r.delivered(event) {
			continue
		}
		if resumed && event.id < 0 && !event.comment {
			return r.streamFailure(ctx, errors.New("resumed stream has an event without an index"))
		}
		if failed := r.deliverEvent(ctx, reply, event); failed != nil {
			return failed
		}
		if loading && r.reserveMove(ticket) {
			return &failure{err: unknown(gooseberrypass.ReasonCut, "the stream moves to another endpoint"), moved: true, result: balancer.ResultInconclusive}
		}
		if event.id >= 0 || !r.route.Resumable {
			begun()
			watch.reset(r.eventTimeout(), context.DeadlineExceeded) // an event without an index may be all that a stalled endpoint sends
		}
	}
}

// nextEvent returns the next event of a stream. A stream that has no events and ends with
// its connection has broken off: a crash after the head looks the same. Only an endpoint
// that names no version may have nothing left of a stream that is resumed.
func (r *request) nextEvent(events *eventReader, reply *gooseberrypass.Reply) (event, error) {
	ev, err := events.next()
	if errors.Is(err, io.EOF) && reply.Unframed && r.progress != progressContent && (r.lastEvent < 0 || reply.ModelVersion != 0) {
		return ev, io.ErrUnexpectedEOF
	}
	return ev, err
}

// delivered reports whether an event was delivered before the stream was resumed.
func (r *request) delivered(e event) bool {
	return e.id >= 0 && r.lastEvent >= 0 && e.id <= r.lastEvent
}

// deliverEvent delivers one event, which must follow the last one.
func (r *request) deliverEvent(ctx context.Context, reply *gooseberrypass.Reply, e event) *failure {
	if e.id >= 0 && r.lastEvent >= 0 && e.id != r.lastEvent+1 {
		return r.streamFailure(ctx, errors.Errorf("event %d after %d", e.id, r.lastEvent))
	}
	if r.started && reply.ModelVersion != r.version {
		return otherVersion()
	}
	r.start(reply)
	if err := r.w.Write(e.raw); err != nil {
		return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultInconclusive}
	}
	if e.id >= 0 {
		r.lastEvent = e.id
	}
	return nil
}

// otherVersion returns the failure of a stream that would go on with another version.
func otherVersion() *failure {
	return &failure{err: unknown(gooseberrypass.ReasonCut, "another version goes on"), result: balancer.ResultInconclusive}
}

// eventTimeout returns how long the next event of a stream may take. A stream
// that may be resumed gets less time, so that another endpoint can continue it.
func (r *request) eventTimeout() time.Duration {
	f := r.forwarder
	left := r.timeLeft()
	if !r.route.Resumable || r.attempts >= r.route.MaxAttempts || r.route.EventGap == 0 {
		return left
	}
	return min(left, time.Duration(f.settings.EventTimeoutFactor*float64(r.route.EventGap)))
}

// streamFailure returns the failure of a stream that broke off.
func (r *request) streamFailure(ctx context.Context, err error) *failure {
	f := r.connectionFailure(ctx, &gooseberrypass.DispatchError{Err: errors.Wrap(err, "stream"), Sent: true})
	f.err.Reason = gooseberrypass.ReasonCut
	return f
}
