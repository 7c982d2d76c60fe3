package fetcher

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

// listTimeout is how long after the first configuration a fetcher waits for a
// list of instances that contains its own. After a cold start, an instance that
// fetched without the list would take itself for the first in rank, as would
// every other instance.
const listTimeout = 20 * time.Second

// maxStorePuts bounds the concurrent writes to the weight store. Further chunks
// are not written, as the store is optional.
const maxStorePuts = 2

// A Fetcher is the controller that fetches wanted versions. The loader sets which
// versions are wanted.
type Fetcher struct {
	cacher         *cacher.Cacher
	config         *gooseberrypass.Config
	configuredAt   time.Time // time of the first configuration
	listed         bool      // whether a list of instances has contained this one
	log            logrus.FieldLogger
	members        []gooseberrypass.Member
	metrics        *metrics
	otherEvictions uint64                             // eviction count for which otherProgress is valid
	otherProgress  map[gooseberrypass.Digest]Progress // cached progress of versions that are not wanted
	planner        *Planner
	reader         *Reader
	running        map[uint64]runningFetch
	self           gooseberrypass.ListedInstance
	stopped        bool
	store          gooseberrypass.WeightStore
	storePuts      int // writes to the weight store in flight
	waiting        *waitingList
	wants          []Want
	watching       bool // whether a watchDemandEffect runs
}

// A runningFetch is a fetch in flight. Closing cancel cancels it.
type runningFetch struct {
	cancel chan struct{}
	fetch  Fetch
}

// New returns a fetcher for the instance self.
func New(
	self gooseberrypass.ListedInstance,
	cacher *cacher.Cacher,
	reader *Reader,
	seed uint64,
	settings Settings,
	registerer prometheus.Registerer,
	log logrus.FieldLogger,
) (*Fetcher, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	return &Fetcher{
		cacher:  cacher,
		log:     log,
		metrics: m,
		planner: NewPlanner(self.ID, cacher, reader.store != nil, seed, settings),
		reader:  reader,
		self:    self,
		running: map[uint64]runningFetch{},
		store:   reader.store,
		waiting: newWaitingList(m.waiting, log),
	}, nil
}

// Progress returns the progress of a wanted version. For any other version it
// returns which part is still held.
func (f *Fetcher) Progress(digest gooseberrypass.Digest) Progress {
	if f.planner.version(digest) != nil {
		return f.planner.Progress(digest)
	}
	drops := f.cacher.Evictions()
	if drops != f.otherEvictions || f.otherProgress == nil {
		f.otherEvictions, f.otherProgress = drops, map[gooseberrypass.Digest]Progress{}
	}
	p, ok := f.otherProgress[digest]
	if !ok {
		p = f.countHeld(digest)
		f.otherProgress[digest] = p
	}
	return p
}

// countHeld returns the progress of a version that is not wanted, by the chunks
// that are still held.
func (f *Fetcher) countHeld(digest gooseberrypass.Digest) Progress {
	encoded, err := f.cacher.Chunk(digest)
	if err != nil {
		return Progress{}
	}
	manifest, err := gooseberrypass.ParseManifest(encoded)
	if err != nil {
		return Progress{}
	}
	p := Progress{Manifest: manifest, Total: manifest.Len()}
	for i := range manifest.Len() {
		if f.cacher.Has(manifest.Chunk(i).Digest) {
			p.Held++
		}
	}
	return p
}

// SetWants replaces the versions to fetch and keep, most urgent first.
func (f *Fetcher) SetWants(now time.Time, wants []Want) []gooseberrypass.Effect {
	if f.stopped {
		return nil
	}
	f.otherProgress, f.wants = nil, wants
	f.planner.SetWants(wants)
	f.setPeers()
	return f.plan(now)
}

// Handle implements gooseberrypass.Controller.
func (f *Fetcher) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if f.stopped {
		return nil
	}
	var effects []gooseberrypass.Effect
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		if f.config == nil {
			f.configuredAt = now
		}
		f.config = e.Config
		f.cacher.SetLimit(e.Config.System().ChunkMemory())
		f.planner.Activate()
		f.planner.SetOriginCopies(e.Config.System().OriginBudget())
		f.setRanking(now)
	case gooseberrypass.MembersChanged:
		f.members = e.Members
		f.setRanking(now)
		f.setPeers()
	case gooseberrypass.Tick:
		if !f.listed {
			f.setRanking(now)
		}
	case gooseberrypass.StopRequested:
		f.stop()
		return nil
	case demandsReceived:
		f.watching = false
		for _, digest := range e.digests {
			f.planner.Demand(digest)
		}
	case storePutDone:
		f.storePuts--
	case FetchDone:
		effects = f.finish(now, e)
	}
	effects = append(effects, f.plan(now)...)
	return append(effects, f.watchDemand()...)
}

