package router

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Ticket is the permission to send one attempt to an endpoint.
type Ticket struct {
	endpoint *endpoint
	flight   *flight
	member   gooseberrypass.Member
	once     sync.Once
	priority gooseberrypass.Priority
	router   *Router
	send     *send
	target   gooseberrypass.ID
	weights  gooseberrypass.Digest
}

// Member returns the endpoint chosen.
func (t *Ticket) Member() gooseberrypass.Member { return t.member }

// Service returns how long attempts for the target took lately, 0 if unknown.
func (t *Ticket) Service() time.Duration {
	t.router.mu.Lock()
	defer t.router.mu.Unlock()
	return t.router.services[t.target]
}

// Weights returns the version that the endpoint is to answer with.
func (t *Ticket) Weights() gooseberrypass.Digest { return t.weights }

// Done tells what the attempt showed. Only the first call counts.
func (t *Ticket) Done(result Result) {
	t.once.Do(func() { t.router.done(t, result) })
}

func (r *Router) done(t *Ticket, result Result) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	before := t.endpoint.ejected()
	t.endpoint.end(now, t.send, result)
	t.flight.end(t.priority)
	if !before && t.endpoint.ejected() {
		r.metrics.ejections.Inc()
	}
	r.metrics.results.WithLabelValues(result.String()).Inc()
	if result != ResultAnswered {
		return
	}
	took := now.Sub(t.send.start)
	if service, ok := r.services[t.target]; ok {
		took = service + time.Duration(smoothing*float64(took-service))
	}
	r.services[t.target] = took
}

// String returns the result as counters name it.
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
