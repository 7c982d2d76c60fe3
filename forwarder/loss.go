package forwarder

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
