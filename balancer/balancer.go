// Package balancer selects the endpoint of each dispatch by the load that all
// entries together put on it, and refuses a request at once if no endpoint has
// capacity for it.
package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A Result says what a dispatch revealed about its endpoint.
type Result int

// The results of dispatches.
const (
	ResultInconclusive Result = iota // says nothing about the endpoint
	ResultAnswered                   // complete answer with any status
	ResultFull                       // refused because of load
	ResultFailed                     // connection broke or the answer was invalid
	ResultReplaced                   // another endpoint has taken over the address
	ResultMisdirected                // other endpoint or model version than expected
	ResultTimedOut                   // no answer within the time limit
)

// Settings configure a Balancer.
type Settings struct {
	Ejection        time.Duration // ejection after a timeout or two failures in a row; doubles with each ejection
	EnginePenalty   float64       // cost of an engine in another region, in requests
	Fill            float64       // most requests at an engine, as a multiple of its slots
	FirstEventShare float64       // share of the objective within which the first event must be predicted
	MaxEjection     time.Duration // longest ejection
	PlainFill       float64       // most requests at a plain service's endpoint, as a multiple of its slots
	PlainPenalty    float64       // cost of a plain endpoint in another region, in requests per slot
	RefusalBackoff  time.Duration // backoff after a refusal because of load; doubles with refusals in a row
	ReportTTL       time.Duration // age at which reports of other processes expire
	ResumeFill      float64       // Fill for interrupted streams that are resumed
	RetryFill       float64       // Fill for requests that were refused before
	SampleFactor    float64       // endpoints compared for a request, as a multiple of those for each entry; 0 compares all
	SlowTolerance   float64       // ratio to the service's time to the head of an answer below which an endpoint is not slow
	StallFactor     float64       // StallTimeout as a multiple of the service's time to the head of an answer; the longer one counts
	StallTimeout    time.Duration // silence of an endpoint with requests after which it gets no more; 0 disables the check
	VersionCutoff   time.Duration // time before VersionTimeout at which a request that has not begun on an old version is withdrawn
	VersionMargin   time.Duration // time before VersionTimeout from which only the new version is used
	VersionTimeout  time.Duration // longest use of an old version after a newer one was named
}

// A Query describes the request for which an endpoint is needed.
type Query struct {
	AnswerTokens  int           // tokens of the answer as the caller estimates them, 0 if unknown
	Model         string        // "" for a plain service
	Objective     time.Duration // target time to the first event, 0 for none
	PromptTokens  int
	RefusedBefore bool // refused because of load earlier, so that its answer is already late
	Resumed       bool // resumes an interrupted stream
	Service       gooseberrypass.ID
	Tried         []gooseberrypass.ID // endpoints that are not chosen again
	Staying       bool                // the endpoint must not have announced a drain
	Version       int                 // version that the endpoint must have, 0 for any in force
}

// An EndpointStatus is the status of an endpoint as its agent reports it.
type EndpointStatus struct {
	Address           string         // address of the endpoint
	DrainsIn          time.Duration  // time until the endpoint drains to load a version, 0 if it does not
	EngineStartMillis int64          // start of the engine, in Unix milliseconds
	Loading           bool           // the endpoint is loading a version and takes no requests
	Models            map[string]int // loaded version of each model
}

// A Balancer chooses endpoints. It is safe for concurrent use.
type Balancer struct {
	clock    gooseberrypass.Clock
	regionOf func(gooseberrypass.FailureDomain) gooseberrypass.Region
	rng      *rand.Rand
	self     gooseberrypass.Region
	settings Settings

	mu           sync.Mutex
	drainsAt     map[string]time.Time // announced start of the drain of endpoints, by address
	endpoints    map[gooseberrypass.ID]*endpoint
	entriesSeen  map[gooseberrypass.ID]time.Time                  // last report of each other entry
	headTimes    map[gooseberrypass.ID]time.Duration              // moving average of the time to the head of an answer, by service
	localEntries int                                              // entries in this entry's region, including itself
	reports      map[gooseberrypass.ID]map[gooseberrypass.ID]Load // last load that each other entry reported, by endpoint
	services     map[gooseberrypass.ID]*pool
	snapshot     *materializer.Snapshot
	statuses     map[string]EndpointStatus // last reported statuses, by address of the endpoint
	statusesSeen map[string]time.Time      // last report of each status, by address
}

