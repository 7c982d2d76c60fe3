// Package ranker decides from whom an instance takes a chunk. Every instance
// computes the same ranks from the same list, so nothing has to be agreed.
package ranker

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxRemembered bounds the places in rank orders that a ranking remembers, of 4
// bytes each.
const maxRemembered = 1 << 20

// A Hop tells from whom an instance takes a chunk. Parent is nil for an
// instance that reads the chunk from outside the pool.
type Hop struct {
	Far    bool // Parent is in another region
	Parent *gooseberrypass.ListedInstance
	Rank   int // in the instance's own region, 0 for its first
}

// A Ranking ranks the instances of one list for any chunk. It never changes and
// is safe for use by several goroutines.
type Ranking struct {
	fanout     int
	home       int // index of the origin's region, -1 if no instance is in it
	mu         sync.Mutex
	orders     map[orderKey][]int32
	place      map[gooseberrypass.ID]place
	regions    []region
	remembered int   // places in orders
	remote     []int // indexes of the other regions
}

type place struct {
	member int32
	region int
}

type region struct {
	members []gooseberrypass.ListedInstance
	name    gooseberrypass.Region
}

type orderKey struct {
	chunk  gooseberrypass.Digest
	region int
}

// New returns the ranking of instances, of which those in region home are
// nearest to the origin. An instance sends a chunk to fanout others of its
// region.
func New(instances []gooseberrypass.ListedInstance, home gooseberrypass.Region, fanout int) *Ranking {
	r := &Ranking{
		fanout: max(fanout, 1),
		home:   -1,
		orders: map[orderKey][]int32{},
		place:  make(map[gooseberrypass.ID]place, len(instances)),
	}
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b gooseberrypass.ListedInstance) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.ID, b.ID))
	})
	for _, instance := range sorted {
		r.add(instance)
	}
	for i, g := range r.regions {
		if g.name == home {
			r.home = i
			continue
		}
		r.remote = append(r.remote, i)
	}
	return r
}

func (r *Ranking) add(instance gooseberrypass.ListedInstance) {
	if _, ok := r.place[instance.ID]; ok {
		return
	}
	last := len(r.regions) - 1
	if last < 0 || r.regions[last].name != instance.Region {
		r.regions = append(r.regions, region{name: instance.Region})
		last++
	}
	r.place[instance.ID] = place{member: int32(len(r.regions[last].members)), region: last}
	r.regions[last].members = append(r.regions[last].members, instance)
}

// Len returns the number of instances.
func (r *Ranking) Len() int { return len(r.place) }

// Hop returns from whom self takes the index-th chunk of a version, when
// instances for which excluded is true are passed over. A nil excluded passes
// over none. An instance that is not in the list reads from outside.
func (r *Ranking) Hop(self gooseberrypass.ID, index int, chunk gooseberrypass.Digest, excluded func(gooseberrypass.ID) bool) Hop {
	p, ok := r.place[self]
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
	parent := r.farParent(p.region, index, chunk, excluded)
	return Hop{Far: parent != nil, Parent: parent}
}

// farParent returns from whom the first in rank of a region takes a chunk. Each
// chunk crosses from the origin's region into one relay region, which differs
// from chunk to chunk, and from there into the others.
func (r *Ranking) farParent(own, index int, chunk gooseberrypass.Digest, excluded func(gooseberrypass.ID) bool) *gooseberrypass.ListedInstance {
	if own == r.home {
		return nil
	}
	for i := range r.remote {
		relay := r.remote[(index+i)%len(r.remote)]
		if relay == own {
			break
		}
		if first := r.first(relay, chunk, excluded); first != nil {
			return first
		}
	}
	if r.home < 0 {
		return nil
	}
	return r.first(r.home, chunk, excluded)
}

func (r *Ranking) first(region int, chunk gooseberrypass.Digest, excluded func(gooseberrypass.ID) bool) *gooseberrypass.ListedInstance {
	members := r.regions[region].members
	for _, m := range r.order(region, chunk) {
		if excluded == nil || !excluded(members[m].ID) {
			return &members[m]
		}
	}
	return nil
}

// order returns the members of a region in the chunk's rank order.
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
	if r.remembered += len(order); r.remembered > maxRemembered {
		clear(r.orders)
		r.remembered = len(order)
	}
	r.orders[key] = order
	return order
}

func score(chunk gooseberrypass.Digest, id gooseberrypass.ID) uint64 {
	buf := make([]byte, 0, gooseberrypass.DigestSize+32)
	buf = append(buf, chunk[:]...)
	buf = append(buf, id...)
	return xxhash.Sum64(buf)
}

// Contains reports whether an instance is in the list.
func (r *Ranking) Contains(id gooseberrypass.ID) bool {
	_, ok := r.place[id]
	return ok
}

// Find returns the first in rank that matches, in the region of self before the
// others, and whether it is in another region. It returns nil if none does.
func (r *Ranking) Find(self gooseberrypass.ID, chunk gooseberrypass.Digest, match func(gooseberrypass.ID) bool) (*gooseberrypass.ListedInstance, bool) {
	own := r.place[self].region
	for i := range r.regions {
		region := (own + i) % len(r.regions)
		found := r.first(region, chunk, func(id gooseberrypass.ID) bool { return !match(id) })
		if found != nil {
			return found, region != own
		}
	}
	return nil, false
}
