// Package router chooses the endpoint for each attempt, by load, prefix cache,
// distance and recent failures.
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

// A Result is the outcome of an attempt as far as it concerns its endpoint.
type Result int

// The results.
const (
	ResultDropped  Result = iota // abandoned; says nothing about the endpoint
	ResultAnswered               // complete answer
	ResultBusy                   // refused as overloaded
	ResultFailed                 // failed, or gave an invalid answer
	ResultLate                   // did not answer in time
	ResultLeaving                // refused because the endpoint is leaving
	ResultUnready                // refused because the version is not loaded
)

// A Query describes the attempt for which an endpoint is to be chosen.
type Query struct {
	Avoid    []gooseberrypass.ID // endpoints to use only if there are no others
	Deadline time.Time           // zero for none
	Kind     gooseberrypass.RequestKind
	Prefix   uint64 // hash of the prompt's prefix, 0 for none
	Priority gooseberrypass.Priority
	Target   gooseberrypass.ID     // model or, for calls, service
	Weights  gooseberrypass.Digest // the only version to use; zero for any loaded one
}

// A Router chooses endpoints. It is safe for concurrent use.
type Router struct {
	clock        gooseberrypass.Clock
	config       gooseberrypass.ConfigSource
	endpoints    map[gooseberrypass.ID]*endpointState
	inFlight     map[gooseberrypass.ID]*inFlightCounts // attempts in flight, by target
	members      gooseberrypass.Membership
	metrics      *metrics
	mu           sync.Mutex // guards endpoints, inFlight, prefixes, rng, serviceTimes
	prefixes     *prefixLRU
	rng          *rand.Rand
	self         gooseberrypass.ListedInstance
	serviceTimes map[gooseberrypass.ID]time.Duration // moving averages, by target
}

// New returns a router for a process in the failure domain and region of self.
// Routers with the same seed and self make the same choices if they get the same
// queries, results and members at the same times.
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
		clock:        clock,
		config:       config,
		endpoints:    map[gooseberrypass.ID]*endpointState{},
		inFlight:     map[gooseberrypass.ID]*inFlightCounts{},
		members:      members,
		metrics:      m,
		prefixes:     newPrefixLRU(),
		rng:          rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self.ID)))),
		self:         self,
		serviceTimes: map[gooseberrypass.ID]time.Duration{},
	}, nil
}

// Choose chooses an endpoint and returns a ticket for one attempt. The caller
// must call Done on the ticket. If no endpoint may serve q, or if q is expected to
// miss its deadline, the error is a *gooseberrypass.RequestError with
// OutcomeNotRun.
func (r *Router) Choose(q Query) (*Ticket, error) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.candidates(now, q)
	if len(candidates) == 0 {
		r.metrics.choices.WithLabelValues("none").Inc()
		return nil, r.noEndpointError(q)
	}
	c := candidates[pick(candidates, r.rng)]
	wait := r.waitIfLate(now, q, c)
	if wait > 0 && r.shareAhead(q) < 1 {
		c = r.shortestWait(q, candidates)
		wait = r.waitIfLate(now, q, c)
	}
	if wait > 0 {
		r.metrics.choices.WithLabelValues("late").Inc()
		return nil, overloadedError(wait)
	}
	e := r.stateOf(c.member.Listed.ID)
	r.metrics.choices.WithLabelValues(c.label()).Inc()
	r.prefixes.put(q.Prefix, c.member.Listed.ID)
	counts := r.inFlightFor(q.Target)
	counts.begin(q.Priority)
	return &Ticket{endpoint: e, inFlight: counts, member: c.member, priority: q.Priority, router: r, sent: e.begin(now), target: q.Target, weights: c.weights}, nil
}

// label returns the label of the choices metric.
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

// shareAhead estimates the share of an endpoint's load that q has to wait for,
// from the priorities of this process's attempts in flight.
func (r *Router) shareAhead(q Query) float64 { return r.inFlightFor(q.Target).shareAhead(q.Priority) }

func (r *Router) inFlightFor(target gooseberrypass.ID) *inFlightCounts {
	counts, ok := r.inFlight[target]
	if !ok {
		counts = &inFlightCounts{}
		r.inFlight[target] = counts
	}
	return counts
}

// expectedWait returns how long q is expected to be queued at a candidate.
func (r *Router) expectedWait(q Query, c candidate) time.Duration {
	return c.expectedWait(r.shareAhead(q), r.serviceTimes[q.Target])
}

// waitIfLate returns the expected wait of q at a candidate if q would then finish
// after its deadline, else 0.
func (r *Router) waitIfLate(now time.Time, q Query, c candidate) time.Duration {
	wait := r.expectedWait(q, c)
	if q.Deadline.IsZero() || wait == 0 || !now.Add(wait+r.serviceTimes[q.Target]).After(q.Deadline) {
		return 0
	}
	return wait
}

