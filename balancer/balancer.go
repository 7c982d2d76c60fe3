// Package balancer selects the endpoint of each dispatch by the load that all
// entries together put on it, and refuses a request at once if no endpoint has
// capacity for it.
package balancer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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
	AdvisoryTTL     time.Duration // time for which a rate limit, or what other entries say of an endpoint, is remembered after an entry last heard it
	ColdOvershoot   float64       // requests that reach a cold endpoint in a second, as a multiple of the rate that it sustains; 0 for no limit
	ColdSlack       float64       // requests that may reach a cold endpoint in a second beyond ColdOvershoot
	Ejection        time.Duration // ejection after a timeout or two failures in a row; doubles with each ejection
	EnginePenalty   float64       // cost of an engine in another region, in requests
	Fill            float64       // most requests at an engine, as a multiple of its slots
	FirstEventShare float64       // share of the objective within which the first event must be predicted
	ListLag         time.Duration // longest time from the writing of an endpoint's record until a process knows it
	MaxEjection     time.Duration // longest ejection
	PaceWeight      float64       // weight of the pace in the cost of the requests at an endpoint; its first event is predicted with all of it
	PaceTTL         time.Duration // age from which the pace of an endpoint has no weight
	PassShare       float64       // as FirstEventShare, for predictions in passes
	PlainFill       float64       // most requests at a plain service's endpoint, as a multiple of its slots
	PlainPenalty    float64       // cost of a plain endpoint in another region, in requests per slot
	RefusalBackoff  time.Duration // backoff after a refusal because of load; doubles with refusals in a row
	RemoteFill      float64       // share of Fill for engines in another region, for scheduled requests that engines of the own region serve too; 0 for all of it
	ReportTTL       time.Duration // age at which the loads of other entries expire, and that an endpoint is loading
	ResumeFill      float64       // Fill for interrupted streams that are resumed
	RetryFill       float64       // Fill for requests that were refused before
	SampleFactor    float64       // endpoints compared for a request, as a multiple of those for each entry; 0 compares all
	SlowTolerance   float64       // ratio to the service's time to the head of an answer below which an endpoint is not slow
	StatusTTL       time.Duration // age at which the status of an endpoint expires
	StallFactor     float64       // StallTimeout as a multiple of the service's time to the head of an answer; the longer one counts
	StallTimeout    time.Duration // silence of an endpoint with requests after which it gets no more; 0 disables the check
	VersionCutoff   time.Duration // time before VersionTimeout at which a request that has not begun on an old version is withdrawn
	VersionMargin   time.Duration // time before VersionTimeout from which only the new version is used
	VersionTimeout  time.Duration // longest use of an old version after a newer one was named
}