// New returns a balancer for an entry in region self.
func New(clock gooseberrypass.Clock, self gooseberrypass.Region, regionOf func(gooseberrypass.FailureDomain) gooseberrypass.Region, settings Settings, seed uint64) *Balancer {
	return &Balancer{
		clock:        clock,
		drainsAt:     map[string]time.Time{},
		endpoints:    map[gooseberrypass.ID]*endpoint{},
		localEntries: 1,
		headTimes:    map[gooseberrypass.ID]time.Duration{},
		entriesSeen:  map[gooseberrypass.ID]time.Time{},
		statusesSeen: map[string]time.Time{},
		statuses:     map[string]EndpointStatus{},
		regionOf:     regionOf,
		rng:          rand.New(rand.NewPCG(seed, seed)),
		self:         self,
		reports:      map[gooseberrypass.ID]map[gooseberrypass.ID]Load{},
		services:     map[gooseberrypass.ID]*pool{},
		settings:     settings,
		snapshot:     &materializer.Snapshot{},
	}
}

// Handle implements gooseberrypass.Controller.
func (b *Balancer) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case materializer.Changed:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.update(e.Snapshot)
	case gooseberrypass.Tick:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.expire(now)
	}
	return nil
}

// update replaces the snapshot and the endpoints. Known endpoints keep their load.
func (b *Balancer) update(snapshot *materializer.Snapshot) {
	b.snapshot = snapshot
	known := map[gooseberrypass.ID]struct{}{}
	services := map[gooseberrypass.ID]*pool{}
	for _, listed := range snapshot.Endpoints {
		known[listed.ID] = struct{}{}
		e, ok := b.endpoints[listed.ID]
		if !ok {
			e = &endpoint{}
			for _, loads := range b.reports {
				e.others.add(loads[listed.ID])
			}
			b.endpoints[listed.ID] = e
		}
		e.listed = listed
		if services[listed.Service] == nil {
			services[listed.Service] = &pool{}
		}
		services[listed.Service].add(e, b.regionOf(listed.FailureDomain) != b.self)
	}
	for id := range b.endpoints {
		if _, ok := known[id]; !ok {
			delete(b.endpoints, id)
		}
	}
	b.services = services
}

// expire drops the reports of processes that have not reported for ReportTTL.
func (b *Balancer) expire(now time.Time) {
	for id, at := range b.entriesSeen {
		if now.Sub(at) < b.settings.ReportTTL {
			continue
		}
		delete(b.entriesSeen, id)
		b.replaceReport(id, nil)
	}
	b.countLocalEntries()
	for address, at := range b.statusesSeen {
		if now.Sub(at) >= b.settings.ReportTTL {
			delete(b.statusesSeen, address)
			delete(b.statuses, address)
			delete(b.drainsAt, address)
		}
	}
}

// countLocalEntries counts the entries in this entry's region, which prefer the
// same endpoints. Entries whose region is unknown are counted as local.
func (b *Balancer) countLocalEntries() {
	b.localEntries = len(b.entriesSeen) + 1
	for _, p := range b.snapshot.Processes {
		if _, ok := b.entriesSeen[p.ID]; ok && p.Region != b.self {
			b.localEntries--
		}
	}
}

// SetEntryLoads replaces the load that another entry reports, by endpoint.
func (b *Balancer) SetEntryLoads(now time.Time, from gooseberrypass.ID, loads map[gooseberrypass.ID]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.entriesSeen[from]; !ok {
		defer b.countLocalEntries()
	}
	b.entriesSeen[from] = now
	b.replaceReport(from, loads)
}

