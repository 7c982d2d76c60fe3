// Package scheduler decides the order in which requests that compete for capacity get an
// endpoint. Each entry has one scheduler; entries tell one another which requests lack
// capacity.
package scheduler

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// A Mode says which services are scheduled.
type Mode string

// The modes.
const (
	ModeAlways Mode = "always"
	ModeAuto   Mode = "auto" // those that routes of different priority lead to, or whose endpoints share their machines
	ModeNever  Mode = "never"
)

// Settings configure a Scheduler.
type Settings struct {
	LeastWaitShare float64 // longest wait of the least urgent requests, as a share of the objective
	MaxWaiting     int     // waiting requests of a service beyond which the least urgent is refused
	Mode           Mode
	MostWaitShare  float64       // LeastWaitShare for the most urgent requests
	ReportTTL      time.Duration // age at which the backlogs of other entries expire
}

// A Chooser reserves places at endpoints.
type Chooser interface {
	Choose(q balancer.Query) (*balancer.Ticket, error)
	CountDemand(service gooseberrypass.ID)
	FirstEvent(q balancer.Query) time.Duration
	Serves(q balancer.Query) bool
	SharesMachines(service gooseberrypass.ID) bool
}

// A Request is a request that needs an endpoint.
type Request struct {
	Account   gooseberrypass.ID
	ArrivedAt time.Time
	Key       uint64 // digest of the request, by which some requests are exempt from the hold-back
	Late      bool   // the answer is late already, because the request was refused before
	Query     balancer.Query
	Rank      int // 0 is the most urgent
	Ranks     int // number of ranks of the service
}

// remaining returns the query with the objective less the time that the request has waited.
func (r *Request) remaining(now time.Time) balancer.Query {
	q := r.Query
	if !r.Late && q.Objective > 0 {
		q.Objective = max(q.Objective-now.Sub(r.ArrivedAt), 1) // 0 would be none
	}
	return q
}

// A waiter is a request that waits in a queue.
type waiter struct {
	deadline time.Time  // end of the wait
	granted  chan grant // receives once; has room for it
	request  *Request
	urgency
}

// A grant ends the wait of a request.
type grant struct {
	err    error
	ticket *balancer.Ticket
}

// A Scheduler lets requests wait for capacity and gives it to the most urgent one. It is safe
// for concurrent use.
type Scheduler struct {
	chooser  Chooser
	clock    gooseberrypass.Clock
	logger   logrus.FieldLogger
	metrics  *metrics
	settings Settings

	mu       sync.Mutex
	reports  reports
	rng      *rand.Rand
	services map[gooseberrypass.ID]*service
	stopped  bool
}

// A service is the state of one service.
type service struct {
	holdBack holdBack
	id       gooseberrypass.ID
	observed int // ranks whose gauges are set
	queue    *queue
	ranks    int      // of the deployment in force
	rivals   []uint64 // keys of the other entries where requests wait
	stale    bool     // rivals may have changed
	refusals refusals
	retries  retryEstimate
	serveAt  time.Time // next time at which an endpoint is known to take requests again
	used     time.Time // last request
}

// New returns the scheduler of an entry.
func New(clock gooseberrypass.Clock, chooser Chooser, settings Settings, seed uint64, registerer prometheus.Registerer, logger logrus.FieldLogger) (*Scheduler, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	return &Scheduler{
		chooser: chooser, clock: clock, logger: logger, metrics: m, settings: settings,
		reports: reports{byEntry: map[gooseberrypass.ID]report{}, ttl: settings.ReportTTL}, rng: rand.New(rand.NewPCG(seed, seed)), services: map[gooseberrypass.ID]*service{},
	}, nil
}

// Schedules reports whether the requests for a service are scheduled.
func (s *Scheduler) Schedules(d *gooseberrypass.Deployment, service gooseberrypass.ID) bool {
	switch s.settings.Mode {
	case ModeAlways:
		return true
	case ModeNever:
		return false
	default:
		return d.PrioritiesDiffer(service) || s.chooser.SharesMachines(service)
	}
}

