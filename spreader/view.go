package spreader

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const (
	regionReaders   = 3                // processes of a region that read the log
	standbyReaders  = 4                // next in rank, which watch the readers to replace failed ones
	suspicionPeriod = 20 * time.Second // time for which a peer that failed an exchange is not chosen
)

// A view is an index of the members by region and rank.
type view struct {
	byRegion     map[gooseberrypass.Region][]int32 // indices into members
	candidates   []gooseberrypass.ID               // processes of the local region, by rank as log readers
	entries      []gooseberrypass.ID               // entries of all regions, by rank as snapshot writers
	localRegion  gooseberrypass.Region
	members      []gooseberrypass.Member
	otherRegions []gooseberrypass.Region
	self         gooseberrypass.ID
	suspects     map[gooseberrypass.ID]time.Time // end of the suspicion, shared with the Spreader
}

// newView returns the view of a process. It leaves out members that are leaving
// or silent, and always ranks the process itself.
func newView(self Self, members []gooseberrypass.Member, suspects map[gooseberrypass.ID]time.Time) *view {
	v := &view{
		byRegion:    map[gooseberrypass.Region][]int32{},
		localRegion: self.Region,
		members:     members,
		self:        self.ID,
		suspects:    suspects,
	}
	v.candidates = append(v.candidates, self.ID)
	if self.Role == gooseberrypass.RoleEntry {
		v.entries = append(v.entries, self.ID)
	}
	for i, m := range members {
		if m.Listed.State != gooseberrypass.ListedLive || m.Silent || m.Listed.ID == self.ID {
			continue
		}
		v.byRegion[m.Listed.Region] = append(v.byRegion[m.Listed.Region], int32(i))
		if m.Listed.Region == self.Region {
			v.candidates = append(v.candidates, m.Listed.ID)
		}
		if m.Listed.Role == gooseberrypass.RoleEntry {
			v.entries = append(v.entries, m.Listed.ID)
		}
	}
	v.candidates = rankByHash("tailer/", v.candidates)
	v.entries = rankByHash("snapshot/", v.entries)
	v.otherRegions = slices.DeleteFunc(slices.Sorted(maps.Keys(v.byRegion)), func(r gooseberrypass.Region) bool { return r == v.localRegion })
	return v
}

func (v *view) suspected(now time.Time, id gooseberrypass.ID) bool {
	until, ok := v.suspects[id]
	return ok && now.Before(until)
}

// rank returns the rank of the process itself in ids, not counting suspected
// processes, and at most limit.
func (v *view) rank(now time.Time, ids []gooseberrypass.ID, limit int) int {
	n := 0
	for _, id := range ids {
		if id == v.self || n >= limit {
			return n
		}
		if !v.suspected(now, id) {
			n++
		}
	}
	return limit
}

// isReader reports whether the process itself is one of its region's log readers.
func (v *view) isReader(now time.Time) bool {
	return v.rank(now, v.candidates, regionReaders) < regionReaders
}

// pickReader returns a random reader or standby reader of the local region if the
// process is one itself, and nil if it is not or if the choice falls on itself or
// on a suspect. Exchanges among them show a standby that a reader has failed.
func (v *view) pickReader(now time.Time, rng *rand.Rand) *gooseberrypass.ListedInstance {
	if v.rank(now, v.candidates, regionReaders+standbyReaders) >= regionReaders+standbyReaders {
		return nil
	}
	id := v.candidates[rng.IntN(min(regionReaders+standbyReaders, len(v.candidates)))]
	for _, i := range v.byRegion[v.localRegion] {
		if v.members[i].Listed.ID == id && !v.suspected(now, id) {
			return &v.members[i].Listed
		}
	}
	return nil
}

// pick returns up to n distinct random members of a region that are not suspected.
// It gives up after 4n draws, so it may return fewer.
func (v *view) pick(now time.Time, rng *rand.Rand, region gooseberrypass.Region, n int) []*gooseberrypass.ListedInstance {
	indices := v.byRegion[region]
	var picked []*gooseberrypass.ListedInstance
	for range 4 * n {
		if len(indices) == 0 || len(picked) == n {
			break
		}
		m := &v.members[indices[rng.IntN(len(indices))]].Listed
		if !v.suspected(now, m.ID) && !slices.Contains(picked, m) {
			picked = append(picked, m)
		}
	}
	return picked
}

// find returns the member with an id, or nil.
func (v *view) find(id gooseberrypass.ID) *gooseberrypass.ListedInstance {
	i := slices.IndexFunc(v.members, func(m gooseberrypass.Member) bool { return m.Listed.ID == id })
	if i < 0 {
		return nil
	}
	return &v.members[i].Listed
}

// pickAny returns a random member that is not suspected. All regions are equally
// likely, whatever their size. It returns nil if there is none.
func (v *view) pickAny(now time.Time, rng *rand.Rand) *gooseberrypass.ListedInstance {
	regions := slices.Concat(v.otherRegions, []gooseberrypass.Region{v.localRegion})
	rng.Shuffle(len(regions), func(i, j int) { regions[i], regions[j] = regions[j], regions[i] })
	for _, region := range regions {
		if picked := v.pick(now, rng, region, 1); len(picked) > 0 {
			return picked[0]
		}
	}
	return nil
}
