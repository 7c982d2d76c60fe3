package fetcher

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// Plan returns the fetches to start now and the IDs of those to cancel.
func (p *Planner) Plan(now time.Time) ([]Fetch, []uint64) {
	cancels := p.cancels
	p.cancels = nil
	if p.ranking == nil {
		return nil, cancels
	}
	var starts []Fetch
	left := p.window()
	for _, it := range p.pendingDemands() {
		if left == 0 && p.settings.SlowTransfer > 0 {
			return starts, cancels
		}
		left = max(left-1, 0)
		starts = p.planItem(now, it, starts)
	}
	for _, v := range p.versions {
		if !v.active || v.err != "" {
			continue
		}
		for v.first < len(v.items) && v.items[v.first].held {
			v.first++
		}
		for _, it := range v.items[v.first:] {
			if left == 0 {
				return starts, cancels
			}
			if !it.held {
				left--
				starts = p.planItem(now, it, starts)
			}
		}
	}
	return starts, cancels
}

// minWindow is the smallest window after slow transfers, in items.
const minWindow = 2

// window returns how many missing items Plan considers.
func (p *Planner) window() int {
	full := p.settings.window(p.ranking.Len())
	if p.reducedWindow > 0 {
		return min(p.reducedWindow, full)
	}
	return full
}

// adaptWindow halves the window after a slow transfer and enlarges it by one after
// a fast one. Chunks that are fetched concurrently queue on this instance's link
// and delay the requests of callers.
func (p *Planner) adaptWindow(took time.Duration) {
	if p.settings.SlowTransfer <= 0 {
		return
	}
	switch {
	case took > p.settings.SlowTransfer:
		p.reducedWindow = max(p.window()/2, minWindow)
	case p.reducedWindow > 0 && took < p.settings.SlowTransfer/2:
		p.reducedWindow++
	}
}

// pendingDemands returns the items requested by other instances that are still
// missing.
func (p *Planner) pendingDemands() []*item {
	var items []*item
	pending := p.demanded[:0]
	for _, digest := range p.demanded {
		if it, ok := p.items[digest]; ok && !it.held {
			items = append(items, it)
			pending = append(pending, digest)
		}
	}
	p.demanded = pending
	return items
}

// planItem selects the source of a missing item and appends its fetch to starts,
// unless the item has to wait.
func (p *Planner) planItem(now time.Time, it *item, starts []Fetch) []Fetch {
	if it.inFlight || it.held || now.Before(it.retryAt) {
		return starts
	}
	excluded := func(id gooseberrypass.ID) bool { return p.skips(it, id, now) }
	hop := p.ranking.Hop(p.self, it.Index, it.Digest, excluded)
	fetch := Fetch{Item: it.Item}
	switch {
	case hop.Parent != nil:
		fetch.Kind, fetch.Peer = peerKind(hop.CrossRegion), *hop.Parent
	case p.chooseSeeder(now, it, &fetch):
	case p.useStore(now, it):
		fetch.Kind = SourceStore
	default:
		fetch.Kind = SourceOrigin
	}
	if p.atLimit(fetch) || now.Before(p.sourceBackoffs[fetch.Kind].until) {
		return starts
	}
	if fetch.Kind == SourceOrigin && !p.isFirstRead(it) && !p.chooseProbe(now, it, &fetch) && !p.takeBudget(now, it) {
		return starts
	}
	return append(starts, p.start(now, it, fetch, hop.Rank))
}

// useStore reports whether an item is to be read from the weight store. An item
// waits until the store has fewer than Settings.StoreInFlight reads only while the
// store responds, or for Settings.MinTimeout before its first response.
func (p *Planner) useStore(now time.Time, it *item) bool {
	if !p.hasStore || it.storeTried || now.Before(p.sourceBackoffs[SourceStore].until) {
		return false
	}
	if p.storeFirstAsked.IsZero() {
		p.storeFirstAsked = now
	}
	answers := p.estimates[SourceStore].sampled || now.Sub(p.storeFirstAsked) < p.settings.MinTimeout
	return answers && p.sourceBackoffs[SourceStore].failures == 0 || p.inFlight[SourceStore] < p.settings.StoreInFlight
}

func peerKind(crossRegion bool) SourceKind {
	if crossRegion {
		return SourceCrossRegion
	}
	return SourceSameRegion
}

// skips reports whether a peer is not asked for an item now.
func (p *Planner) skips(it *item, id gooseberrypass.ID, now time.Time) bool {
	return p.peerBackoffs.active(id, now) || now.Before(it.skipUntil[id])
}

// chooseSeeder sets the peer of a fetch to an instance that reports to hold the
// complete version, if there is one. Otherwise an instance that ranks first would
// read from the weight store or the origin what every other instance holds.
func (p *Planner) chooseSeeder(now time.Time, it *item, fetch *Fetch) bool {
	seeders := p.seeders[it.owner]
	if len(seeders) == 0 || it.seederTries >= maxSeederTries {
		return false
	}
	peer, crossRegion := p.ranking.Find(p.self, it.Digest, func(id gooseberrypass.ID) bool {
		_, ok := seeders[id]
		return ok && id != p.self && !p.skips(it, id, now)
	})
	if peer == nil {
		return false
	}
	it.seederTries++
	fetch.Kind, fetch.Peer = peerKind(crossRegion), *peer
	return true
}