// Choose reserves a place at an endpoint. If there is none, or if a request that is as urgent
// waits already, it waits for one. The error is a *gooseberrypass.RequestError if there is no
// capacity in time.
func (s *Scheduler) Choose(ctx context.Context, r *Request) (*balancer.Ticket, error) {
	w, ticket, err := s.enter(r)
	if w == nil {
		return ticket, err
	}
	timer := s.clock.NewTimer(s.clock.Until(w.deadline))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.ticket, g.err
	case <-ctx.Done():
	case <-timer.Chan():
	}
	return s.leave(w, ctx.Err() == nil)
}

// enter reserves a place for a request or, if there is none, adds it to the queue.
func (s *Scheduler) enter(r *Request) (*waiter, *balancer.Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	state := s.service(r.Query.Service, r.Ranks)
	if !r.Late {
		state.retries.arrivals.add(now)
	}
	r.Query.Scheduled = true
	w := &waiter{deadline: s.waitUntil(r), granted: make(chan grant, 1), request: r, urgency: urgency{late: r.Late, rank: r.Rank}}
	w.held = r.Key%exemptShare != 0 && state.holdBack.of(r.Rank) > 0
	var refused error = overloaded("more urgent requests wait")
	if state.queue.ahead(w) == 0 || !s.chooser.Serves(r.Query) {
		ticket, err := s.place(now, state, w)
		if err == nil || !waits(err) {
			return nil, ticket, err
		}
		refused = err
	} else {
		s.chooser.CountDemand(r.Query.Service) // it may never be tried
		r.Query.Polled = true
	}
	if s.stopped || !w.deadline.After(now.Add(timeUntilRoom(refused))) || state.expiresUnserved(now, w) {
		s.recordRefused(now, state, r)
		return nil, nil, refused
	}
	state.queue.add(w)
	s.serveAfter(now, state, timeUntilRoom(refused))
	if state.queue.size > s.settings.MaxWaiting {
		dropped := state.queue.last(now)
		state.queue.remove(dropped)
		s.recordRefused(now, state, dropped.request)
		dropped.granted <- grant{err: overloaded("too many requests wait")}
	}
	return w, nil, nil
}

// leave ends the wait of a request that got no endpoint in time, or whose caller has left.
func (s *Scheduler) leave(w *waiter, refused bool) (*balancer.Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.services[w.request.Query.Service]
	if state == nil || !state.queue.remove(w) { // without waiting requests the state may be dropped
		g := <-w.granted
		return g.ticket, g.err
	}
	now := s.clock.Now()
	if refused {
		s.recordRefused(now, state, w.request)
	}
	s.serveAll(now, state) // those that it held back
	return nil, overloaded("no endpoint had capacity in time")
}

// Serve gives free capacity at the endpoints of a service to the waiting requests. It is called
// whenever capacity may have been freed; ended is set if a request of this entry has ended.
func (s *Scheduler) Serve(id gooseberrypass.ID, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.services[id]
	if !ok {
		return
	}
	now := s.clock.Now()
	if ended {
		state.retries.freed.add(now)
	}
	s.serveAll(now, state)
}

// serveAll serves waiting requests until there is no capacity for any more. The caller holds
// s.mu.
func (s *Scheduler) serveAll(now time.Time, state *service) {
	for s.serveOne(now, state) {
	}
}

// serveOne serves the first request that no other one holds back and for which there is
// capacity, and reports whether there is one.
func (s *Scheduler) serveOne(now time.Time, state *service) bool {
	var failed []*class
	for _, c := range state.queue.classes() {
		w := state.queue.first(now, c)
		if slices.ContainsFunc(failed, func(f *class) bool { return f.holdsBack(w) }) && s.chooser.Serves(w.request.Query) {
			continue
		}
		ticket, err := s.place(now, state, w)
		if err != nil && waits(err) {
			failed = append(failed, c)
			s.serveAfter(now, state, timeUntilRoom(err))
			continue
		}
		state.queue.remove(w)
		w.granted <- grant{err: err, ticket: ticket}
		return true
	}
	return false
}