// A Query describes the request for which an endpoint is needed.
type Query struct {
	AnswerTokens  int           // tokens of the answer as the caller estimates them, 0 if unknown
	Headroom      float64       // share of the slots of each engine that is kept free for more urgent requests
	Model         string        // "" for a plain service
	Objective     time.Duration // target time to the first event, 0 for none
	Polled        bool          // the request waits for an endpoint and was counted as demand before
	PromptTokens  int
	Regions       gooseberrypass.RegionSet // regions whose endpoints may be chosen
	RefusedBefore bool                     // refused because of load earlier, so that its answer is already late
	Rivals        []uint64                 // keys of the other entries where requests wait for the service, see RivalKey
	Resumed       bool                     // resumes an interrupted stream
	Scheduled     bool                     // requests for the service are scheduled, see package scheduler
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

// Self is the entry that a Balancer belongs to.
type Self struct {
	ID     gooseberrypass.ID
	Region gooseberrypass.Region
}

// A Balancer chooses endpoints. It is safe for concurrent use.
type Balancer struct {
	clock    gooseberrypass.Clock
	logger   logrus.FieldLogger
	regionOf func(gooseberrypass.FailureDomain) gooseberrypass.Region
	rng      *rand.Rand
	self     Self
	selfKey  uint64 // RivalKey of self
	settings Settings

	onCapacity atomic.Pointer[func(service gooseberrypass.ID, ended bool)] // set by OnCapacity

	mu           sync.Mutex
	advised      map[gooseberrypass.ID]*endpoint // listed endpoints of which an advisory is known
	cold         coldEndpoints
	coldLogs     map[gooseberrypass.ID]coldLog   // by service
	demands      map[gooseberrypass.ID]*demand   // of this entry, by service
	departures   map[gooseberrypass.ID]departure // endpoints that said that they leave
	drainsAt     map[string]time.Time            // announced start of the drain of endpoints, by address
	endpoints    map[gooseberrypass.ID]*endpoint
	entriesEpoch int                                                 // rises when entries come or go
	entryDemands map[gooseberrypass.ID]map[gooseberrypass.ID]float64 // last demand that each other entry reported, by service
	entriesSeen  map[gooseberrypass.ID]time.Time                     // last report of each other entry
	headTimes    map[gooseberrypass.ID]time.Duration                 // moving average of the time to the head of an answer, by service
	localEntries int                                                 // entries in this entry's region, including itself
	pacesHeard   map[gooseberrypass.ID]time.Time                     // when a pace was last heard from any endpoint, by service
	pauses       map[gooseberrypass.ID]*pause                        // by endpoint
	reports      map[gooseberrypass.ID]map[gooseberrypass.ID]Load    // last load that each other entry reported, by endpoint
	services     map[gooseberrypass.ID]*pool
	unlisted     map[gooseberrypass.ID]*endpoint // with a limit, that are no longer listed
	snapshot     *materializer.Snapshot
	statuses     map[string]EndpointStatus // last reported statuses, by address of the endpoint
	statusesSeen map[string]time.Time      // last report of each status, by address
	waiting      map[*Ticket]struct{}      // tickets of requests that have not begun
}

// New returns the balancer of an entry.
func New(clock gooseberrypass.Clock, self Self, regionOf func(gooseberrypass.FailureDomain) gooseberrypass.Region, settings Settings, seed uint64, logger logrus.FieldLogger) *Balancer {
	return &Balancer{
		advised:      map[gooseberrypass.ID]*endpoint{},
		clock:        clock,
		cold:         coldEndpoints{known: map[gooseberrypass.ID]coldness{}, listLag: settings.ListLag},
		coldLogs:     map[gooseberrypass.ID]coldLog{},
		demands:      map[gooseberrypass.ID]*demand{},
		departures:   map[gooseberrypass.ID]departure{},
		drainsAt:     map[string]time.Time{},
		entryDemands: map[gooseberrypass.ID]map[gooseberrypass.ID]float64{},
		endpoints:    map[gooseberrypass.ID]*endpoint{},
		localEntries: 1,
		headTimes:    map[gooseberrypass.ID]time.Duration{},
		entriesSeen:  map[gooseberrypass.ID]time.Time{},
		statusesSeen: map[string]time.Time{},
		statuses:     map[string]EndpointStatus{},
		logger:       logger,
		regionOf:     regionOf,
		rng:          rand.New(rand.NewPCG(seed, seed)),
		self:         self,
		selfKey:      RivalKey(self.ID),
		pacesHeard:   map[gooseberrypass.ID]time.Time{},
		pauses:       map[gooseberrypass.ID]*pause{},
		reports:      map[gooseberrypass.ID]map[gooseberrypass.ID]Load{},
		unlisted:     map[gooseberrypass.ID]*endpoint{},
		services:     map[gooseberrypass.ID]*pool{},
		settings:     settings,
		snapshot:     &materializer.Snapshot{},
		waiting:      map[*Ticket]struct{}{},
	}
}

// Handle implements gooseberrypass.Controller.
func (b *Balancer) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case materializer.Changed:
		b.locked(func() { b.update(e.Snapshot) })
		b.reportAllCapacity()
	case materializer.EndpointsRenewed:
		b.locked(func() { b.updateRenewed(now, e.Endpoints) })
	case gooseberrypass.Tick:
		b.locked(func() { b.expire(now) })
		b.reportAllCapacity() // backoffs, ejections and pauses end with time alone
	}
	return nil
}

// update replaces the snapshot and the endpoints. Known endpoints keep their load.
func (b *Balancer) update(snapshot *materializer.Snapshot) {
	b.logEvacuations(snapshot)
	b.snapshot = snapshot
	known := map[gooseberrypass.ID]struct{}{}
	services := map[gooseberrypass.ID]*pool{}
	for _, listed := range snapshot.Endpoints {
		known[listed.ID] = struct{}{}
		e, ok := b.endpoints[listed.ID]
		if !ok {
			e = &endpoint{key: RivalKey(listed.ID)}
			for _, loads := range b.reports {
				e.others.add(loads[listed.ID])
			}
			b.endpoints[listed.ID] = e
		}
		if ok && listed.StartMillis > e.listed.StartMillis && e.listed.StartMillis > 0 {
			b.storeAdvisory(e, advisory{heardAt: b.clock.Now()}) // it has not said anything since its start
			e.limit, e.pace = limit{}, pace{}
		}
		e.listed, e.region = listed, b.regionOf(listed.FailureDomain)
		e.remote = e.region != b.self.Region
		if !ok {
			b.restoreLimit(e)
		}
		if services[listed.Service] == nil {
			services[listed.Service] = &pool{}
		}
		services[listed.Service].add(e)
	}
	for id, e := range b.endpoints {
		if _, ok := known[id]; !ok {
			if e.advisory.Limited {
				b.unlisted[id] = e
			}
			delete(b.advised, id)
			delete(b.endpoints, id)
		}
	}
	b.services = services
	b.entriesEpoch++
	b.updateCold(b.clock.Now())
	for t := range b.waiting {
		t.updateMustBegin()
	}
}

