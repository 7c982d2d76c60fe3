package balancer

import "time"

// releaseShare is the share of VersionTimeout before the end of a version within which requests
// for it are held back until their begin has arrived. Behind squeezed links some took more than
// two seconds.
const releaseShare = 0.5

// releaseGrowth is the ratio of the time that the rest of a request may take to its endpoint to
// the time that its begin took. The queue of a link that has just been squeezed grows.
const releaseGrowth = 2

// Release returns the function that decides, from the time for which the begin of the request
// has been on its way, whether the rest may be sent: it must arrive early enough to begin before
// the endpoint's version goes out of use. It returns nil if that is far off.
func (t *Ticket) Release() func(took time.Duration) bool {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	end := b.versionEnd(t.model, t.version)
	if end.IsZero() || b.clock.Until(end) > time.Duration(releaseShare*float64(b.settings.VersionTimeout)) {
		return nil
	}
	return t.mayArrive
}

// mayArrive is the function that Release returns. VersionMargin less VersionCutoff is left for
// the wait at the endpoint.
func (t *Ticket) mayArrive(took time.Duration) bool {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	arrival := b.clock.Now().Add(releaseGrowth * took)
	return !arrival.Add(b.settings.VersionMargin - b.settings.VersionCutoff).After(b.versionEnd(t.model, t.version))
}
