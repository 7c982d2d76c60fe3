package fetcher

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/keeper"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

// listPatience is how long after the first configuration a fetcher waits for a
// list of instances that has its own in it. One that fetched earlier would
// believe to be the first in rank, as would every other after a cold start.
const listPatience = 20 * time.Second

// maxStorePuts bounds the copies to the weight store at once. Those beyond are
// left out: the store is a help, not a need.
const maxStorePuts = 2

// A Fetcher is the controller that gets wanted versions. The loader tells it
// what is wanted.
type Fetcher struct {
	config  *gooseberrypass.Config
	configs time.Time // of the first configuration
	drops   uint64    // of the keeper when kept was made
	kept    map[gooseberrypass.Digest]Progress
	keeper  *keeper.Keeper
	listed  bool // whether a list had this instance in it
	log     logrus.FieldLogger
	members []gooseberrypass.Member
	metrics *metrics
	planner *Planner
	puts    int
	reader  *Reader
	self    gooseberrypass.ListedInstance
	store   gooseberrypass.WeightStore
	stopped bool
	stops   map[uint64]stop
	wants   []Want
	watched bool
}

// A stop ends one fetch in progress.
type stop struct {
	ch    chan struct{}
	fetch Fetch
}

// New returns the fetcher of the instance self.
func New(
	self gooseberrypass.ListedInstance,
	keeper *keeper.Keeper,
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
		keeper:  keeper,
		log:     log,
		metrics: m,
		planner: NewPlanner(self.ID, keeper, reader.store != nil, seed, settings),
		reader:  reader,
		self:    self,
		stops:   map[uint64]stop{},
		store:   reader.store,
	}, nil
}

// Progress tells how far a wanted version is, and how much of any other is
// still held.
func (f *Fetcher) Progress(digest gooseberrypass.Digest) Progress {
	if f.planner.version(digest) != nil {
		return f.planner.Progress(digest)
	}
	drops := f.keeper.Evictions()
	if drops != f.drops || f.kept == nil {
		f.drops, f.kept = drops, map[gooseberrypass.Digest]Progress{}
	}
	p, ok := f.kept[digest]
	if !ok {
		p = f.count(digest)
		f.kept[digest] = p
	}
	return p
}

// count counts the chunks held of a version that is not wanted.
func (f *Fetcher) count(digest gooseberrypass.Digest) Progress {
	encoded, err := f.keeper.Chunk(digest)
	if err != nil {
		return Progress{}
	}
	manifest, err := gooseberrypass.ParseManifest(encoded)
	if err != nil {
		return Progress{}
	}
	p := Progress{Manifest: manifest, Total: manifest.Len()}
	for i := range manifest.Len() {
		if f.keeper.Has(manifest.Chunk(i).Digest) {
			p.Held++
		}
	}
	return p
}

// SetWants replaces the versions to be fetched and kept, most urgent first.
func (f *Fetcher) SetWants(now time.Time, wants []Want) []gooseberrypass.Effect {
	if f.stopped {
		return nil
	}
	f.kept, f.wants = nil, wants
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
			f.configs = now
		}
		f.config = e.Config
		f.keeper.SetLimit(e.Config.System().ChunkMemory())
		f.planner.Activate()
		f.planner.SetCopies(e.Config.System().OriginBudget())
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
	case demandSeen:
		f.watched = false
		for _, digest := range e.digests {
			f.planner.Demand(digest)
		}
	case putDone:
		f.puts--
	case FetchDone:
		effects = f.finish(now, e)
	}
	effects = append(effects, f.plan(now)...)
	return append(effects, f.watch()...)
}

// stop gives up every fetch, for a planned stop.
func (f *Fetcher) stop() {
	f.stopped = true
	for _, s := range f.stops {
		close(s.ch)
	}
	clear(f.stops)
}

func (f *Fetcher) setRanking(now time.Time) {
	if f.config == nil {
		return
	}
	f.listed = f.listed || slices.ContainsFunc(f.members, func(m gooseberrypass.Member) bool {
		return m.Listed.ID == f.self.ID
	})
	if !f.listed && now.Sub(f.configs) < listPatience {
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

// setRegionRate shares the links to other regions among the instances.
func (f *Fetcher) setRegionRate(instances []gooseberrypass.ListedInstance) {
	n := 0
	for _, i := range instances {
		if i.Region == f.self.Region {
			n++
		}
	}
	regionRate := f.config.System().RegionRate()
	f.reader.SetRegionRate(regionRate, n)
	f.planner.SetFarRate(regionRate / int64(max(n, 1)))
}

// setPeers tells the planner who says that it holds a wanted version, and who
// does not know its chunks yet.
func (f *Fetcher) setPeers() {
	for _, w := range f.wants {
		holders := map[gooseberrypass.ID]struct{}{}
		behind := map[gooseberrypass.ID]struct{}{}
		for _, m := range f.members {
			if m.Silent || m.Status == nil {
				continue
			}
			target, ok := targetOf(m.Status, w.Digest)
			switch {
			case !ok || target.Total == 0:
				behind[m.Listed.ID] = struct{}{}
			case target.Total > 0 && target.Held == target.Total:
				holders[m.Listed.ID] = struct{}{}
			}
		}
		f.planner.SetPeers(w.Digest, holders, behind)
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

func (f *Fetcher) plan(now time.Time) []gooseberrypass.Effect {
	if pins, changed := f.planner.Pins(); changed {
		f.keeper.Pin(pins)
	}
	starts, cancels := f.planner.Plan(now)
	for _, id := range cancels {
		if s, ok := f.stops[id]; ok {
			close(s.ch)
			delete(f.stops, id)
		}
	}
	effects := make([]gooseberrypass.Effect, 0, len(starts))
	for _, fetch := range starts {
		s := stop{ch: make(chan struct{}), fetch: fetch}
		f.stops[fetch.ID] = s
		effects = append(effects, fetchEffect{fetch: fetch, reader: f.reader, stop: s.ch})
	}
	return effects
}

func (f *Fetcher) finish(now time.Time, e FetchDone) []gooseberrypass.Effect {
	delete(f.stops, e.Fetch.ID)
	f.metrics.observe(e)
	f.planner.Finish(now, e.Done)
	if e.Done.Result == ResultCorrupt {
		f.log.WithFields(logrus.Fields{
			"chunk": e.Fetch.Item.Digest.Short(), "peer": e.Fetch.Peer.ID, labelSource: e.Fetch.Kind,
		}).Warn("dropped bytes that do not match their digest")
	}
	if e.Done.Result == ResultOK && e.Fetch.Kind == SourceOrigin && f.store != nil && f.puts < maxStorePuts {
		f.puts++
		return []gooseberrypass.Effect{putEffect{digest: e.Fetch.Item.Digest, keeper: f.keeper, store: f.store}}
	}
	return nil
}

// watch waits for the next demand of another instance.
func (f *Fetcher) watch() []gooseberrypass.Effect {
	if f.watched {
		return nil
	}
	f.watched = true
	return []gooseberrypass.Effect{watchEffect{demands: f.keeper.Demands()}}
}

var _ gooseberrypass.Controller = (*Fetcher)(nil)