// shortestWait returns the candidate with the shortest expected wait for q. It
// overrides the normal choice only for requests with a higher priority than
// others in flight: for the rest, leaving the endpoint that has their prefix
// cached loses more answers than it saves.
func (r *Router) shortestWait(q Query, candidates []candidate) candidate {
	return slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(r.expectedWait(q, a), r.expectedWait(q, b))
	})
}

func overloadedError(wait time.Duration) error {
	return &gooseberrypass.RequestError{
		Detail:     "every endpoint is too busy to answer before the deadline",
		Outcome:    gooseberrypass.OutcomeNotRun,
		Reason:     gooseberrypass.ReasonOverloaded,
		RetryAfter: max(wait, time.Second),
	}
}

// noEndpointError returns the error of a query without candidates.
func (r *Router) noEndpointError(q Query) error {
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

// candidates returns the endpoints that may serve q. If more than
// maxEjectedShare of them are ejected, those whose ejection ends first are
// included. Avoided, unready and ejected endpoints are all included if no others
// are left.
func (r *Router) candidates(now time.Time, q Query) []candidate {
	var all, usable []candidate
	var ejected []candidate
	for _, m := range r.members.Members() {
		weights, ok := r.serves(q, m)
		if !ok {
			continue
		}
		e := r.stateOf(m.Listed.ID)
		if now.Before(e.leavingUntil) {
			continue
		}
		c := r.candidate(now, q, m, e, weights)
		all = append(all, c)
		switch {
		case slices.Contains(q.Avoid, m.Listed.ID) || now.Before(e.unreadyUntil):
		case !e.ejected() || c.probe:
			usable = append(usable, c)
		default:
			ejected = append(ejected, c)
		}
	}
	if spare := float64(len(ejected)) - maxEjectedShare*float64(len(all)); spare > 0 {
		slices.SortStableFunc(ejected, func(a, b candidate) int {
			return r.stateOf(a.member.Listed.ID).ejectedUntil.Compare(r.stateOf(b.member.Listed.ID).ejectedUntil)
		})
		usable = append(usable, ejected[:min(len(ejected), int(spare+0.999))]...)
	}
	if len(usable) == 0 {
		return all
	}
	return usable
}

func (r *Router) candidate(now time.Time, q Query, m gooseberrypass.Member, e *endpointState, weights gooseberrypass.Digest) candidate {
	e.prune(m.Status.Load.At)
	c := candidate{
		busy:     now.Before(e.busyUntil),
		capacity: float64(max(m.Status.Load.Capacity, 1)),
		distance: r.distance(m.Listed),
		load:     e.currentLoad(m.Status.Load),
		member:   m,
		probe:    e.probeDue(now),
		slowdown: 1,
		weights:  weights,
	}
	if service := r.serviceTimes[q.Target]; service > 0 && e.serviceTime > 0 {
		c.slowdown = float64(e.serviceTime) / float64(service)
	}
	if q.Prefix != 0 {
		c.cached = r.prefixes.has(q.Prefix, m.Listed.ID) || slices.Contains(m.Status.CachedPrefixes, q.Prefix)
	}
	return c
}

// distance returns the distance of a listed instance as in candidate.
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

// serves reports whether a member may serve q, and with which version. Any
// version that an agent reports as loaded may serve until the agent replaces it;
// the version pinned in the configuration is preferred.
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

// loading reports whether a member is loading a version of a model. It accepts no
// work for that model meanwhile.
func loading(model gooseberrypass.ID, m gooseberrypass.Member) bool {
	return slices.ContainsFunc(m.Status.Targets, func(t gooseberrypass.TargetStatus) bool {
		return t.Model == model && t.Phase == gooseberrypass.PhaseLoading
	})
}

// pinned returns the version of a model in the configuration, or zero.
func (r *Router) pinned(model gooseberrypass.ID) gooseberrypass.Digest {
	cfg := r.config.Config()
	if cfg == nil {
		return gooseberrypass.Digest{}
	}
	m, _ := cfg.Model(model)
	return m.Manifest()
}

// inPool reports whether a member is in the target's pool and is not drained. The
// configuration of an instance overrides its listed pool.
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

// stateOf returns the state of an endpoint and creates it if needed.
func (r *Router) stateOf(id gooseberrypass.ID) *endpointState {
	e, ok := r.endpoints[id]
	if !ok {
		e = &endpointState{}
		r.endpoints[id] = e
	}
	return e
}

// Handle implements gooseberrypass.Controller. It drops the state of endpoints
// that are no longer members.
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
