package fetcher

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// Plan returns the fetches to start now and the ids of those to cancel.
func (p *Planner) Plan(now time.Time) ([]Fetch, []uint64) {
	cancels := p.cancels
	p.cancels = nil
	if p.ranking == nil {
		return nil, cancels
	}
	var starts []Fetch
	room := p.window()
	for _, it := range p.demands() {
		if room == 0 && p.settings.SlowTransfer > 0 {
			return starts, cancels
		}
		room = max(room-1, 0)
		starts = p.consider(now, it, starts)
	}
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

// minWindow is the least window after slow transfers.
const minWindow = 2

// window returns how many missing items are looked at.
func (p *Planner) window() int {
	whole := p.settings.window(p.ranking.Len())
	if p.shrunk > 0 {
		return min(p.shrunk, whole)
	}
	return whole
}

// adapt halves the window after a slow transfer and lets it grow after a quick
// one: what is asked for at once queues on this instance's link, before the
// requests of callers.
func (p *Planner) adapt(took time.Duration) {
	if p.settings.SlowTransfer <= 0 {
		return
	}
	switch {
	case took > p.settings.SlowTransfer:
		p.shrunk = max(p.window()/2, minWindow)
	case p.shrunk > 0 && took < p.settings.SlowTransfer/2:
		p.shrunk++
	}
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
		fetch.Kind, fetch.Peer = kindOf(hop.CrossRegion), *hop.Parent
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
