package gooseberrypass

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// A RouteMode defines which requests of a route may be repeated.
type RouteMode int

// The modes of routes. The zero value is RouteOnce, the most restrictive.
const (
	RouteOnce       RouteMode = iota // requests run at most once; only those that did not run are repeated
	RouteIdempotent                  // requests may run more than once
	RouteStream                      // the answer is a stream of events; see Route.Resumable
)

// A RouteTarget is a service that receives a share of a route's requests, in
// proportion to its weight.
type RouteTarget struct {
	Service ID
	Weight  int
}

// A Route maps the requests for a host and path prefix to services.
type Route struct {
	EventGap    time.Duration // objective for the time between two events of a stream, 0 for none
	Host        string
	Mode        RouteMode
	MaxAttempts int // largest number of endpoints to which one request is sent
	Name        string
	Objective   time.Duration // objective for the time to the answer or to the first event of a stream, 0 for none
	Prefix      string
	Priority    int      // 0 is the highest
	Public      bool     // requests need no client account
	Regions     []Region // regions that may serve its requests, empty for all
	Resumable   bool     // an interrupted stream may be resumed at another endpoint
	Targets     []RouteTarget
	Timeout     time.Duration // time limit of a request, 0 for none
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Mode == RouteIdempotent || r.Mode == RouteStream && r.Resumable
}

// A RegionSet is a set of regions. A nil set has all regions.
type RegionSet map[Region]struct{}

// Contains reports whether a region is in the set.
func (s RegionSet) Contains(region Region) bool {
	_, ok := s[region]
	return s == nil || ok
}

// Equal reports whether both sets have the same regions.
func (s RegionSet) Equal(t RegionSet) bool { return (s == nil) == (t == nil) && maps.Equal(s, t) }

// Within reports whether t has all regions of the set.
func (s RegionSet) Within(t RegionSet) bool {
	if s == nil || t == nil {
		return t == nil
	}
	for region := range s {
		if !t.Contains(region) {
			return false
		}
	}
	return true
}

// Intersect returns the set without the regions that are not listed. An empty list
// restricts nothing.
func (s RegionSet) Intersect(regions []Region) RegionSet {
	if len(regions) == 0 {
		return s
	}
	both := RegionSet{}
	for _, region := range regions {
		if s.Contains(region) {
			both[region] = struct{}{}
		}
	}
	return both
}

// An EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Chunks         int           // number of chunks of one version
	ChunkSize      int64         // bytes
	EventInterval  time.Duration // time between two events of a stream while the batch is full
	Layers         int           // number of layers of the model
	LoadTime       time.Duration // time to load a staged version
	MeanTokens     int           // mean number of tokens of an answer
	Model          string        // name of the model
	Passes         PassSpec
	ReadRate       float64 // prompt tokens read per second
	Slots          int     // largest number of requests in a batch
	TokensPerEvent int     // tokens in one event of a stream
}

// A PassSpec describes the passes in which an engine works. Each prefills a chunk of prompt
// tokens and runs the decode steps of one event.
type PassSpec struct {
	Chunk        int           // most prompt tokens that a pass prefills, 0 for no limit
	ContextTime  time.Duration // of a decode step, for 1,000 tokens of context of its requests
	MeanPrompt   int           // mean number of tokens of a prompt, 0 if unknown
	PairsTime    time.Duration // of prefill, for a million pairs of a token and an earlier one
	SequenceTime time.Duration // of a decode step, for each request in decode
	StepTime     time.Duration // of a decode step, whatever its requests are; 0 if unknown
}

// A ServiceSpec describes a service of a deployment.
type ServiceSpec struct {
	ColdRate      float64       // requests per second that a cold endpoint sustains, 0 for no limit
	ColdTime      time.Duration // time for which an endpoint is cold after it started
	Engine        *EngineSpec   // nil for a plain service
	FailureDomain FailureDomain
	ID            ID
	MaxConns      int    // connections that one endpoint accepts in total, 0 for any number
	Origin        string // address of the weights origin, "" if the service does not provide it
}

// sameEngine reports whether two services agree in all that matters to agents.
func (s ServiceSpec) sameEngine(t ServiceSpec) bool {
	if s.Origin != t.Origin || s.FailureDomain != t.FailureDomain || (s.Engine == nil) != (t.Engine == nil) {
		return false
	}
	if s.Engine == nil {
		return true
	}
	a, b := *s.Engine, *t.Engine
	a.Passes, b.Passes = PassSpec{}, PassSpec{}
	return a == b
}

// CallerLimits are the limits of requests. 0 is no limit.
type CallerLimits struct {
	Body       int64         // bytes
	HeaderTime time.Duration // for the headers to arrive
	Headers    int           // bytes
}

// An AccountSpec describes a client account of a deployment.
type AccountSpec struct {
	ID       ID
	Priority int      // overrides that of the route, -1 for no override
	Regions  []Region // regions that may serve its requests, empty for all
}

// A Deployment is one version of the configuration that the platform's operator
// writes. It is immutable.
type Deployment struct {
	accounts map[string]AccountSpec // nil if no request needs a client account
	limits   CallerLimits
	ranks    map[ID][]urgency // of the requests for each service, the most urgent first
	routes   map[string][]Route
	services map[ID]ServiceSpec
	version  int64
}

