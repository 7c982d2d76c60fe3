package fetcher

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

const (
	budgetPause      = time.Second // until the budget is asked again
	busyPause        = 50 * time.Millisecond
	lagPatience      = 10 * time.Second // with peers that do not know of the version yet
	lagPause         = 300 * time.Millisecond
	maxBusies        = 3
	maxDemanded      = 1024
	maxHolderTries   = 3
	maxProbes        = 2 // of later ranks before the origin is read once more
	maxRefusals      = 2 // by a peer that knows of the version
	pacedFarInFlight = 4 // reads from one other region at once under a rate
	mismatchesBad    = 2 // from the origin, until its bytes are held to have changed
	mismatchPause    = 30 * time.Second
	mismatchMax      = 10 * time.Minute
	passPause        = 10 * time.Second // for which one sender is passed over for one item
	probePause       = 50 * time.Millisecond
	roomPause        = 5 * time.Second
	sourceMax        = time.Minute
	sourcePause      = 500 * time.Millisecond
	storeLimits      = 4 // most, in least limits
	waitsPatience    = 4 // first patience, in waits
)

// A Holder tells what is held on this instance.
type Holder interface {
	Chunk(digest gooseberrypass.Digest) ([]byte, error)
	Has(digest gooseberrypass.Digest) bool
	Limit() int64
}

// A Planner decides what to fetch next, and from where. It does nothing itself:
// its caller starts the fetches that Plan returns and tells what became of them.
// Equal calls with an equal seed give equal decisions. It is not safe for use by
// several goroutines.
type Planner struct {
	avoid      *avoider
	behind     map[gooseberrypass.Digest]map[gooseberrypass.ID]struct{}
	budget     budget
	cancels    []uint64
	copies     float64 // that may be read from the origin, the first included
	counts     [sourceKinds]int
	demanded   []gooseberrypass.Digest
	estimates  [sourceKinds]estimate
	farRate    int64 // bytes a second from each other region, 0 for no limit
	flights    map[uint64]*flight
	holder     Holder
	holders    map[gooseberrypass.Digest]map[gooseberrypass.ID]struct{}
	items      map[gooseberrypass.Digest]*item
	last       uint64
	outside    [sourceKinds]backoff
	pins       map[gooseberrypass.Digest]struct{} // nil after a change
	ranking    *ranker.Ranking
	rng        *rand.Rand
	self       gooseberrypass.ID
	settings   Settings
	store      bool
	storeAsked time.Time // for the first time
	versions   []*version
	whole      estimate // from the first try of an item to its end
}

type flight struct {
	fetch Fetch
	item  *item
	rank  int
}

// A backoff pauses a source outside the pool.
type backoff struct {
	strikes int
	until   time.Time
}

// NewPlanner returns a planner for the instance self. store tells whether there
// is a weight store.
func NewPlanner(self gooseberrypass.ID, holder Holder, store bool, seed uint64, settings Settings) *Planner {
	return &Planner{
		avoid:    newAvoider(),
		behind:   map[gooseberrypass.Digest]map[gooseberrypass.ID]struct{}{},
		copies:   1,
		flights:  map[uint64]*flight{},
		holder:   holder,
		holders:  map[gooseberrypass.Digest]map[gooseberrypass.ID]struct{}{},
		items:    map[gooseberrypass.Digest]*item{},
		rng:      rand.New(rand.NewPCG(seed, seed)),
		self:     self,
		settings: settings.withDefaults(),
		store:    store,
	}
}

// SetRanking changes the ranking, which must contain the planner's instance.
func (p *Planner) SetRanking(ranking *ranker.Ranking) {
	p.ranking = ranking
	p.avoid.keep(ranking.Contains)
}

// SetCopies changes how many copies of a version all instances together may
// read from the origin.
func (p *Planner) SetCopies(copies float64) { p.copies = copies }

// SetFarRate changes the bytes a second that this instance may take from each
// other region; 0 is no limit.
func (p *Planner) SetFarRate(farRate int64) { p.farRate = farRate }

// SetPeers tells which instances say that they hold a version whole, and which
// do not know yet that it is wanted.
func (p *Planner) SetPeers(digest gooseberrypass.Digest, holders, behind map[gooseberrypass.ID]struct{}) {
	p.holders[digest], p.behind[digest] = holders, behind
}

