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
		r.await(a)
		ev, err := a.readEvent()
		content := err == nil && r.isContent(ev)
		ended := errors.Is(err, io.EOF)
		if r.arrived(content || ended) {
			return takenOver(balancer.ResultTimedOut)
		}
		if err != nil && !ended {
			return a.streamFailure(err)
		}
		if !ended {
			held = append(held, ev)
		}
		if !content && !ended && !r.started && r.handoverPending() {
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
		if ended {
			r.start(a.reply)
			return nil
		}
		if content && loading && r.move(a) {
			return takenOver(balancer.ResultInconclusive)
		}
		if content {
			a.begun()
			a.silentAt = r.nextSilence()
		}
	}
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
	if a.resumes && e.id < 0 && !e.comment {
		return a.streamFailure(errors.New("resumed stream has an event without an index"))
	}
	if e.id >= 0 && r.lastEvent >= 0 && e.id != r.lastEvent+1 {
		return a.streamFailure(errors.Errorf("event %d after %d", e.id, r.lastEvent))
	}
	if r.started && a.reply.ModelVersion != r.version {
		return otherVersion()
	}
	r.start(a.reply)
	if err := r.w.Write(e.raw); err != nil {
		return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultInconclusive}
	}
	if e.id >= 0 {
		r.lastEvent = e.id
	}
	r.deliveredAt = r.forwarder.clock.Now()
	return nil
}

// otherVersion returns the failure of a stream that would go on with another version.
func otherVersion() *failure {
	return &failure{err: unknown(gooseberrypass.ReasonCut, "another version goes on"), result: balancer.ResultInconclusive}
}

// nextSilence returns when the next event of a stream is overdue, zero if another endpoint
// cannot continue it.
func (r *request) nextSilence() time.Time {
	if !r.route.Resumable || r.runs() >= r.route.MaxAttempts || r.route.EventGap == 0 {
		return time.Time{}
	}
	f := r.forwarder
	return f.clock.Now().Add(time.Duration(f.settings.EventTimeoutFactor * float64(r.route.EventGap)))
}
