package forwarder

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// setRank sets the rank of a request for a service that is scheduled. Its engines learn the
// rank where the priorities of the routes differ.
func (r *request) setRank(d *gooseberrypass.Deployment) {
	s := r.forwarder.scheduler
	if s == nil || !s.Schedules(d, r.service) {
		return
	}
	r.rank, r.ranks = d.Rank(r.service, r.route, r.accountPriority)
	if d.PrioritiesDiffer(r.service) {
		r.priority = EnginePriority(r.rank, r.ranks, r.proxyRequest.PromptTokens, meanPrompt(d, r.service))
	}
}

// meanPrompt returns the mean number of prompt tokens of the requests for a service, 0 if it
// is unknown.
func meanPrompt(d *gooseberrypass.Deployment, service gooseberrypass.ID) int {
	spec, _ := d.Service(service)
	if spec.Engine == nil {
		return 0
	}
	return spec.Engine.Passes.MeanPrompt
}

// scheduled returns the request as the scheduler knows it.
func (r *request) scheduled() *scheduler.Request {
	return &scheduler.Request{
		Account: r.account, ArrivedAt: r.arrivedAt, Key: r.digest.Prefix(), Late: r.refusedBefore, Query: r.endpointQuery(), Rank: r.rank, Ranks: r.ranks,
	}
}

// scheduledRetryAfter returns the Retry-After of a refusal: the time at which capacity is
// expected, or the time until an endpoint takes requests if that is longer. It is at most a
// third of the time that the caller has left.
func (r *request) scheduledRetryAfter(room time.Duration) time.Duration {
	f := r.forwarder
	if r.ctx.Err() != nil {
		return 0 // nobody is told
	}
	longest := 3 * f.settings.RetryAfter
	if !r.proxyRequest.Deadline.IsZero() {
		longest = r.proxyRequest.Deadline.Sub(f.clock.Now())
	}
	return min(max(f.scheduler.RetryAfter(r.scheduled(), longest), room), longest/3)
}

// retryAfter returns the Retry-After of a refusal: the usual one, or the time until an
// endpoint takes requests if that is longer. It is at most a third of the caller's time.
func (r *request) retryAfter(room time.Duration) time.Duration {
	if r.ranks > 0 {
		return r.scheduledRetryAfter(room)
	}
	wait := max(r.forwarder.settings.RetryAfter, room)
	if !r.proxyRequest.Deadline.IsZero() {
		wait = min(wait, r.proxyRequest.Deadline.Sub(r.arrivedAt)/3)
	}
	return wait
}
