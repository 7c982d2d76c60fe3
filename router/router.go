// Package router chooses the endpoint for each attempt: by load, prefix cache,
// distance and evidence of failures.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Result is what an attempt showed of its endpoint.
type Result int

// The results. ResultDropped says nothing of the endpoint.
const (
	ResultDropped  Result = iota
	ResultAnswered        // whole answer
	ResultBusy            // refused for load
	ResultFailed          // broke, or answered wrongly
	ResultLate            // did not answer in time
	ResultLeaving         // refused as leaving
	ResultUnready         // refused as not having the version loaded
)

// A Query asks for an endpoint.
type Query struct {
	Avoid    []gooseberrypass.ID // endpoints tried before
	Deadline time.Time
	Kind     gooseberrypass.RequestKind
	Prefix   uint64 // hash of the prompt's prefix, 0 for none
	Priority gooseberrypass.Priority
	Target   gooseberrypass.ID
	Weights  gooseberrypass.Digest // the only version to use, zero for any in force
}

// A Router chooses endpoints. It is safe for use on any goroutine.
type Router struct {
	clock     gooseberrypass.Clock
	config    gooseberrypass.ConfigSource
	endpoints map[gooseberrypass.ID]*endpoint
	flights   map[gooseberrypass.ID]*flight // by target
	members   gooseberrypass.Membership
	metrics   *metrics
	mu        sync.Mutex // guards endpoints, flights, prefixes, rng, services
	prefixes  *prefixes
	rng       *rand.Rand
	self      gooseberrypass.ListedInstance
	services  map[gooseberrypass.ID]time.Duration // moving average by target
}

// New returns a router of a process that stands where self says. Equal seeds,
// views and queries give equal choices.
func New(
	clock gooseberrypass.Clock,
	config gooseberrypass.ConfigSource,
	members gooseberrypass.Membership,
	self gooseberrypass.ListedInstance,
	seed uint64,
	registerer prometheus.Registerer,
) (*Router, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	return &Router{
		clock:     clock,
		config:    config,
		endpoints: map[gooseberrypass.ID]*endpoint{},
		flights:   map[gooseberrypass.ID]*flight{},
		members:   members,
		metrics:   m,
		prefixes:  newPrefixes(),
		rng:       rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self.ID)))),
		self:      self,
		services:  map[gooseberrypass.ID]time.Duration{},
	}, nil
}

// Choose returns a ticket for one attempt. Its error is a
// *gooseberrypass.RequestError with the outcome "not run".
func (r *Router) Choose(q Query) (*Ticket, error) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.candidates(now, q)
	if len(candidates) == 0 {
		r.metrics.choices.WithLabelValues("none").Inc()
		return nil, r.noEndpoint(q)
	}
	c := candidates[pick(candidates, r.rng)]
	wait := r.lateWait(now, q, c)
	if wait > 0 && r.share(q) < 1 {
		c = r.soonest(q, candidates)
		wait = r.lateWait(now, q, c)
	}
	if wait > 0 {
		r.metrics.choices.WithLabelValues("late").Inc()
		return nil, tooBusy(wait)
	}
	e := r.endpoint(c.member.Listed.ID)
	r.metrics.choices.WithLabelValues(c.label()).Inc()
	r.prefixes.put(q.Prefix, c.member.Listed.ID)
	f := r.flight(q.Target)
	f.begin(q.Priority)
	return &Ticket{endpoint: e, flight: f, member: c.member, priority: q.Priority, router: r, send: e.begin(now), target: q.Target, weights: c.weights}, nil
}

func (c candidate) label() string {
	switch {
	case c.probe:
		return "probe"
	case c.cached:
		return "cached"
	default:
		return "load"
	}
}

// share is the part of the load that q has to wait for, as far as this
// process's own sends tell.
func (r *Router) share(q Query) float64 { return r.flight(q.Target).share(q.Priority) }

