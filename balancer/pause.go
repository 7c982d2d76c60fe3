package balancer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// pauseSpread is the time over which callers are told to come back once a pause ends.
const pauseSpread = 500 * time.Millisecond

// A pause is the time for which an endpoint wants no requests from this entry. After it the
// endpoint gets one request, and further ones once it has answered that.
type pause struct {
	probe       *Ticket // the request after the pause, nil if there is none
	startMillis int64   // start of the endpoint that asked for it
	until       time.Time
}

// recordPause records that the endpoint asked for a pause. The longest one counts.
func (b *Balancer) recordPause(now time.Time, t *Ticket, d time.Duration) {
	until := now.Add(d)
	p, ok := b.pauses[t.target.ID]
	if !ok || p.startMillis < t.target.StartMillis {
		p = &pause{startMillis: t.target.StartMillis}
		b.pauses[t.target.ID] = p
	}
	if !now.Before(p.until) {
		b.logger.WithFields(logrus.Fields{fieldEndpoint: t.target.ID, "pause": d.String()}).Info("endpoint asks for a pause")
	}
	if until.After(p.until) {
		p.until = until
	}
}

// pauseOf returns the pause of an endpoint, nil if there is none since its start.
func (b *Balancer) pauseOf(e *endpoint) *pause {
	p, ok := b.pauses[e.listed.ID]
	if !ok || p.startMillis < e.listed.StartMillis {
		return nil
	}
	return p
}

// pauseState returns the state that the pause of an endpoint puts it in.
func (b *Balancer) pauseState(now time.Time, e *endpoint) state {
	switch p := b.pauseOf(e); {
	case p == nil:
		return stateAvailable
	case now.Before(p.until):
		return statePaused
	case p.probe != nil:
		return stateFull
	default:
		return stateAvailable
	}
}

// pauseLeft returns how long an endpoint wants no requests, and a random time beyond that,
// so that those who are told do not all come back at once.
func (b *Balancer) pauseLeft(now time.Time, e *endpoint) time.Duration {
	p := b.pauseOf(e)
	if p == nil {
		return 0
	}
	return p.until.Sub(now) + time.Duration(b.rng.Float64()*float64(pauseSpread))
}

// startProbe makes a request the first one after a pause, if there was one.
func (b *Balancer) startProbe(t *Ticket) {
	if p := b.pauseOf(t.endpoint); p != nil {
		p.probe = t
	}
}

// endProbe records that a request has ended or, with answered, that the endpoint answers
// again.
func (b *Balancer) endProbe(now time.Time, t *Ticket, answered bool) {
	p, ok := b.pauses[t.target.ID]
	if !ok {
		return
	}
	if p.probe == t {
		p.probe = nil
	}
	if answered && !now.Before(p.until) {
		delete(b.pauses, t.target.ID)
	}
}

// expirePauses forgets the pauses of endpoints that have had no request since.
func (b *Balancer) expirePauses(now time.Time) {
	for id, p := range b.pauses {
		if p.probe == nil && now.Sub(p.until) >= b.settings.AdvisoryTTL {
			delete(b.pauses, id)
		}
	}
}