// atLimit reports whether the number of reads in flight allows no further fetch. If
// reads from other regions are rate-limited, they are counted by region, as each
// region has its own link.
func (p *Planner) atLimit(fetch Fetch) bool {
	if fetch.Kind != SourceCrossRegion || p.crossRegionRate <= 0 {
		return p.inFlight[fetch.Kind] >= p.maxInFlight(fetch.Kind)
	}
	n := 0
	for _, t := range p.transfers {
		if t.fetch.Kind == SourceCrossRegion && t.fetch.Peer.Region == fetch.Peer.Region {
			n++
		}
	}
	return n >= pacedRegionInFlight
}

func (p *Planner) maxInFlight(kind SourceKind) int {
	switch kind {
	case SourceCrossRegion:
		return p.settings.CrossRegionInFlight
	case SourceStore:
		return p.settings.StoreInFlight
	case SourceOrigin:
		return p.settings.OriginInFlight
	default:
		return p.settings.window(p.ranking.Len()) + maxDemands
	}
}

// isFirstRead reports whether a read of an item from the origin does not count
// against the budget. The first in rank may read each chunk once. Manifests never
// count, as they have only a few KB.
func (p *Planner) isFirstRead(it *item) bool {
	return it.Manifest || it.originReads == 0 && p.ranking.Hop(p.self, it.Index, it.Digest, nil).Parent == nil
}

// chooseProbe sets the peer of a fetch to an instance that may hold the item though
// it ranks later. It is used before a repeated read from the origin: maxProbes
// instances are asked, or all of them, one after another, while the budget is spent.
func (p *Planner) chooseProbe(now time.Time, it *item, fetch *Fetch) bool {
	if it.probes >= maxProbes && p.budget.covers(it.Size, p.budgetLimit(now, it), now) {
		return false
	}
	peer, crossRegion := p.ranking.Find(p.self, it.Digest, func(id gooseberrypass.ID) bool {
		return id != p.self && !p.skips(it, id, now)
	})
	if peer == nil {
		return false
	}
	it.probes++
	fetch.Kind, fetch.Peer, fetch.probe = peerKind(crossRegion), *peer, true
	return true
}

// takeBudget reports whether the budget covers a read from the origin, and takes
// the item's size from it. If it does not, the item is no longer pinned: requests
// for it are then answered with "not held", so that the next in rank reads it with
// its own budget.
func (p *Planner) takeBudget(now time.Time, it *item) bool {
	if p.budget.take(it.Size, p.budgetLimit(now, it), now) {
		return true
	}
	if !it.yielded {
		it.yielded, p.pins = true, nil
	}
	it.retryAt = now.Add(p.jitter(budgetPause))
	it.skipUntil = nil
	it.seederTries = 0
	return false
}

// budgetLimit returns the bytes that this instance may read from the origin beyond
// the first copy of the item's version.
func (p *Planner) budgetLimit(now time.Time, it *item) float64 {
	size, chunk := it.Size, it.Size
	if v := p.version(it.owner); v != nil && v.manifest != nil {
		size, chunk = v.manifest.Size(), v.manifest.Chunk(0).Size
	}
	return budgetShare(p.originCopies-1, size, chunk, p.ranking.Len()-p.peerBackoffs.count(now))
}

// start registers a fetch as in flight and returns it with its ID, timeout and wait.
func (p *Planner) start(now time.Time, it *item, fetch Fetch, rank int) Fetch {
	p.lastID++
	fetch.ID = p.lastID
	fetch.Timeout = p.timeout(fetch.Kind)
	if fetch.Kind == SourceSameRegion || fetch.Kind == SourceCrossRegion {
		if !fetch.probe {
			fetch.Wait = p.settings.Wait
		}
		fetch.Timeout += fetch.Wait
	}
	if fetch.Kind == SourceCrossRegion {
		fetch.Timeout += p.pacingTime(it.Size)
	}
	if fetch.Kind == SourceOrigin {
		it.originReads++
	}
	if it.waitingSince.IsZero() {
		it.waitingSince = now
	}
	it.inFlight = true
	p.inFlight[fetch.Kind]++
	p.transfers[fetch.ID] = &transfer{fetch: fetch, item: it, rank: rank}
	return fetch
}

// timeout returns the timeout of a transfer. It is below Settings.InitialTimeout only
// within a region and for the weight store: between regions and to the origin, links
// differ so much that a slow transfer does not mean a slow peer.
func (p *Planner) timeout(kind SourceKind) time.Duration {
	lower := p.settings.MinTimeout
	if kind == SourceStore {
		return p.estimates[kind].timeout(storeTimeoutFactor*lower, lower, storeTimeoutFactor*lower)
	}
	if kind != SourceSameRegion {
		lower = p.settings.InitialTimeout
	}
	return p.estimates[kind].timeout(p.settings.InitialTimeout, lower, p.settings.MaxTimeout)
}

// pacingTime returns the time to add to the timeout of a read of size bytes from
// another region, as this instance limits the rate of such reads itself.
func (p *Planner) pacingTime(size int64) time.Duration {
	if p.crossRegionRate <= 0 {
		return 0
	}
	return time.Duration(float64(2*pacedRegionInFlight*size) / float64(p.crossRegionRate) * float64(time.Second))
}