// replaceReport replaces the loads that another entry reported.
func (b *Balancer) replaceReport(from gooseberrypass.ID, loads map[gooseberrypass.ID]Load) {
	for id, load := range b.reports[from] {
		if e, ok := b.endpoints[id]; ok {
			e.others.subtract(load)
		}
	}
	for id, load := range loads {
		if e, ok := b.endpoints[id]; ok {
			e.others.add(load)
		}
	}
	if len(loads) == 0 {
		delete(b.reports, from)
		return
	}
	b.reports[from] = loads
}

// SetEndpointStatus stores the status of an endpoint. Reports about an earlier
// start of its engine are ignored.
func (b *Balancer) SetEndpointStatus(now time.Time, status EndpointStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if status.EngineStartMillis < b.statuses[status.Address].EngineStartMillis {
		return
	}
	// Repeated messages carry the time that was left at the first one, so only that counts.
	if _, ok := b.drainsAt[status.Address]; status.DrainsIn <= 0 {
		delete(b.drainsAt, status.Address)
	} else if !ok {
		b.drainsAt[status.Address] = now.Add(status.DrainsIn)
	}
	b.statuses[status.Address], b.statusesSeen[status.Address] = status, now
}

// OwnLoads returns the load that this entry puts on endpoints.
func (b *Balancer) OwnLoads() map[gooseberrypass.ID]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	loads := map[gooseberrypass.ID]Load{}
	for id, e := range b.endpoints {
		if e.own.Requests > 0 {
			load := e.own
			load.Stalled = b.settings.StallTimeout > 0 && e.stalled(now, b.stallTimeout(e))
			loads[id] = load
		}
	}
	return loads
}

// Entries returns the number of entries that reported within ReportTTL, plus
// this one.
func (b *Balancer) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entriesSeen) + 1
}

// Choose reserves a place at the endpoint with the lowest cost. The error is a
// *gooseberrypass.RequestError if no endpoint has capacity.
func (b *Balancer) Choose(q Query) (*Ticket, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	best, counts := b.best(now, q, false)
	// If most endpoints are silent, this process was suspended or its link failed,
	// so silence says nothing about the endpoints.
	if best == nil && 2*counts.byState[stateSilent] > b.services[q.Service].len() {
		best, counts = b.best(now, q, true)
	}
	if best == nil {
		return nil, counts.refusal()
	}
	t := &Ticket{balancer: b, endpoint: best, expectedVersion: q.Version, target: best.listed, inFlight: best.total(1).Requests, unread: q.PromptTokens}
	if t.expectedVersion == 0 && counts.required > 0 {
		t.expectedVersion = b.loadedVersion(best, q.Model)
	}
	if q.Model != "" {
		t.mustBegin = b.mustBegin(q.Model, b.loadedVersion(best, q.Model))
	}
	if best.own.Requests == 0 {
		best.busySince = now
	}
	best.own.Requests++
	best.own.UnreadTokens += q.PromptTokens
	return t, nil
}

// best returns the available endpoint with the lowest cost among those compared, nil
// if none is available, and the number of endpoints seen in each state. Silent
// endpoints are available only with allowSilent.
func (b *Balancer) best(now time.Time, q Query, allowSilent bool) (*endpoint, stateCounts) {
	counts := stateCounts{required: b.requiredVersion(now, q.Model)}
	p := b.services[q.Service]
	if p == nil {
		return nil, counts
	}
	var best *endpoint
	bestCost := 0.0
	for _, group := range []struct {
		endpoints []*endpoint
		entries   int // that prefer these endpoints alike
	}{{p.local, b.localEntries}, {p.remote, len(b.entriesSeen) + 1}} {
		left := b.sampleSize(len(group.endpoints), group.entries)
		for i := range group.endpoints {
			e := pick(b.rng, group.endpoints, i)
			cost, state := b.evaluate(now, e, q)
			if state == stateAvailable && !allowSilent && b.silent(now, e) {
				state = stateSilent
			}
			counts.byState[state]++
			if state != stateAvailable {
				continue
			}
			if best == nil || cost < bestCost {
				best, bestCost = e, cost
			}
			if left--; left == 0 {
				break
			}
		}
	}
	return best, counts
}