// serveAfter serves the waiting requests when a limit, a pause or an ejection of an endpoint
// ends. This is no event, and the next tick may be after the end of their wait.
func (s *Scheduler) serveAfter(now time.Time, state *service, wait time.Duration) {
	at := now.Add(wait)
	if wait <= 0 || state.serveAt.After(now) && !state.serveAt.After(at) {
		return
	}
	state.serveAt = at
	s.clock.AfterFunc(wait, func() { s.Serve(state.id, false) })
}

// place reserves a place for a request.
func (s *Scheduler) place(now time.Time, state *service, w *waiter) (*balancer.Ticket, error) {
	r := w.request
	r.Query.Headroom = 0
	if w.held {
		r.Query.Headroom = state.holdBack.of(r.Rank)
	}
	r.Query.Rivals = s.rivals(now, state)
	ticket, err := s.chooser.Choose(r.remaining(now))
	r.Query.Polled = true
	if err != nil {
		return nil, err
	}
	state.queue.recordServed(now, r.Account)
	s.metrics.observePlaced(r, now)
	return ticket, nil
}

// waits reports whether a request waits for an endpoint after a refusal.
func waits(err error) bool {
	var refusal *gooseberrypass.RequestError
	return errors.As(err, &refusal) && refusal.Reason == gooseberrypass.ReasonOverloaded
}

// expiryFactor is the number of requests that must wait before a request, as a multiple of
// those that are expected to be served until the end of its wait, for it not to wait at all.
// Places are given back in bursts, as answers of one engine end together.
const expiryFactor = 2

// minFreedRate is the rate of places given back, per second, below which it says nothing: it
// rests on a few requests.
const minFreedRate = 4

// expiresUnserved reports whether a request will not be served before the end of its wait, because of
// the requests before it and the rate at which places are given back.
func (s *service) expiresUnserved(now time.Time, w *waiter) bool {
	freed := s.retries.freed.perSecond(now)
	return freed >= minFreedRate && float64(s.queue.ahead(w)) > expiryFactor*freed*w.deadline.Sub(now).Seconds()+1
}

// timeUntilRoom returns the time until an endpoint takes requests again, 0 if it may be at any
// moment.
func timeUntilRoom(err error) time.Duration {
	var refusal *gooseberrypass.RequestError
	if !errors.As(err, &refusal) {
		return 0
	}
	return refusal.RetryAfter
}

// waitUntil returns until when a request waits: for a share of its objective that grows with
// its urgency, and not beyond the time at which its first event could still be in time.
func (s *Scheduler) waitUntil(r *Request) time.Time {
	share := s.settings.MostWaitShare
	if r.Ranks > 1 {
		share -= (s.settings.MostWaitShare - s.settings.LeastWaitShare) * float64(r.Rank) / float64(r.Ranks-1)
	}
	wait := time.Duration(share * float64(r.Query.Objective))
	if !r.Late {
		wait = min(wait, r.Query.Objective-s.chooser.FirstEvent(r.Query))
	}
	return r.ArrivedAt.Add(wait)
}

// service returns the state of a service. The caller holds s.mu.
func (s *Scheduler) service(id gooseberrypass.ID, ranks int) *service {
	state, ok := s.services[id]
	if !ok {
		state = &service{id: id, queue: newQueue()}
		s.services[id] = state
	}
	state.ranks, state.used = ranks, s.clock.Now() // the ranks of the deployment in force
	return state
}

// recordRefused records that a request was refused for lack of capacity.
func (s *Scheduler) recordRefused(now time.Time, state *service, r *Request) {
	if !r.Late {
		state.refusals.add(now, r.Rank)
	}
	s.metrics.refused.WithLabelValues(string(state.id), rankLabel(r.Rank)).Inc()
}

// overloaded returns the error of a request that is refused for lack of capacity.
func overloaded(detail string) *gooseberrypass.RequestError {
	return &gooseberrypass.RequestError{Detail: detail, Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonOverloaded}
}
