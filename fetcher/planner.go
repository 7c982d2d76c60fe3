package fetcher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

const (
	budgetPause         = time.Second // before the origin budget is checked again
	busyPause           = 50 * time.Millisecond
	initialPendingWaits = 4 // how long to wait for a pending peer before any item was fetched, in units of Settings.Wait
	lagRetryPause       = 300 * time.Millisecond
	lagTimeout          = 10 * time.Second // for a peer that has not learned of the version yet
	maxBusyAnswers      = 3                // busy answers of peers to one item before a peer is skipped
	maxDemands          = 1024
	maxNotHeldAnswers   = 2 // not-held answers of peers that know of the version to one item before a peer is skipped
	maxProbes           = 2 // probes of later ranks before a repeated read from the origin
	maxSeederTries      = 3
	mismatchThreshold   = 2 // wrong reads after which the origin's bytes count as changed
	noRoomPause         = 5 * time.Second
	pacedRegionInFlight = 4 // concurrent reads from one other region under a rate limit
	probePause          = 50 * time.Millisecond
	storeTimeoutFactor  = 4 // maximum timeout of the weight store, in units of its minimum timeout
)

// LocalChunks are the chunks and manifests held by this instance.
type LocalChunks interface {
	Chunk(digest gooseberrypass.Digest) ([]byte, error)
	Has(digest gooseberrypass.Digest) bool
	// Limit returns how many bytes may be held.
	Limit() int64
}

// A Planner decides what to fetch next, and from which source. It does no I/O: its
// caller starts the fetches that Plan returns and reports their outcomes with
// Finish. It is deterministic: the same calls with the same seed give the same
// decisions. It is not safe for concurrent use.
type Planner struct {
	budget          budget
	cancels         []uint64 // IDs of fetches that the next Plan cancels
	crossRegionRate int64    // bytes a second from each other region, 0 for no limit
	demanded        []gooseberrypass.Digest
	estimates       [sourceKinds]durationEstimate // estimated durations of transfers
	hasStore        bool
	inFlight        [sourceKinds]int // number of transfers
	items           map[gooseberrypass.Digest]*item
	itemTimes       durationEstimate                                         // from the first try of an item until it is held
	lagging         map[gooseberrypass.Digest]map[gooseberrypass.ID]struct{} // instances that do not know the chunks of a version yet, by version
	lastID          uint64                                                   // ID of the last fetch
	local           LocalChunks
	originCopies    float64 // copies of a version that all instances may read from the origin, including the first
	peerBackoffs    *peerBackoffs
	pins            map[gooseberrypass.Digest]struct{} // nil after a change
	ranking         *ranker.Ranking
	reducedWindow   int // window after slow transfers, 0 for the full window
	rng             *rand.Rand
	seeders         map[gooseberrypass.Digest]map[gooseberrypass.ID]struct{} // instances that hold all of a version, by version
	self            gooseberrypass.ID
	settings        Settings
	sourceBackoffs  [sourceKinds]sourceBackoff
	storeFirstAsked time.Time
	transfers       map[uint64]*transfer // transfers in flight, by ID of the fetch
	versions        []*version
}

// A transfer is a fetch in flight.
type transfer struct {
	fetch Fetch
	item  *item
	rank  int // rank of this instance for the item
}

// A sourceBackoff is the backoff of the weight store or the origin.
type sourceBackoff struct {
	failures int
	until    time.Time
}

// NewPlanner returns a planner for the instance self. store reports whether there
// is a weight store.
func NewPlanner(self gooseberrypass.ID, local LocalChunks, store bool, seed uint64, settings Settings) *Planner {
	settings = settings.withDefaults()
	return &Planner{
		hasStore:      store,
		items:         map[gooseberrypass.Digest]*item{},
		lagging:       map[gooseberrypass.Digest]map[gooseberrypass.ID]struct{}{},
		local:         local,
		originCopies:  1,
		peerBackoffs:  newPeerBackoffs(settings.PeerBackoffBase, settings.PeerBackoffMax),
		reducedWindow: settings.InitialWindow,
		rng:           rand.New(rand.NewPCG(seed, seed)),
		seeders:       map[gooseberrypass.Digest]map[gooseberrypass.ID]struct{}{},
		self:          self,
		settings:      settings,
		transfers:     map[uint64]*transfer{},
	}
}

// SetRanking sets the ranking, which must contain the planner's instance.
func (p *Planner) SetRanking(ranking *ranker.Ranking) {
	p.ranking = ranking
	p.peerBackoffs.prune(ranking.Contains)
}

// SetOriginCopies sets how many copies of a version all instances together may
// read from the origin.
func (p *Planner) SetOriginCopies(copies float64) { p.originCopies = copies }

// SetCrossRegionRate sets how many bytes a second this instance may read from
// each other region. 0 means no limit.
func (p *Planner) SetCrossRegionRate(rate int64) { p.crossRegionRate = rate }

// SetPeers sets which instances report that they hold all of a version (seeders),
// and which do not know its chunks yet (lagging).
func (p *Planner) SetPeers(digest gooseberrypass.Digest, seeders, lagging map[gooseberrypass.ID]struct{}) {
	p.seeders[digest], p.lagging[digest] = seeders, lagging
}