// SetWants replaces the wanted versions, most urgent first. Items that no
// wanted version has are given up.
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
	for id, f := range p.flights {
		if _, ok := p.items[f.item.Digest]; !ok {
			p.cancels = append(p.cancels, id)
		}
	}
	for digest := range p.holders {
		if p.version(digest) == nil {
			delete(p.holders, digest)
			delete(p.behind, digest)
		}
	}
}

func (p *Planner) newVersion(w Want, old map[gooseberrypass.Digest]*item) *version {
	v := &version{want: w}
	v.items = []*item{p.item(Item{
		Digest: w.Digest, Manifest: true, Model: w.OriginName,
		Size: gooseberrypass.MaxManifestSize, Version: w.Version,
	}, w.Digest, old)}
	if v.items[0].held {
		p.open(v, old)
	}
	return v
}

// open reads the manifest of a version and lists its chunks.
func (p *Planner) open(v *version, old map[gooseberrypass.Digest]*item) {
	encoded, err := p.holder.Chunk(v.want.Digest)
	if err != nil {
		v.err = err.Error()
		return
	}
	v.manifest, err = gooseberrypass.ParseManifest(encoded)
	if err != nil {
		v.err = err.Error()
		return
	}
	v.items, v.first = v.items[:1], 0
	seen := make(map[gooseberrypass.Digest]struct{}, v.manifest.Len())
	for i := range v.manifest.Len() {
		chunk := v.manifest.Chunk(i)
		if _, ok := seen[chunk.Digest]; ok {
			continue
		}
		seen[chunk.Digest] = struct{}{}
		it := p.item(Item{
			Digest: chunk.Digest, Index: i, Model: v.want.OriginName, Offset: v.manifest.Offset(i),
			Size: chunk.Size, Version: v.want.Version,
		}, v.want.Digest, old)
		v.items = append(v.items, it)
		if !it.held {
			v.missing++
		}
	}
	v.total = len(seen)
}

func (p *Planner) item(i Item, owner gooseberrypass.Digest, old map[gooseberrypass.Digest]*item) *item {
	it, ok := p.items[i.Digest]
	if ok {
		return it
	}
	if it, ok = old[i.Digest]; !ok {
		it = &item{}
	}
	it.Item, it.owner = i, owner
	it.held = p.holder.Has(i.Digest)
	p.items[i.Digest] = it
	return it
}

// Activate lets the versions go ahead that fit in memory together. It is to be
// called when the limit has changed.
func (p *Planner) Activate() {
	p.pins = nil
	counted := map[gooseberrypass.Digest]struct{}{}
	var bytes int64
	for _, v := range p.versions {
		v.active, v.noRoom = true, ""
		if v.manifest == nil {
			continue
		}
		alone, beside := v.need(counted)
		v.active = bytes+beside <= p.holder.Limit()
		if alone > p.holder.Limit() {
			v.noRoom = fmt.Sprintf("the version needs %d bytes of chunk memory, the limit is %d", alone, p.holder.Limit())
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

// Pins returns the digests that are offered and must be kept once held, and whether
// they have changed since the last call. Callers must not change the map.
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
			if it.held || !it.resigned {
				pins[it.Digest] = struct{}{}
			}
		}
	}
	p.pins = pins
	return pins, true
}

// Progress tells how far a wanted version is.
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

// Demand tells that another instance waits for an item, which goes first then.
func (p *Planner) Demand(digest gooseberrypass.Digest) {
	it, ok := p.items[digest]
	if ok && !it.held && !it.demanded && len(p.demanded) < maxDemanded {
		it.demanded = true
		p.demanded = append(p.demanded, digest)
	}
}

// Plan returns the fetches to start now and the ids of those to cancel.
func (p *Planner) Plan(now time.Time) ([]Fetch, []uint64) {
	cancels := p.cancels
	p.cancels = nil
	if p.ranking == nil {
		return nil, cancels
	}
	var starts []Fetch
	for _, it := range p.demands() {
		starts = p.consider(now, it, starts)
	}
	room := p.settings.window(p.ranking.Len())
	for _, v := range p.versions {
		if !v.active || v.err != "" {
			continue
		}
		for v.first < len(v.items) && v.items[v.first].held {
			v.first++
		}
		for _, it := range v.items[v.first:] {
			if room == 0 {
				return starts, cancels
			}
			if !it.held {
				room--
				starts = p.consider(now, it, starts)
			}
		}
	}
	return starts, cancels
}

