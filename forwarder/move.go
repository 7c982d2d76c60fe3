package forwarder

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// reserveMove reserves a place for a stream whose endpoint is about to load a version
// and waits for its streams to end, and reports whether it did. The stream goes on
// after the last event delivered, on the same version, so the place is reserved
// before the stream is cut; where none is free, it stays and the endpoint waits.
func (r *request) reserveMove(from *balancer.Ticket) bool {
	f := r.forwarder
	if !r.route.Resumable || r.version == 0 || r.lastEvent < 0 || r.attempts >= r.route.MaxAttempts || f.tracker.isQuarantined(r.digest) {
		return false
	}
	query := r.endpointQuery()
	query.Objective, query.Resumed, query.Staying = r.route.EventGap, false, true // a stream must neither wait for a slot nor have to move again
	query.Tried = append(slices.Clone(r.tried), from.Endpoint().ID)
	ticket, err := f.chooser.Choose(query)
	if err != nil {
		return false
	}
	if !f.budget.allowMove(f.clock.Now(), r.service, f.chooser.Entries()) {
		ticket.Done(balancer.ResultInconclusive)
		return false
	}
	f.metrics.moves.Inc()
	f.logger.WithFields(logrus.Fields{
		fieldRequest: r.proxyRequest.ID, fieldEndpoint: from.Endpoint().ID, "to": ticket.Endpoint().ID, "event": r.lastEvent, "version": r.version,
	}).Info("stream moves to another endpoint")
	r.moveTo = ticket
	return true
}

// releaseMove gives back a reserved place that will not be used.
func (r *request) releaseMove() {
	if r.moveTo == nil {
		return
	}
	r.moveTo.Done(balancer.ResultInconclusive)
	r.moveTo = nil
}
