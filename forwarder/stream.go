package forwarder

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// deliverStream delivers each event of a stream as it arrives.
func (r *request) deliverStream(a *attempt) *failure {
	if r.route.Resumable {
		a.reply.Header.Del("Content-Length") // the rest may come from another endpoint
	}
	var held []event // without an index, that would begin the answer during a handover
	for {
		ev, ended, failed := r.receiveEvent(a)
		if failed != nil {
			return failed
		}
		if ended {
			if failed := r.deliverEvents(a, held); failed != nil {
				return failed
			}
			r.start(a.reply)
			return nil
		}
		held = append(held, ev)
		content := r.isContent(ev)
		if !content && !r.started && r.handoverPending() {
			if len(held) > maxEventsAhead {
				return a.streamFailure(errTooManyEvents)
			}
			continue
		}
		loading := a.ticket.EventReceived()
		if failed := r.deliverEvents(a, held); failed != nil {
			return failed
		}
		held = held[:0]
		if !content {
			continue
		}
		if loading && r.move(a) {
			return takenOver(balancer.ResultInconclusive)
		}
		a.begun()
		a.silentAt = r.nextSilence()
	}
}

// receiveEvent waits for the next event of a stream, or its end.
func (r *request) receiveEvent(a *attempt) (event, bool, *failure) {
	r.await(a)
	ev, err := a.readEvent()
	ended := errors.Is(err, io.EOF)
	if r.arrived(ended || err == nil && r.isContent(ev)) {
		return ev, false, takenOver(balancer.ResultTimedOut)
	}
	if err != nil && !ended {
		return ev, false, a.streamFailure(err)
	}
	return ev, ended, nil
}

// deliverEvents delivers the events that the caller does not have yet.
func (r *request) deliverEvents(a *attempt, events []event) *failure {
	for _, ev := range events {
		if a.repeats(ev) {
			continue
		}
		if failed := r.deliverEvent(a, ev); failed != nil {
			return failed
		}
	}
	return nil
}

// isContent reports whether an event shows that its endpoint is at work. One without an index
// may be all that a stalled endpoint sends.
func (r *request) isContent(e event) bool { return e.id >= 0 || !r.route.Resumable }

// deliverEvent delivers one event, which must follow the last one.
func (r *request) deliverEvent(a *attempt, e event) *failure {
	if err := a.checkFollows(e, r.lastEvent); err != nil {
		return a.streamFailure(err)
	}
	if r.started && a.reply.ModelVersion != r.version {
		return otherVersion()
	}
	r.start(a.reply)
	if err := r.w.Write(e.raw); err != nil {
		return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultInconclusive}
	}
	if e.id >= 0 {
		r.lastEvent, r.deliveredAt = e.id, r.forwarder.clock.Now()
	}
	return nil
}

// otherVersion returns the failure of a stream that would go on with another version.
func otherVersion() *failure {
	return &failure{err: unknown(gooseberrypass.ReasonCut, "another version goes on"), result: balancer.ResultInconclusive}
}

// nextSilence returns when the next event of a stream is overdue, zero if another endpoint
// cannot continue it.
func (r *request) nextSilence() time.Time {
	if !r.mayRunAgain() || r.route.EventGap == 0 {
		return time.Time{}
	}
	f := r.forwarder
	return f.clock.Now().Add(time.Duration(f.settings.EventTimeoutFactor * float64(r.route.EventGap)))
}
