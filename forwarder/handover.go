package forwarder

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// Causes of withdrawing an attempt during a handover.
var (
	errNotNeeded = errors.New("the endpoint before it goes on")
	errTakenOver = errors.New("another endpoint has taken over")
)

// A handover begins an attempt beside the current one, whose endpoint is about to load a
// version or gives no sign. The current one is ended only once the other has begun its
// answer: an endpoint may refuse a request although it seemed to have room, and one that is
// silent may go on.
type handover struct {
	begun   chan struct{} // closed once next has begun or failed
	current *attempt
	failed  *failure // of next
	next    *attempt
	state   handoverState // guarded by request.mu
}

// A handoverState says which attempt of a handover goes on.
type handoverState int

// The states of handovers.
const (
	handoverPending   handoverState = iota
	handoverAbandoned               // the current attempt goes on
	handoverDone                    // next has begun and replaces the current attempt
	handoverFailed                  // next has failed
	handoverForced                  // the current attempt has failed, next is all there is
)

// startHandover begins an attempt beside the current one. The caller holds r.mu.
func (r *request) startHandover(current *attempt, ticket *balancer.Ticket) *handover {
	current.silence.stop()
	current.loss.stop()
	r.attempts++
	h := &handover{begun: make(chan struct{}), current: current, next: r.newAttempt(r.ctx, ticket)}
	r.handover = h
	go h.run()
	return h
}

// run begins the new attempt and ends the current one if it has.
func (h *handover) run() {
	r := h.next.request
	failed := h.begin()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(h.begun)
	h.failed = failed
	switch {
	case h.state == handoverAbandoned && failed == nil:
		h.next.end(balancer.ResultInconclusive)
	case h.state == handoverAbandoned:
		if h.next.progress == progressNone {
			r.unbegun.Add(1)
		}
		h.next.end(failed.result)
	case h.state == handoverPending && failed == nil:
		h.state = handoverDone
		h.current.cancel(errTakenOver)
	case h.state == handoverPending:
		h.state = handoverFailed
		if r.awaited == h.current {
			r.settleHandover()
			h.current.silence.reset(r.forwarder.settings.ResumePoll, nil)
			h.current.watchLoss()
		}
	}
}

// settleHandover takes what a failed handover has revealed into the request. The caller holds
// r.mu.
func (r *request) settleHandover() {
	h := r.handover
	if h == nil || h.state != handoverFailed {
		return
	}
	r.handover = nil
	r.absorb(h.next, h.failed)
	r.logFailure(h.next, h.failed, "")
	h.next.end(h.failed.result)
}

// begin begins the new attempt. A panic is its failure: it must not end the process, and the
// current attempt goes on.
func (h *handover) begin() (failed *failure) { //nolint:nonamedreturns // set by the deferred function
	defer h.next.request.containPanic(func() {
		h.next.mayHaveRun = true
		failed = &failure{err: unknown(gooseberrypass.ReasonUpstream, "internal error"), result: balancer.ResultInconclusive}
	})
	return h.next.beginBeside()
}

// containPanic recovers from a panic beside the goroutine of the request, which would end the
// process. It must be deferred. then is called after a panic.
func (r *request) containPanic(then func()) {
	p := recover()
	if p == nil {
		return
	}
	r.forwarder.logger.WithFields(logrus.Fields{fieldRequest: r.proxyRequest.ID, "panic": p, "stack": string(debug.Stack())}).Error("panic beside a request contained")
	then()
}

// await marks that the request goroutine waits for data of an attempt. Until arrived, silence
// of the endpoint may begin a handover.
func (r *request) await(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited = a
	r.settleHandover()
	if r.handover != nil || !r.mayRunAgain() {
		return
	}
	if !a.silentAt.IsZero() {
		a.silence.reset(r.forwarder.clock.Until(a.silentAt), nil)
	}
	a.watchLoss()
}

// arrived ends await. It reports whether another attempt has taken over. If not, and the
// attempt goes on, a pending handover is not needed.
func (r *request) arrived(goesOn bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.awaited; a != nil {
		a.silence.stop()
		a.loss.stop()
		r.awaited = nil
	}
	r.settleHandover()
	h := r.handover
	if h == nil || h.state == handoverDone {
		return h != nil
	}
	if goesOn {
		h.state = handoverAbandoned
		h.next.cancel(errNotNeeded)
		r.handover = nil
		r.mayRun = true
	}
	return false
}

// handoverPending reports whether another attempt may take over.
func (r *request) handoverPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handover != nil
}

// takeOver returns the handover to the attempt that replaces a failed one, nil if there is
// none. That attempt may not have begun yet.
func (r *request) takeOver() *handover {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settleHandover()
	h := r.handover
	if h != nil && h.state == handoverPending {
		h.state = handoverForced
	}
	r.handover = nil
	return h
}
