// Package ranker selects the instance from which another one reads a chunk. It
// uses rendezvous hashing: every instance computes the same ranks from the same
// list, so no coordination is needed.
package ranker

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxCachedRanks limits the entries, of 4 bytes each, in the rank orders that a
// Ranking caches.
const maxCachedRanks = 1 << 20

// A Hop is the source of a chunk for one instance. Parent is nil if the instance
// reads the chunk from outside the pool.
type Hop struct {
	CrossRegion bool // Parent is in another region
	Parent      *gooseberrypass.ListedInstance
	Rank        int // among the instances of its region that are not excluded, 0 for the first
}

// A Ranking ranks the instances of one list for any chunk. The list never
// changes. It is safe for concurrent use.
type Ranking struct {
	cachedRanks   int // total entries in orders
	fanout        int
	mu            sync.Mutex
	orders        map[orderKey][]int32 // members in rank order
	originRegion  int                  // index into regions, -1 if no instance is in it
	positions     map[gooseberrypass.ID]position
	regions       []region
	remoteRegions []int // indexes of the regions other than originRegion
}

type position struct {
	member int32 // index into the members of the region
	region int   // index into regions
}

type region struct {
	members []gooseberrypass.ListedInstance
	name    gooseberrypass.Region
}

type orderKey struct {
	chunk  gooseberrypass.Digest
	region int
}

// New returns the ranking of instances. Those in originRegion are nearest to the
// origin, so chunks enter the pool there if they can. An instance sends a chunk
// to at most fanout other instances of its region; a fanout below 1 counts as 1.
func New(instances []gooseberrypass.ListedInstance, originRegion gooseberrypass.Region, fanout int) *Ranking {
	r := &Ranking{
		fanout:       max(fanout, 1),
		orders:       map[orderKey][]int32{},
		originRegion: -1,
		positions:    make(map[gooseberrypass.ID]position, len(instances)),
	}
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b gooseberrypass.ListedInstance) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.ID, b.ID))
	})
	for _, instance := range sorted {
		r.add(instance)
	}
	for i, g := range r.regions {
		if g.name == originRegion {
			r.originRegion = i
			continue
		}
		r.remoteRegions = append(r.remoteRegions, i)
	}
	return r
}

func (r *Ranking) add(instance gooseberrypass.ListedInstance) {
	if _, ok := r.positions[instance.ID]; ok {
		return
	}
	last := len(r.regions) - 1
	if last < 0 || r.regions[last].name != instance.Region {
		r.regions = append(r.regions, region{name: instance.Region})
		last++
	}
	r.positions[instance.ID] = position{member: int32(len(r.regions[last].members)), region: last}
	r.regions[last].members = append(r.regions[last].members, instance)
}

// Len returns the number of instances.
func (r *Ranking) Len() int { return len(r.positions) }

// Hop returns the instance from which self reads the index-th chunk of a
// version. Instances for which excluded returns true are skipped; a nil excluded
// skips none. An instance that is not in the list reads from outside the pool.
func (r *Ranking) Hop(self gooseberrypass.ID, index int, chunk gooseberrypass.Digest, excluded func(gooseberrypass.ID) bool) Hop {
	p, ok := r.positions[self]
	if !ok {
		return Hop{}
	}
	members := r.regions[p.region].members
	order := r.order(p.region, chunk)
	before := make([]int32, 0, len(order))
	for _, m := range order {
		if m == p.member {
			break
		}
		if excluded == nil || !excluded(members[m].ID) {
			before = append(before, m)
		}
	}
	rank := len(before)
	if rank > 0 {
		return Hop{Parent: &members[before[(rank-1)/r.fanout]], Rank: rank}
	}
	parent := r.crossRegionParent(p.region, index, chunk, excluded)
	return Hop{CrossRegion: parent != nil, Parent: parent}
}

// crossRegionParent returns the instance from which the first-ranked instance of
// region own reads a chunk, nil if it reads from outside the pool. Each chunk is
// sent from the origin's region to one relay region, which depends on index, and
// from there to the other regions. This spreads the traffic evenly over the
// links between regions.
func (r *Ranking) crossRegionParent(own, index int, chunk gooseberrypass.Digest, excluded func(gooseberrypass.ID) bool) *gooseberrypass.ListedInstance {
	if own == r.originRegion {
		return nil
	}
	for i := range r.remoteRegions {
		relay := r.remoteRegions[(index+i)%len(r.remoteRegions)]
		if relay == own {
			break
		}
		if first := r.firstInRank(relay, chunk, excluded); first != nil {
			return first
		}
	}
	if r.originRegion < 0 {
		return nil
	}
	return r.firstInRank(r.originRegion, chunk, excluded)
}

// firstInRank returns the first instance of a region in rank order that is not
// excluded, nil if there is none.
func (r *Ranking) firstInRank(region int, chunk gooseberrypass.Digest, excluded func(gooseberrypass.ID) bool) *gooseberrypass.ListedInstance {
	members := r.regions[region].members
	for _, m := range r.order(region, chunk) {
		if excluded == nil || !excluded(members[m].ID) {
			return &members[m]
		}
	}
	return nil
}

// order returns the members of a region in rank order for a chunk. When the
// cache is full, it is cleared as a whole.
func (r *Ranking) order(region int, chunk gooseberrypass.Digest) []int32 {
	key := orderKey{chunk: chunk, region: region}
	r.mu.Lock()
	defer r.mu.Unlock()
	if order, ok := r.orders[key]; ok {
		return order
	}
	members := r.regions[region].members
	order := make([]int32, len(members))
	scores := make([]uint64, len(members))
	for i := range members {
		order[i] = int32(i)
		scores[i] = score(chunk, members[i].ID)
	}
	slices.SortFunc(order, func(a, b int32) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	if r.cachedRanks += len(order); r.cachedRanks > maxCachedRanks {
		clear(r.orders)
		r.cachedRanks = len(order)
	}
	r.orders[key] = order
	return order
}

// score returns the rendezvous hash of an instance for a chunk; the highest
// score ranks first.
func score(chunk gooseberrypass.Digest, id gooseberrypass.ID) uint64 {
	buf := make([]byte, 0, gooseberrypass.DigestSize+32)
	buf = append(buf, chunk[:]...)
	buf = append(buf, id...)
	return xxhash.Sum64(buf)
}

// Contains reports whether an instance is in the list.
func (r *Ranking) Contains(id gooseberrypass.ID) bool {
	_, ok := r.positions[id]
	return ok
}

// Find returns the first instance in rank order for which match returns true,
// and whether it is in another region than self. Instances in the region of self
// come first. It returns nil if none matches.
func (r *Ranking) Find(self gooseberrypass.ID, chunk gooseberrypass.Digest, match func(gooseberrypass.ID) bool) (*gooseberrypass.ListedInstance, bool) {
	own := r.positions[self].region
	for i := range r.regions {
		region := (own + i) % len(r.regions)
		found := r.firstInRank(region, chunk, func(id gooseberrypass.ID) bool { return !match(id) })
		if found != nil {
			return found, region != own
		}
	}
	return nil, false
}