// expire drops the reports of processes that have not reported for ReportTTL.
func (b *Balancer) expire(now time.Time) {
	for id, at := range b.entriesSeen {
		if now.Sub(at) < b.settings.ReportTTL {
			continue
		}
		delete(b.entriesSeen, id)
		delete(b.entryDemands, id)
		b.replaceReport(id, nil)
		b.entriesEpoch++
	}
	b.countLocalEntries()
	b.expireAdvisories(now)
	b.expireCold(now)
	b.expireDepartures(now)
	b.expirePaces(now)
	b.expirePauses(now)
	b.shareLimits(now)
	for address, at := range b.statusesSeen {
		if now.Sub(at) >= b.settings.StatusTTL {
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
		if _, ok := b.entriesSeen[p.ID]; ok && p.Region != b.self.Region {
			b.localEntries--
		}
	}
}

// SetEntryLoads replaces the load that another entry reports, by endpoint, and records the
// paces that it has heard.
func (b *Balancer) SetEntryLoads(now time.Time, from gooseberrypass.ID, loads map[gooseberrypass.ID]Load) {
	var freed []gooseberrypass.ID
	b.locked(func() {
		if _, ok := b.entriesSeen[from]; !ok {
			b.entriesEpoch++
			defer b.countLocalEntries()
		}
		b.entriesSeen[from] = now
		freed = b.servicesFreed(b.reports[from], loads)
		b.replaceReport(from, loads)
		for id, load := range loads {
			if e, ok := b.endpoints[id]; ok {
				b.addEntryPace(now, e, load, from)
			}
		}
	})
	b.reportCapacity(false, freed...)
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
	replaceReported(b.reports, from, loads)
}

// replaceReported replaces what another entry reported. An empty report is not kept.
func replaceReported[T any](reports map[gooseberrypass.ID]map[gooseberrypass.ID]T, from gooseberrypass.ID, report map[gooseberrypass.ID]T) {
	if len(report) == 0 {
		delete(reports, from)
		return
	}
	reports[from] = report
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

// OwnLoads returns the load that this entry puts on endpoints, and the paces that it has
// heard from them of late.
func (b *Balancer) OwnLoads() map[gooseberrypass.ID]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	loads := map[gooseberrypass.ID]Load{}
	for id, e := range b.endpoints {
		e.reported = e.own.Requests
		ratio, age := b.ownPace(now, e)
		if e.own.Requests > 0 || ratio > 0 {
			load := e.own
			load.Pace, load.PaceAge = ratio, age
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
	if !q.Polled {
		b.countDemand(now, q.Service)
	}
	best, counts := b.best(now, q, false)
	// If most endpoints are silent, this process was suspended or its link failed,
	// so silence says nothing about the endpoints. Evacuated ones may all have ended
	// their requests.
	if best == nil && 2*counts.byState[stateSilent] > b.services[q.Service].len()-counts.byState[stateEvacuated] {
		best, counts = b.best(now, q, true)
	}
	if best == nil {
		return nil, counts.refusal()
	}
	t := &Ticket{balancer: b, endpoint: best, expectedVersion: q.Version, target: best.listed, inFlight: best.total(1).Requests, model: q.Model, unread: q.PromptTokens}
	if q.Model != "" {
		t.version = b.loadedVersion(best, q.Model)
	}
	oldest, wanted := b.snapshot.Targets[q.Model].Oldest()
	if t.expectedVersion == 0 && (counts.required > 0 || wanted && t.version >= oldest.Version) {
		t.expectedVersion = t.version
	}
	best.takeFromLimits(now)
	b.startProbe(t)
	if best.own.Requests == 0 {
		best.busySince = now
	}
	best.own.Requests++
	best.own.UnreadTokens += q.PromptTokens
	return t, nil
}

var _ gooseberrypass.Controller = (*Balancer)(nil)