func (r *Router) flight(target gooseberrypass.ID) *flight {
	f, ok := r.flights[target]
	if !ok {
		f = &flight{}
		r.flights[target] = f
	}
	return f
}

// expectedWait is how long q waits at a candidate before it runs.
func (r *Router) expectedWait(q Query, c candidate) time.Duration {
	return c.expectedWait(r.share(q), r.services[q.Target])
}

// lateWait returns the time that q would wait at a candidate if that makes it
// end after its deadline, else 0.
func (r *Router) lateWait(now time.Time, q Query, c candidate) time.Duration {
	wait := r.expectedWait(q, c)
	if q.Deadline.IsZero() || wait == 0 || !now.Add(wait+r.services[q.Target]).After(q.Deadline) {
		return 0
	}
	return wait
}

// soonest returns the candidate at which q waits least. Only requests that
// outrank others are sent there against the choice: for the rest, leaving the
// endpoint that has their prefix costs more answers than it saves.
func (r *Router) soonest(q Query, candidates []candidate) candidate {
	return slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(r.expectedWait(q, a), r.expectedWait(q, b))
	})
}

func tooBusy(wait time.Duration) error {
	return &gooseberrypass.RequestError{
		Detail:     "every endpoint is too busy to answer before the deadline",
		Outcome:    gooseberrypass.OutcomeNotRun,
		Reason:     gooseberrypass.ReasonOverloaded,
		RetryAfter: max(wait, time.Second),
	}
}

func (r *Router) noEndpoint(q Query) error {
	err := &gooseberrypass.RequestError{
		Detail:     "no endpoint takes work for " + string(q.Target),
		Outcome:    gooseberrypass.OutcomeNotRun,
		Reason:     gooseberrypass.ReasonNoEndpoint,
		RetryAfter: time.Second,
	}
	for _, m := range r.members.Members() {
		if m.TakesWork() && r.inPool(q, m) {
			err.Reason = gooseberrypass.ReasonNotLoaded
			err.Detail = "no endpoint has loaded a version of " + string(q.Target)
		}
	}
	return err
}

// candidates returns the endpoints that may serve q. Those avoided are used
// only if there are no others, and likewise the ejected above the cap.
func (r *Router) candidates(now time.Time, q Query) []candidate {
	var all, good []candidate
	var ejected []candidate
	for _, m := range r.members.Members() {
		weights, ok := r.serves(q, m)
		if !ok {
			continue
		}
		e := r.endpoint(m.Listed.ID)
		if now.Before(e.leavingUntil) {
			continue
		}
		c := r.candidate(now, q, m, e, weights)
		all = append(all, c)
		switch {
		case slices.Contains(q.Avoid, m.Listed.ID) || now.Before(e.unreadyUntil):
		case !e.ejected() || c.probe:
			good = append(good, c)
		default:
			ejected = append(ejected, c)
		}
	}
	if spare := float64(len(ejected)) - maxEjectedShare*float64(len(all)); spare > 0 {
		slices.SortStableFunc(ejected, func(a, b candidate) int {
			return r.endpoint(a.member.Listed.ID).ejectedUntil.Compare(r.endpoint(b.member.Listed.ID).ejectedUntil)
		})
		good = append(good, ejected[:min(len(ejected), int(spare+0.999))]...)
	}
	if len(good) == 0 {
		return all
	}
	return good
}

func (r *Router) candidate(now time.Time, q Query, m gooseberrypass.Member, e *endpoint, weights gooseberrypass.Digest) candidate {
	e.prune(m.Status.Load.At)
	c := candidate{
		busy:     now.Before(e.busyUntil),
		capacity: float64(max(m.Status.Load.Capacity, 1)),
		distance: r.distance(m.Listed),
		load:     e.load(m.Status.Load),
		member:   m,
		probe:    e.probeDue(now),
		slowness: 1,
		weights:  weights,
	}
	if service := r.services[q.Target]; service > 0 && e.service > 0 {
		c.slowness = float64(e.service) / float64(service)
	}
	if q.Prefix != 0 {
		c.cached = r.prefixes.has(q.Prefix, m.Listed.ID) || slices.Contains(m.Status.CachedPrefixes, q.Prefix)
	}
	return c
}

