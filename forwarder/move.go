package forwarder

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// defaultMoveWait is how long a stream may pause while it moves if its route does not limit
// the pauses between events.
const defaultMoveWait = 300 * time.Millisecond

// move lets a stream whose endpoint is about to load a version, and waits for its streams to
// end, go on at another one, and reports whether it does. It goes on after the last event
// delivered, on the same version. The endpoint's further events are held back until the other
// one has begun, and delivered if it has not in time.
func (r *request) move(a *attempt) bool {
	now := r.forwarder.clock.Now()
	if r.stays || now.Before(r.nextMove) {
		return false
	}
	ticket := r.reserveMove(a)
	if ticket == nil {
		return false
	}
	wait := r.moveWait()
	r.nextMove = now.Add(2 * wait)
	r.mu.Lock()
	h := r.startHandover(a, ticket)
	r.mu.Unlock()
	timer := r.forwarder.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.begun:
	case <-timer.Chan():
		r.stays = true // another try would hold back its events again
	case <-r.ctx.Done():
	}
	if r.arrived(true) {
		return true
	}
	r.forwarder.logger.WithFields(logrus.Fields{fieldRequest: r.proxyRequest.ID, fieldEndpoint: a.ticket.Endpoint().ID, "in_time": !r.stays}).Info("stream stays at its endpoint")
	return false
}

// moveWait returns how long a stream may pause while it moves.
func (r *request) moveWait() time.Duration {
	if r.route.EventGap == 0 {
		return defaultMoveWait
	}
	return time.Duration(r.forwarder.settings.MoveWaitFactor * float64(r.route.EventGap))
}

// reserveMove reserves a place for a stream that is to move, nil if none is free.
func (r *request) reserveMove(from *attempt) *balancer.Ticket {
	f := r.forwarder
	if !r.route.Resumable || r.version == 0 || r.lastEvent < 0 || !r.mayHandOver() || !f.budget.hasRoom(f.clock.Now(), r.service, f.chooser.Entries(), f.settings.MoveShare) {
		return nil
	}
	query := r.endpointQuery()
	query.Objective, query.Resumed, query.Staying = r.route.EventGap, false, true // a stream must neither wait for a slot nor have to move again
	query.Tried = append(slices.Clone(query.Tried), from.ticket.Endpoint().ID)
	ticket, err := f.chooser.Choose(query)
	if err != nil {
		return nil
	}
	if !f.budget.allowMove(f.clock.Now(), r.service, f.chooser.Entries()) {
		ticket.Done(balancer.ResultInconclusive)
		return nil
	}
	f.metrics.moves.Inc()
	f.logger.WithFields(logrus.Fields{
		fieldRequest: r.proxyRequest.ID, fieldEndpoint: from.ticket.Endpoint().ID, "to": ticket.Endpoint().ID, "event": r.lastEvent, "version": r.version,
	}).Info("stream moves to another endpoint")
	return ticket
}
