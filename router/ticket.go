package router

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Ticket is a chosen endpoint to which one attempt may be sent. The attempt
// counts as in flight until Done is called.
type Ticket struct {
	endpoint *endpointState
	inFlight *inFlightCounts
	member   gooseberrypass.Member
	once     sync.Once
	priority gooseberrypass.Priority
	router   *Router
	sent     *sentAttempt
	target   gooseberrypass.ID
	weights  gooseberrypass.Digest
}

// Member returns the chosen endpoint.
func (t *Ticket) Member() gooseberrypass.Member { return t.member }

// ServiceTime returns the moving average of the service time of attempts for the
// target, or 0 if it is unknown.
func (t *Ticket) ServiceTime() time.Duration {
	t.router.mu.Lock()
	defer t.router.mu.Unlock()
	return t.router.serviceTimes[t.target]
}

// Weights returns the digest of the version that the endpoint must answer with,
// or zero for a call.
func (t *Ticket) Weights() gooseberrypass.Digest { return t.weights }

// Done reports the result of the attempt. Calls after the first have no effect.
func (t *Ticket) Done(result Result) {
	t.once.Do(func() { t.router.done(t, result) })
}

func (r *Router) done(t *Ticket, result Result) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	wasEjected := t.endpoint.ejected()
	t.endpoint.end(now, t.sent, result)
	t.inFlight.end(t.priority)
	if !wasEjected && t.endpoint.ejected() {
		r.metrics.ejections.Inc()
	}
	r.metrics.results.WithLabelValues(result.String()).Inc()
	if result != ResultAnswered {
		return
	}
	took := now.Sub(t.sent.start)
	if service, ok := r.serviceTimes[t.target]; ok {
		took = service + time.Duration(ewmaWeight*float64(took-service))
	}
	r.serviceTimes[t.target] = took
}

// String returns the label of the result in metrics.
func (r Result) String() string {
	switch r {
	case ResultAnswered:
		return "answered"
	case ResultBusy:
		return "busy"
	case ResultFailed:
		return "failed"
	case ResultLate:
		return "late"
	case ResultLeaving:
		return "leaving"
	case ResultUnready:
		return "unready"
	default:
		return "dropped"
	}
}