func (r *Router) distance(l gooseberrypass.ListedInstance) int {
	switch {
	case l.FailureDomain == r.self.FailureDomain && l.Region == r.self.Region:
		return 0
	case l.Region == r.self.Region:
		return 1
	default:
		return 2
	}
}

// serves reports whether a member may serve q, and with which weights. Any
// version that an agent reports as loaded whole is in force until the agent
// replaces it; the pinned one goes first.
func (r *Router) serves(q Query, m gooseberrypass.Member) (gooseberrypass.Digest, bool) {
	none := gooseberrypass.Digest{}
	if !m.TakesWork() || m.Listed.Role != gooseberrypass.RoleAgent || !r.inPool(q, m) {
		return none, false
	}
	if q.Kind == gooseberrypass.RequestCall {
		return none, slices.Contains(m.Status.Services, q.Target)
	}
	if loading(q.Target, m) {
		return none, false
	}
	pinned := r.pinned(q.Target)
	for _, want := range []gooseberrypass.Digest{q.Weights, pinned} {
		if !want.IsZero() && m.Status.Serves(q.Target, want) {
			return want, true
		}
		if !q.Weights.IsZero() {
			return none, false
		}
	}
	for _, l := range m.Status.Loaded {
		if l.Model == q.Target {
			return l.Digest, true
		}
	}
	return none, false
}

// loading reports whether a member is replacing its version of a model, during
// which it takes no work for it.
func loading(model gooseberrypass.ID, m gooseberrypass.Member) bool {
	return slices.ContainsFunc(m.Status.Targets, func(t gooseberrypass.TargetStatus) bool {
		return t.Model == model && t.Phase == gooseberrypass.PhaseLoading
	})
}

func (r *Router) pinned(model gooseberrypass.ID) gooseberrypass.Digest {
	cfg := r.config.Config()
	if cfg == nil {
		return gooseberrypass.Digest{}
	}
	m, _ := cfg.Model(model)
	return m.Manifest()
}

// inPool reports whether a member stands in the target's pool and is not to be
// drained by the folder.
func (r *Router) inPool(q Query, m gooseberrypass.Member) bool {
	cfg := r.config.Config()
	if cfg == nil {
		return false
	}
	pool := m.Listed.Pool
	if id, ok := cfg.Resolve(gooseberrypass.KindInstance, gooseberrypass.Name(m.Listed.ID)); ok {
		i, _ := cfg.Instance(id)
		if i.Drain() {
			return false
		}
		if i.Pool() != "" {
			pool = i.Pool()
		}
	}
	if q.Kind == gooseberrypass.RequestCall {
		s, ok := cfg.Service(q.Target)
		return ok && s.Pool() == pool
	}
	model, ok := cfg.Model(q.Target)
	return ok && model.Pool() == pool
}

func (r *Router) endpoint(id gooseberrypass.ID) *endpoint {
	e, ok := r.endpoints[id]
	if !ok {
		e = &endpoint{}
		r.endpoints[id] = e
	}
	return e
}

// Handle implements gooseberrypass.Controller: it forgets endpoints that are
// no longer members.
func (r *Router) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	changed, ok := event.(gooseberrypass.MembersChanged)
	if !ok {
		return nil
	}
	known := make(map[gooseberrypass.ID]bool, len(changed.Members))
	for _, m := range changed.Members {
		known[m.Listed.ID] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.endpoints {
		if !known[id] {
			delete(r.endpoints, id)
		}
	}
	return nil
}

var _ gooseberrypass.Controller = (*Router)(nil)