// SetWants replaces the wanted versions, most urgent first. Fetches of items that
// belong to none of them are cancelled.
func (p *Planner) SetWants(wants []Want) {
	old := p.items
	errs := map[gooseberrypass.Digest]string{}
	for _, v := range p.versions {
		errs[v.want.Digest] = v.err
	}
	p.items = make(map[gooseberrypass.Digest]*item, len(old))
	p.versions = nil
	for _, w := range wants {
		p.versions = append(p.versions, p.newVersion(w, old))
	}
	p.Activate()
	for id, t := range p.transfers {
		if _, ok := p.items[t.item.Digest]; !ok {
			p.cancels = append(p.cancels, id)
		}
	}
	for digest := range p.seeders {
		if p.version(digest) == nil {
			delete(p.seeders, digest)
			delete(p.lagging, digest)
		}
	}
}

// newVersion returns the state of a wanted version. It takes items from old where
// it can.
func (p *Planner) newVersion(w Want, old map[gooseberrypass.Digest]*item) *version {
	v := &version{active: true, want: w}
	v.items = []*item{p.addItem(Item{
		Digest: w.Digest, Manifest: true, Model: w.OriginName,
		Size: gooseberrypass.MaxManifestSize, Version: w.Version,
	}, w.Digest, old)}
	if v.items[0].held {
		p.loadManifest(v, old)
	}
	return v
}

// loadManifest parses the manifest of a version and adds its chunks as items.
func (p *Planner) loadManifest(v *version, old map[gooseberrypass.Digest]*item) {
	encoded, err := p.local.Chunk(v.want.Digest)
	if err != nil {
		v.err = err.Error()
		return
	}
	v.manifest, err = gooseberrypass.ParseManifest(encoded)
	if err != nil {
		v.err = err.Error()
		return
	}
	v.items = v.items[:1]
	seen := make(map[gooseberrypass.Digest]struct{}, v.manifest.Len())
	for i := range v.manifest.Len() {
		chunk := v.manifest.Chunk(i)
		if _, ok := seen[chunk.Digest]; ok {
			continue
		}
		seen[chunk.Digest] = struct{}{}
		it := p.addItem(Item{
			Digest: chunk.Digest, Index: i, Model: v.want.OriginName, Offset: v.manifest.Offset(i),
			Size: chunk.Size, Version: v.want.Version,
		}, v.want.Digest, old)
		v.items = append(v.items, it)
	}
	v.total = len(seen)
	v.countMissing()
}

// addItem returns the item with the digest of i. It takes it from p.items or old
// if it is there.
func (p *Planner) addItem(i Item, owner gooseberrypass.Digest, old map[gooseberrypass.Digest]*item) *item {
	it, ok := p.items[i.Digest]
	if ok {
		return it
	}
	if it, ok = old[i.Digest]; !ok {
		it = &item{}
	}
	it.Item, it.owner = i, owner
	it.held = p.local.Has(i.Digest)
	p.items[i.Digest] = it
	return it
}

// Activate selects the versions that are fetched: those that fit in chunk memory
// together, most urgent first. It must be called after a change of the limit.
func (p *Planner) Activate() {
	p.pins = nil
	counted := map[gooseberrypass.Digest]struct{}{}
	var bytes int64
	for _, v := range p.versions {
		waited := !v.active
		v.active, v.memoryErr = true, ""
		if v.manifest == nil {
			continue
		}
		alone, beside := v.memory(counted)
		v.active = bytes+beside <= p.local.Limit()
		if waited && v.active {
			p.recount(v)
		}
		if alone > p.local.Limit() {
			v.memoryErr = fmt.Sprintf("the version needs %d bytes of chunk memory, the limit is %d", alone, p.local.Limit())
		}
		if !v.active {
			continue
		}
		bytes += beside
		for _, it := range v.items[1:] {
			counted[it.Digest] = struct{}{}
		}
	}
}

// recount updates which items of a version are held. The chunks of a version that waits for
// chunk memory are not pinned and may have been evicted. Other versions may share them.
func (p *Planner) recount(v *version) {
	for _, it := range v.items {
		it.held = p.local.Has(it.Digest)
	}
	for _, other := range p.versions {
		other.countMissing()
	}
}

// Pins returns the digests to pin, and whether they have changed since the last
// call. Pinned items are kept once they are held, and peers that request one before
// may wait for it. Callers must not modify the map.
func (p *Planner) Pins() (map[gooseberrypass.Digest]struct{}, bool) {
	if p.pins != nil {
		return p.pins, false
	}
	pins := map[gooseberrypass.Digest]struct{}{}
	for _, v := range p.versions {
		if !v.active {
			continue
		}
		for _, it := range v.items {
			if it.held || !it.yielded {
				pins[it.Digest] = struct{}{}
			}
		}
	}
	p.pins = pins
	return pins, true
}

// Progress returns the progress of a wanted version, and the zero value for any
// other.
func (p *Planner) Progress(digest gooseberrypass.Digest) Progress {
	v := p.version(digest)
	if v == nil {
		return Progress{}
	}
	return v.progress()
}

func (p *Planner) version(digest gooseberrypass.Digest) *version {
	for _, v := range p.versions {
		if v.want.Digest == digest {
			return v
		}
	}
	return nil
}

// activeVersions returns the names of the versions that are fetched and kept, most urgent
// first.
func (p *Planner) activeVersions() []string {
	var names []string
	for _, v := range p.versions {
		if v.active {
			names = append(names, v.want.Version)
		}
	}
	return names
}

// Demand handles a request of another instance for an item that is not held yet.
// Demanded items are fetched first.
func (p *Planner) Demand(digest gooseberrypass.Digest) {
	it, ok := p.items[digest]
	if ok && !it.held && !it.demanded && len(p.demanded) < maxDemands {
		it.demanded = true
		p.demanded = append(p.demanded, digest)
	}
}