// demands returns the items asked for that are still missing.
func (p *Planner) demands() []*item {
	var items []*item
	kept := p.demanded[:0]
	for _, digest := range p.demanded {
		if it, ok := p.items[digest]; ok && !it.held {
			items = append(items, it)
			kept = append(kept, digest)
		}
	}
	p.demanded = kept
	return items
}

func (p *Planner) consider(now time.Time, it *item, starts []Fetch) []Fetch {
	if it.flying || it.held || now.Before(it.retryAt) {
		return starts
	}
	excluded := func(id gooseberrypass.ID) bool { return p.excludes(it, id, now) }
	hop := p.ranking.Hop(p.self, it.Index, it.Digest, excluded)
	fetch := Fetch{Item: it.Item}
	switch {
	case hop.Parent != nil:
		fetch.Kind, fetch.Peer = kindOf(hop.Far), *hop.Parent
	case p.findHolder(now, it, &fetch):
	case p.asksStore(now, it):
		fetch.Kind = SourceStore
	default:
		fetch.Kind = SourceOrigin
	}
	if p.full(fetch) || now.Before(p.outside[fetch.Kind].until) {
		return starts
	}
	if fetch.Kind == SourceOrigin && !p.isFirstRead(it) && !p.probe(now, it, &fetch) && !p.drawBudget(now, it) {
		return starts
	}
	return append(starts, p.start(now, it, fetch, hop.Rank))
}

// asksStore reports whether an item is to be read from the weight store. Items
// wait for their turn there only while the store answers, or for one limit until
// its first answer.
func (p *Planner) asksStore(now time.Time, it *item) bool {
	if !p.store || it.storeTried || now.Before(p.outside[SourceStore].until) {
		return false
	}
	if p.storeAsked.IsZero() {
		p.storeAsked = now
	}
	answers := p.estimates[SourceStore].seen || now.Sub(p.storeAsked) < p.settings.MinLimit
	return answers && p.outside[SourceStore].strikes == 0 || p.counts[SourceStore] < p.settings.StoreInFlight
}

func kindOf(far bool) SourceKind {
	if far {
		return SourceFar
	}
	return SourceNear
}

func (p *Planner) excludes(it *item, id gooseberrypass.ID, now time.Time) bool {
	return p.avoid.avoids(id, now) || now.Before(it.passed[id])
}

// findHolder sets the peer of a fetch to an instance that says it holds the
// whole version, if there is one. Else the first in rank would read from
// outside what all others have already.
func (p *Planner) findHolder(now time.Time, it *item, fetch *Fetch) bool {
	holders := p.holders[it.owner]
	if len(holders) == 0 || it.holderTries >= maxHolderTries {
		return false
	}
	peer, far := p.ranking.Find(p.self, it.Digest, func(id gooseberrypass.ID) bool {
		_, ok := holders[id]
		return ok && id != p.self && !p.excludes(it, id, now)
	})
	if peer == nil {
		return false
	}
	it.holderTries++
	fetch.Kind, fetch.Peer = kindOf(far), *peer
	return true
}

// full reports whether no more reads may be started beside those under way. Under
// a rate, reads from one region do not take the place of those from another, as
// each region has its own link.
func (p *Planner) full(fetch Fetch) bool {
	if fetch.Kind != SourceFar || p.farRate <= 0 {
		return p.counts[fetch.Kind] >= p.most(fetch.Kind)
	}
	n := 0
	for _, f := range p.flights {
		if f.fetch.Kind == SourceFar && f.fetch.Peer.Region == fetch.Peer.Region {
			n++
		}
	}
	return n >= pacedFarInFlight
}

func (p *Planner) most(kind SourceKind) int {
	switch kind {
	case SourceFar:
		return p.settings.FarInFlight
	case SourceStore:
		return p.settings.StoreInFlight
	case SourceOrigin:
		return p.settings.OriginInFlight
	default:
		return p.settings.window(p.ranking.Len()) + maxDemanded
	}
}

// isFirstRead reports whether an item may be read from the origin without the
// budget: the first in rank may once. A manifest is a few KB.
func (p *Planner) isFirstRead(it *item) bool {
	return it.Manifest || it.originReads == 0 && p.ranking.Hop(p.self, it.Index, it.Digest, nil).Parent == nil
}

