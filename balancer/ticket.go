package balancer

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Ticket is the place of one dispatch at its endpoint. It is held until Done.
type Ticket struct {
	balancer        *Balancer
	done            bool
	endpoint        *endpoint
	expectedVersion int
	inFlight        int
	model           string                 // "" for a plain service
	mustBegin       time.Time              // latest begin on the endpoint's version, zero for none
	onMustBegin     func(latest time.Time) // set by WatchMustBegin
	pace            float64                // of the endpoint, by the head of the answer, 0 if it named none
	target          gooseberrypass.Endpoint
	unread          int // prompt tokens, 0 after the first event
	version         int // version of the model at the endpoint when it was chosen
}

// Endpoint returns the chosen endpoint.
func (t *Ticket) Endpoint() gooseberrypass.Endpoint { return t.target }

// ExpectedVersion returns the version that the endpoint must have, 0 for any.
func (t *Ticket) ExpectedVersion() int { return t.expectedVersion }

// InFlight returns the number of requests from all entries that were assumed at
// the endpoint when it was chosen.
func (t *Ticket) InFlight() int { return t.inFlight }

// WatchMustBegin calls f with the time at which the endpoint must have begun the request
// at the latest, as its version is out of use then: now, if a newer version is wanted, and
// whenever one named later makes that time known or earlier. f must not call the balancer.
// The function that is returned ends the calls; it must be called.
func (t *Ticket) WatchMustBegin(f func(latest time.Time)) func() {
	b := t.balancer
	if t.model == "" {
		return func() {}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t.onMustBegin = f
	b.waiting[t] = struct{}{}
	t.updateMustBegin()
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.waiting, t)
	}
}

// updateMustBegin tells the watcher if the latest begin has become known or earlier.
func (t *Ticket) updateMustBegin() {
	latest := t.balancer.mustBegin(t.model, t.version)
	if latest.IsZero() || !t.mustBegin.IsZero() && !latest.Before(t.mustBegin) {
		return
	}
	t.mustBegin = latest
	t.onMustBegin(latest)
}

// HeadReceived records the time that the endpoint took to the head of its answer.
func (t *Ticket) HeadReceived(took time.Duration) {
	b := t.balancer
	b.locked(func() {
		t.promptRead()
		now := b.clock.Now()
		t.endpoint.lastSign = now
		t.endpoint.probation = false
		b.endProbe(now, t, true)
		if t.pace > 0 {
			took = time.Duration(float64(took) / t.pace) // the average has what the pace does not explain
		}
		smooth(&t.endpoint.headTime, took)
		average := b.headTimes[t.endpoint.listed.Service]
		smooth(&average, took)
		b.headTimes[t.endpoint.listed.Service] = average
	})
	b.reportCapacity(false, t.target.Service)
}

// EventReceived records that the endpoint sent another event of its answer. It
// reports whether the endpoint waits for its streams to end, to load a version.
func (t *Ticket) EventReceived() bool {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	t.endpoint.lastSign = now
	return b.loading(now, t.target.Address)
}

// EndpointLost reports whether the endpoint seems to be gone: no entry with requests
// there hears from it. If that is true of most endpoints, this process was suspended or
// its link failed, and none counts as lost.
func (t *Ticket) EndpointLost() bool {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.settings.StallTimeout <= 0 || !t.endpoint.lost(now, b.stallTimeout(t.endpoint)) {
		return false
	}
	p := b.services[t.target.Service]
	if p == nil {
		return true
	}
	used, silent := 0, 0
	for _, group := range [][]*endpoint{p.lapsed, p.local, p.remote} {
		for _, e := range group {
			if e.own.Requests == 0 {
				continue
			}
			used++
			if e.stalled(now, b.stallTimeout(e)) {
				silent++
			}
		}
	}
	return used == 1 || 2*silent <= used
}

// promptRead removes the prompt from the unread load, because it was read or never will be.
func (t *Ticket) promptRead() {
	t.endpoint.own.UnreadTokens -= t.unread
	t.unread = 0
}

// smoothing is the weight of a new sample in an exponential moving average.
const smoothing = 0.1

// smooth adds a sample to an exponential moving average, 0 for one without samples.
func smooth(average *time.Duration, took time.Duration) {
	if *average == 0 {
		*average = took
		return
	}
	*average += time.Duration(smoothing * float64(took-*average))
}

// Done releases the place and records the result. Later calls have no effect.
func (t *Ticket) Done(result Result) {
	b := t.balancer
	ended := false
	b.locked(func() {
		if t.done {
			return
		}
		t.done, ended = true, true
		t.promptRead()
		t.endpoint.own.Requests--
		now := b.clock.Now()
		b.endProbe(now, t, false)
		t.endpoint.record(now, result, b.settings)
	})
	if ended {
		b.reportCapacity(true, t.target.Service)
	}
}
