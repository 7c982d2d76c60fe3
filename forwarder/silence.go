package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// endpointSilent looks for another endpoint for an attempt whose own gives no sign. Until
// there is one, or data arrives, it looks again.
func (r *request) endpointSilent(a *attempt) {
	defer r.containPanic(func() {})
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.forwarder.clock.Now()
	if r.awaited != a || r.handover != nil || a.silentAt.IsZero() || now.Before(a.silentAt) || !r.mayHandOver() {
		return
	}
	if !r.handOverSilent(a, now) {
		a.silence.reset(r.forwarder.settings.ResumePoll, nil)
	}
}

// mayHandOver reports whether the request may be sent to another endpoint beside its current attempt.
func (r *request) mayHandOver() bool {
	f := r.forwarder
	if !r.mayRunAgain() || f.tracker.isQuarantined(r.digest) || r.crashesEndpoints(nil) {
		return false
	}
	return r.deadline.IsZero() || f.clock.Now().Before(r.deadline)
}

// handOverSilent begins a handover from a silent endpoint, if another one has room and the
// retry budget allows it. The caller holds r.mu.
func (r *request) handOverSilent(a *attempt, now time.Time) bool {
	f := r.forwarder
	if !f.budget.hasRoom(now, r.service, f.chooser.Entries(), 1) { // a place that is not used counts against the limit of its endpoint
		return false
	}
	query := r.endpointQuery()
	query.Tried, query.Polled = append(query.Tried, a.ticket.Endpoint().ID), true
	ticket, err := f.chooser.Choose(query)
	if err != nil {
		return false
	}
	if !f.budget.allowRepeat(now, r.service, f.chooser.Entries()) {
		ticket.Done(balancer.ResultInconclusive)
		f.metrics.denied.Inc()
		return false
	}
	f.logger.WithFields(logrus.Fields{
		fieldRequest: r.proxyRequest.ID, fieldEndpoint: a.ticket.Endpoint().ID, "to": ticket.Endpoint().ID, "event": r.lastEvent, "ms": now.Sub(r.arrivedAt).Milliseconds(),
	}).Info("endpoint is silent, trying another one beside it")
	r.startHandover(a, ticket)
	return true
}

// watchLoss checks at intervals whether the endpoint of the attempt is lost.
func (a *attempt) watchLoss() {
	if poll := a.request.forwarder.settings.LossPoll; poll > 0 {
		a.loss.reset(poll, nil)
	}
}

// checkLoss looks for another endpoint for an attempt if no entry hears from its own. Without
// it the attempt would wait for the timeout of the head or of the next event, which allows
// for endpoints that are only slow.
func (r *request) checkLoss(a *attempt) {
	defer r.containPanic(func() {})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.awaited != a || r.handover != nil || !r.mayHandOver() {
		return
	}
	if !a.ticket.EndpointLost() || !r.handOverSilent(a, r.forwarder.clock.Now()) {
		a.watchLoss()
	}
}