// probe sets the peer of a fetch to an instance that may have the item though it
// ranks later, before an item is read from the origin once more. A few are asked;
// all of them are, one after another, when the budget is spent.
func (p *Planner) probe(now time.Time, it *item, fetch *Fetch) bool {
	if it.probes >= maxProbes && p.budget.covers(it.Size, p.share(now, it), now) {
		return false
	}
	peer, far := p.ranking.Find(p.self, it.Digest, func(id gooseberrypass.ID) bool {
		return id != p.self && !p.excludes(it, id, now)
	})
	if peer == nil {
		return false
	}
	it.probes++
	fetch.Kind, fetch.Peer, fetch.probe = kindOf(far), *peer, true
	return true
}

// drawBudget reports whether the budget covers a read from the origin, and draws
// it. Else the item is not offered to others any more, so that the next in rank
// steps in with its own budget.
func (p *Planner) drawBudget(now time.Time, it *item) bool {
	if p.budget.take(it.Size, p.share(now, it), now) {
		return true
	}
	if !it.resigned {
		it.resigned, p.pins = true, nil
	}
	it.retryAt = now.Add(p.jitter(budgetPause))
	it.passed = nil
	it.holderTries = 0
	return false
}

// share returns the bytes that this instance may read from the origin beyond the
// first copy.
func (p *Planner) share(now time.Time, it *item) float64 {
	size, chunk := it.Size, it.Size
	if v := p.version(it.owner); v != nil && v.manifest != nil {
		size, chunk = v.manifest.Size(), v.manifest.Chunk(0).Size
	}
	return share(p.copies-1, size, chunk, p.ranking.Len()-p.avoid.count(now))
}

func (p *Planner) start(now time.Time, it *item, fetch Fetch, rank int) Fetch {
	p.last++
	fetch.ID = p.last
	fetch.Limit = p.limit(fetch.Kind)
	if fetch.Kind == SourceNear || fetch.Kind == SourceFar {
		if !fetch.probe {
			fetch.Wait = p.settings.Wait
		}
		fetch.Limit += fetch.Wait
	}
	if fetch.Kind == SourceFar {
		fetch.Limit += p.farTime(it.Size)
	}
	if fetch.Kind == SourceOrigin {
		it.originReads++
	}
	if it.asked.IsZero() {
		it.asked = now
	}
	it.flying = true
	p.counts[fetch.Kind]++
	p.flights[fetch.ID] = &flight{fetch: fetch, item: it, rank: rank}
	return fetch
}

// limit returns how long a transfer may take. Only inside a region are links
// alike enough that a slow transfer tells of a slow sender.
func (p *Planner) limit(kind SourceKind) time.Duration {
	least := p.settings.MinLimit
	if kind == SourceStore {
		return p.estimates[kind].limit(storeLimits*least, least, storeLimits*least)
	}
	if kind != SourceNear {
		least = p.settings.InitialLimit
	}
	return p.estimates[kind].limit(p.settings.InitialLimit, least, p.settings.MaxLimit)
}

// farTime returns how much longer a read from another region may take since this
// instance itself holds it back.
func (p *Planner) farTime(size int64) time.Duration {
	if p.farRate <= 0 {
		return 0
	}
	return time.Duration(float64(2*pacedFarInFlight*size) / float64(p.farRate) * float64(time.Second))
}

// Finish tells what became of a fetch.
func (p *Planner) Finish(now time.Time, done Done) {
	f, ok := p.flights[done.ID]
	if !ok {
		return
	}
	delete(p.flights, done.ID)
	p.counts[f.fetch.Kind]--
	f.item.flying = false
	if done.Result == ResultOK {
		p.succeed(now, f, done)
		return
	}
	switch f.fetch.Kind {
	case SourceNear, SourceFar:
		p.failPeer(now, f, done)
	case SourceStore:
		p.failStore(now, f, done)
	case SourceOrigin:
		p.failOrigin(now, f, done)
	}
	if done.Result == ResultNoRoom {
		f.item.err = "chunk memory full"
		f.item.retryAt = now.Add(p.jitter(roomPause))
	}
}

func (p *Planner) succeed(now time.Time, f *flight, done Done) {
	it := f.item
	p.estimates[f.fetch.Kind].observe(done.Took)
	p.whole.observe(now.Sub(it.asked))
	p.outside[f.fetch.Kind] = backoff{}
	p.avoid.clear(f.fetch.Peer.ID)
	it.held, it.err, it.passed = true, "", nil
	if it.resigned {
		it.resigned, p.pins = false, nil
	}
	if p.items[it.Digest] != it {
		return
	}
	for _, v := range p.versions {
		p.arrived(v, it)
	}
}