// minSample is the smallest number of available endpoints that are compared. The
// better of two random ones is hardly ever among the fullest.
const minSample = 2

// sampleSize returns how many available endpoints of a group are compared for a
// request. Entries know of the load of others only from messages, so those that
// compared all endpoints would all choose the one that looked least loaded at the
// last message. With as many as there are for each entry, one of them sees it.
func (b *Balancer) sampleSize(endpoints, entries int) int {
	if b.settings.SampleFactor == 0 {
		return endpoints
	}
	return max(minSample, int(math.Ceil(b.settings.SampleFactor*float64(endpoints)/float64(max(entries, 1)))))
}

// silent reports whether an endpoint has sent nothing for longer than its stall timeout.
func (b *Balancer) silent(now time.Time, e *endpoint) bool {
	return b.settings.StallTimeout > 0 && e.silent(now, b.stallTimeout(e))
}

// stallTimeout returns the silence after which an endpoint with requests gets no more.
func (b *Balancer) stallTimeout(e *endpoint) time.Duration {
	return max(b.settings.StallTimeout, time.Duration(b.settings.StallFactor*float64(b.headTimes[e.listed.Service])))
}

// evaluate returns the cost of an endpoint for a request and whether it is available.
func (b *Balancer) evaluate(now time.Time, e *endpoint, q Query) (float64, state) {
	if state := b.eligibility(now, e, q); state != stateAvailable {
		return 0, state
	}
	cost, hasRoom := b.cost(e, q)
	switch {
	case slices.Contains(q.Tried, e.listed.ID):
		return 0, stateTried
	case !hasRoom || now.Before(e.fullUntil):
		return 0, stateFull
	default:
		return cost, stateAvailable
	}
}

// requiredVersion returns the oldest version that requests may run on now, 0 for any.
func (b *Balancer) requiredVersion(now time.Time, model string) int {
	return b.snapshot.Targets[model].Required(now, b.settings.VersionTimeout-b.settings.VersionMargin)
}

// mustBegin returns when the last request may begin on a version of a model, zero if
// no newer version is wanted.
func (b *Balancer) mustBegin(model string, version int) time.Time {
	for _, t := range b.snapshot.Targets[model] {
		if t.Version > version {
			return t.Since.Add(b.settings.VersionTimeout - b.settings.VersionCutoff)
		}
	}
	return time.Time{}
}

// eligibility returns the state that excludes an endpoint whatever its load is,
// stateAvailable if none does.
func (b *Balancer) eligibility(now time.Time, e *endpoint, q Query) state {
	switch {
	case e.listed.Leaving:
		return stateLeaving
	case now.Before(e.ejectedUntil) || e.probation && e.own.Requests > 0:
		return stateEjected
	case q.Model == "":
		return stateAvailable
	case b.statuses[e.listed.Address].Loading || b.outlivesDrain(now, e, q):
		return stateLoading
	}
	version := b.loadedVersion(e, q.Model)
	if q.Version > 0 && version != q.Version || version == 0 || version < b.requiredVersion(now, q.Model) {
		return stateVersion
	}
	return stateAvailable
}