// stop cancels all fetches for a planned stop.
func (f *Fetcher) stop() {
	f.stopped = true
	for _, r := range f.running {
		close(r.cancel)
	}
	clear(f.running)
}

// setRanking ranks the live instances of the pool, once this instance is listed
// or listTimeout has passed.
func (f *Fetcher) setRanking(now time.Time) {
	if f.config == nil {
		return
	}
	f.listed = f.listed || slices.ContainsFunc(f.members, func(m gooseberrypass.Member) bool {
		return m.Listed.ID == f.self.ID
	})
	if !f.listed && now.Sub(f.configuredAt) < listTimeout {
		return
	}
	pool := f.config.PoolOf(f.self)
	instances := []gooseberrypass.ListedInstance{f.self}
	for _, m := range f.members {
		if m.Listed.ID != f.self.ID && m.Listed.Role == gooseberrypass.RoleAgent &&
			m.Listed.State == gooseberrypass.ListedLive && !m.Silent && f.config.PoolOf(m.Listed) == pool {
			instances = append(instances, m.Listed)
		}
	}
	f.setRegionRate(instances)
	f.planner.SetRanking(ranker.New(instances, f.config.System().OriginRegion(), f.planner.settings.Fanout))
}

// setRegionRate divides the rate of the links to other regions among those of
// the instances that are in this region.
func (f *Fetcher) setRegionRate(instances []gooseberrypass.ListedInstance) {
	n := 0
	for _, i := range instances {
		if i.Region == f.self.Region {
			n++
		}
	}
	regionRate := f.config.System().RegionRate()
	f.reader.SetRegionRate(regionRate, n)
	f.planner.SetCrossRegionRate(regionRate / int64(max(n, 1)))
}

// setPeers passes to the planner, for each wanted version, which instances report
// that they hold all of it and which report no chunk list for it yet.
func (f *Fetcher) setPeers() {
	for _, w := range f.wants {
		seeders := map[gooseberrypass.ID]struct{}{}
		lagging := map[gooseberrypass.ID]struct{}{}
		for _, m := range f.members {
			if m.Silent || m.Status == nil {
				continue
			}
			target, ok := targetOf(m.Status, w.Digest)
			switch {
			case !ok || target.Total == 0:
				lagging[m.Listed.ID] = struct{}{}
			case target.Total > 0 && target.Held == target.Total:
				seeders[m.Listed.ID] = struct{}{}
			}
		}
		f.planner.SetPeers(w.Digest, seeders, lagging)
	}
}

func targetOf(status *gooseberrypass.AgentStatus, digest gooseberrypass.Digest) (gooseberrypass.TargetStatus, bool) {
	for _, t := range status.Targets {
		if t.Digest == digest {
			return t, true
		}
	}
	return gooseberrypass.TargetStatus{}, false
}

// plan pins the chunks to keep, cancels and starts fetches, and returns the
// effects of those that it starts.
func (f *Fetcher) plan(now time.Time) []gooseberrypass.Effect {
	if pins, changed := f.planner.Pins(); changed {
		f.cacher.Pin(pins)
		f.waiting.update(now, f.planner)
	}
	starts, cancels := f.planner.Plan(now)
	for _, id := range cancels {
		if r, ok := f.running[id]; ok {
			close(r.cancel)
			delete(f.running, id)
		}
	}
	effects := make([]gooseberrypass.Effect, 0, len(starts))
	for _, fetch := range starts {
		r := runningFetch{cancel: make(chan struct{}), fetch: fetch}
		f.running[fetch.ID] = r
		effects = append(effects, fetchEffect{fetch: fetch, reader: f.reader, stop: r.cancel})
	}
	return effects
}

func (f *Fetcher) finish(now time.Time, e FetchDone) []gooseberrypass.Effect {
	delete(f.running, e.Fetch.ID)
	f.metrics.observe(e)
	f.planner.Finish(now, e.Outcome)
	if e.Outcome.Result == ResultCorrupt {
		f.log.WithFields(logrus.Fields{
			"chunk": e.Fetch.Item.Digest.Short(), "peer": e.Fetch.Peer.ID, labelSource: e.Fetch.Kind,
		}).Warn("chunk dropped: its bytes do not match its digest")
	}
	if e.Outcome.Result == ResultOK && e.Fetch.Kind == SourceOrigin && f.store != nil && f.storePuts < maxStorePuts {
		f.storePuts++
		return []gooseberrypass.Effect{storePutEffect{cacher: f.cacher, digest: e.Fetch.Item.Digest, store: f.store}}
	}
	return nil
}

// watchDemand starts to watch for the next demand of another instance, unless it
// is watched already.
func (f *Fetcher) watchDemand() []gooseberrypass.Effect {
	if f.watching {
		return nil
	}
	f.watching = true
	return []gooseberrypass.Effect{watchDemandEffect{demands: f.cacher.Demands()}}
}

var _ gooseberrypass.Controller = (*Fetcher)(nil)