// arrived counts an item of a version.
func (p *Planner) arrived(v *version, it *item) {
	if it.Manifest && v.want.Digest == it.Digest && v.manifest == nil {
		p.open(v, nil)
		p.Activate()
		return
	}
	if v.manifest == nil || it.Manifest {
		return
	}
	for _, other := range v.items[max(v.first, 1):] {
		if other == it {
			v.missing--
			return
		}
	}
}

func (p *Planner) failPeer(now time.Time, f *flight, done Done) {
	it, id := f.item, f.fetch.Peer.ID
	if f.fetch.probe && (done.Result == ResultBusy || done.Result == ResultNotHeld || done.Result == ResultPending) {
		it.pass(id, now.Add(passPause))
		it.retryAt = now.Add(p.jitter(probePause))
		return
	}
	switch done.Result {
	case ResultBusy:
		it.busies++
		it.retryAt = now.Add(p.jitter(max(done.RetryAfter, busyPause)))
		if it.busies >= maxBusies {
			it.busies = 0
			it.pass(id, now.Add(passPause))
		}
	case ResultNotHeld:
		p.refused(now, it, id)
	case ResultPending:
		patience := p.patience(f.rank)
		if now.Sub(it.asked) > patience {
			it.pass(id, now.Add(patience))
			it.asked = now
		}
	case ResultCorrupt, ResultUnreachable:
		p.avoid.blame(id, now)
		it.pass(id, now.Add(passPause))
	case ResultTimeout:
		p.estimates[f.fetch.Kind].stretch()
		p.avoid.blame(id, now)
		it.pass(id, now.Add(passPause))
	default:
	}
}

// refused takes in that a peer neither holds an item nor wants it. A peer that
// does not know of the version yet is asked again, as is one that may have
// learned of it since it answered.
func (p *Planner) refused(now time.Time, it *item, id gooseberrypass.ID) {
	_, behind := p.behind[it.owner][id]
	if !behind {
		it.refusals++
	}
	if it.refusals < maxRefusals && now.Sub(it.asked) < lagPatience {
		it.retryAt = now.Add(p.jitter(lagPause))
		return
	}
	it.refusals = 0
	it.pass(id, now.Add(passPause))
}

// patience returns how long an instance waits for a sender that waits itself.
// It grows with the depth, so that the first below a stuck sender steps in and
// the others go on waiting for it.
func (p *Planner) patience(rank int) time.Duration {
	wait := p.settings.Wait
	return p.whole.usual(waitsPatience*wait, wait, p.settings.MaxLimit) * time.Duration(1+bits.Len(uint(rank)))
}

func (p *Planner) failStore(now time.Time, f *flight, done Done) {
	f.item.storeTried = true
	switch done.Result {
	case ResultBusy, ResultTimeout, ResultUnreachable, ResultCorrupt:
		p.pause(now, SourceStore, done.RetryAfter)
	default:
	}
}

func (p *Planner) failOrigin(now time.Time, f *flight, done Done) {
	it := f.item
	it.storeTried = false
	it.holderTries = 0
	switch done.Result {
	case ResultCorrupt:
		it.mismatches++
		pause := mismatchPause << min(max(it.mismatches-mismatchesBad, 0), strikesShift)
		if it.mismatches < mismatchesBad {
			pause = sourcePause
		} else {
			it.err = "origin's bytes do not match the pinned digest"
		}
		it.retryAt = now.Add(p.jitter(min(pause, mismatchMax)))
	case ResultBusy, ResultTimeout, ResultUnreachable, ResultNotHeld:
		if done.Bytes == 0 {
			it.originReads--
		}
		if done.Result == ResultNotHeld {
			it.err = "origin has no such version"
		}
		p.pause(now, SourceOrigin, done.RetryAfter)
	default:
	}
}

// pause leaves a source outside the pool alone for a while.
func (p *Planner) pause(now time.Time, kind SourceKind, least time.Duration) {
	b := &p.outside[kind]
	if now.Before(b.until) {
		return
	}
	b.until = now.Add(max(least, p.jitter(min(sourcePause<<min(b.strikes, 2*strikesShift), sourceMax))))
	b.strikes++
}

// jitter returns a time between half of d and one and a half.
func (p *Planner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Int64N(int64(d)+1))
}