// outlivesDrain reports whether an answer is expected to end after its endpoint
// starts to drain. It would delay the load: an engine loads a version only after
// its streams have ended.
func (b *Balancer) outlivesDrain(now time.Time, e *endpoint, q Query) bool {
	drainsAt, ok := b.drainsAt[e.listed.Address]
	if !ok {
		return false
	}
	engine := b.engine(q.Service)
	if q.Staying || engine == nil || engine.TokensPerEvent == 0 {
		return q.Staying
	}
	tokens := q.AnswerTokens
	if tokens == 0 {
		tokens = engine.MeanTokens
	}
	events := time.Duration(tokens / engine.TokensPerEvent)
	return now.Add(b.predictFirstEvent(q.PromptTokens, q.Service, 1) + events*engine.EventInterval).After(drainsAt)
}

// loadedVersion returns the version of a model that an endpoint has loaded, 0 for
// none. The agent's report takes precedence over the list, which lags behind.
func (b *Balancer) loadedVersion(e *endpoint, model string) int {
	if n, ok := b.statuses[e.listed.Address]; ok {
		return n.Models[model]
	}
	return e.listed.Models[model]
}

// cost returns the cost of an endpoint for a request, in requests or, for plain
// services, in requests per slot, and whether it has room. The load of a slow
// endpoint counts for more.
func (b *Balancer) cost(e *endpoint, q Query) (float64, bool) {
	slots := float64(max(e.listed.Slots, 1))
	slowness := b.slowness(e)
	remote := b.regionOf(e.listed.FailureDomain) != b.self
	entries := b.localEntries
	if remote {
		entries = len(b.entriesSeen) + 1
	}
	load := e.total(entries)
	// Up to half a request of random load keeps entries that see the same loads
	// from choosing the same endpoint.
	total := (float64(load.Requests) + b.rng.Float64()/2) * slowness
	if q.Model == "" {
		cost := total / slots
		if remote {
			cost += b.settings.PlainPenalty
		}
		return cost, total < slots*b.settings.PlainFill
	}
	fill := b.settings.Fill
	switch {
	case q.Resumed:
		fill = b.settings.ResumeFill
	case q.RefusedBefore:
		fill = b.settings.RetryFill
	}
	cost := total
	if remote {
		cost += b.settings.EnginePenalty
	}
	first := b.predictFirstEvent(load.UnreadTokens+q.PromptTokens, q.Service, slowness)
	if engine := b.engine(q.Service); engine != nil && engine.EventInterval > 0 {
		cost += float64(first) / float64(engine.EventInterval)
	}
	inTime := q.Objective == 0 || first <= time.Duration(b.settings.FirstEventShare*float64(q.Objective))
	return cost, total < slots*fill && (inTime || load.UnreadTokens == 0)
}

// predictFirstEvent predicts the time until an engine has read unread prompt tokens
// and sent the first event, 0 if the engine's rate is unknown. The engine reads
// prompts between the passes of its batch.
func (b *Balancer) predictFirstEvent(unread int, service gooseberrypass.ID, slowness float64) time.Duration {
	engine := b.engine(service)
	if engine == nil || engine.ReadRate <= 0 {
		return 0
	}
	read := time.Duration(float64(unread) / engine.ReadRate * float64(time.Second))
	return time.Duration(slowness * float64(engine.EventInterval+read))
}

// engine returns the engine model of a service, nil if it is unknown or plain.
func (b *Balancer) engine(service gooseberrypass.ID) *gooseberrypass.EngineSpec {
	if b.snapshot.Deployment == nil {
		return nil
	}
	spec, _ := b.snapshot.Deployment.Service(service)
	return spec.Engine
}

// slowness returns the ratio of an endpoint's time to the head of an answer to its
// service's. Ratios below SlowTolerance count as 1.
func (b *Balancer) slowness(e *endpoint) float64 {
	service := b.headTimes[e.listed.Service]
	if service == 0 || e.headTime == 0 {
		return 1
	}
	ratio := float64(e.headTime) / float64(service)
	if ratio < b.settings.SlowTolerance {
		return 1
	}
	return ratio
}

var _ gooseberrypass.Controller = (*Balancer)(nil)