// NewDeployment returns a deployment. accounts maps keys to client accounts. If it is nil,
// requests need no client account; if it is empty, no key is valid.
func NewDeployment(version int64, routes []Route, services []ServiceSpec, accounts map[string]AccountSpec, limits CallerLimits) *Deployment {
	d := &Deployment{
		accounts: accounts,
		limits:   limits,
		routes:   map[string][]Route{},
		services: make(map[ID]ServiceSpec, len(services)),
		version:  version,
	}
	for _, r := range routes {
		d.routes[r.Host] = append(d.routes[r.Host], r)
	}
	for _, s := range services {
		d.services[s.ID] = s
	}
	d.ranks = d.listRanks(routes)
	return d
}

// An urgency is what the rank of a request follows from. Requests of client accounts without
// a priority of their own have that of the route.
type urgency struct {
	account int // priority of the client account
	route   int // priority of the route
}

// compare orders urgencies, the most urgent first.
func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.account, v.account), cmp.Compare(u.route, v.route))
}

// urgencyOf returns the urgency of a request; accountPriority is -1 for none.
func urgencyOf(route *Route, accountPriority int) urgency {
	if accountPriority < 0 {
		accountPriority = route.Priority
	}
	return urgency{account: accountPriority, route: route.Priority}
}

// listRanks returns the different urgencies of the requests for each service.
func (d *Deployment) listRanks(routes []Route) map[ID][]urgency {
	priorities := map[int]struct{}{}
	for _, a := range d.accounts {
		priorities[max(a.Priority, -1)] = struct{}{}
	}
	ranks := map[ID][]urgency{}
	for i := range routes {
		r := &routes[i]
		var urgencies []urgency
		if r.Public || !d.RequiresAccount() {
			urgencies = append(urgencies, urgencyOf(r, -1))
		} else {
			for p := range priorities {
				urgencies = append(urgencies, urgencyOf(r, p))
			}
		}
		for _, t := range r.Targets {
			ranks[t.Service] = append(ranks[t.Service], urgencies...)
		}
	}
	for service, list := range ranks {
		slices.SortFunc(list, urgency.compare)
		ranks[service] = slices.Compact(list)
	}
	return ranks
}

// Rank returns the rank of a request for a service, 0 for the most urgent, and the number of
// ranks. accountPriority is that of its client account, -1 for none. The priority of the client
// account takes precedence over that of the route.
func (d *Deployment) Rank(service ID, route *Route, accountPriority int) (int, int) {
	ranks := d.ranks[service]
	n, _ := slices.BinarySearchFunc(ranks, urgencyOf(route, accountPriority), urgency.compare)
	return min(n, max(len(ranks)-1, 0)), len(ranks)
}

// PrioritiesDiffer reports whether routes of different priority lead to a service.
func (d *Deployment) PrioritiesDiffer(service ID) bool {
	ranks := d.ranks[service]
	return slices.ContainsFunc(ranks, func(u urgency) bool { return u.route != ranks[0].route })
}

// Account returns the client account with a key. No account matches an empty key.
func (d *Deployment) Account(key string) (AccountSpec, bool) {
	a, ok := d.accounts[key]
	return a, ok && key != ""
}

// RequiresAccount reports whether requests on routes that are not public need the key of a
// client account, also if no client account has one.
func (d *Deployment) RequiresAccount() bool { return d.accounts != nil }

// Limits returns the limits of requests.
func (d *Deployment) Limits() CallerLimits { return d.limits }

// Match returns the route of host with the longest matching prefix of path.
func (d *Deployment) Match(host, path string) (*Route, bool) {
	var best *Route
	routes := d.routes[host]
	for i := range routes {
		r := &routes[i]
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Origin returns the service that provides the weights origin.
func (d *Deployment) Origin() (ServiceSpec, bool) {
	for _, s := range d.services {
		if s.Origin != "" {
			return s, true
		}
	}
	return ServiceSpec{}, false
}

// SameEngines reports whether both deployments have the same services with the same
// engines, failure domains and weights origins, so that agents need not apply the
// change. It returns false if o is nil.
func (d *Deployment) SameEngines(o *Deployment) bool {
	if o == nil || len(d.services) != len(o.services) {
		return false
	}
	for id, s := range d.services {
		t, ok := o.services[id]
		if !ok || !s.sameEngine(t) {
			return false
		}
	}
	return true
}

// Service returns the service with an ID.
func (d *Deployment) Service(id ID) (ServiceSpec, bool) {
	s, ok := d.services[id]
	return s, ok
}

// Version returns the version number that the operator gave the configuration.
func (d *Deployment) Version() int64 { return d.version }

// An Endpoint is an endpoint as given by the platform's list.
type Endpoint struct {
	Address       string
	ColdLeft      time.Duration // time for which it stays cold, as its record says
	FailureDomain FailureDomain
	ID            ID
	Lapsed        bool // its record expired during an outage of the list, it may be gone
	Leaving       bool
	Models        map[string]int // loaded version of each model
	ReportedAt    time.Time      // when a process first knew its record
	Service       ID
	Slots         int   // requests that it runs at once
	StartMillis   int64 // start of the endpoint, in Unix milliseconds, 0 if unknown
}

// A ModelTarget is the version of a model that the operator wants to be loaded.
type ModelTarget struct {
	Model   string
	Version int
}
