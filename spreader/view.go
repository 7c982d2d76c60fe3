package spreader

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const (
	regionTailers = 3
	standbys      = 4
	suspectTime   = 20 * time.Second
)

// A view is what a process needs of the members to spread configurations.
type view struct {
	byRegion   map[gooseberrypass.Region][]int32 // places in members
	entries    []gooseberrypass.ID               // entries, ranked
	home       gooseberrypass.Region
	members    []gooseberrypass.Member
	regions    []gooseberrypass.Region // the others
	self       gooseberrypass.ID
	suspects   map[gooseberrypass.ID]time.Time // until when
	candidates []gooseberrypass.ID             // tailers of the own region, ranked
}

// newView returns the view of a process. Members that leave or are silent are
// not in it; the process itself always is.
func newView(self Self, members []gooseberrypass.Member, suspects map[gooseberrypass.ID]time.Time) *view {
	v := &view{
		byRegion: map[gooseberrypass.Region][]int32{},
		home:     self.Region,
		members:  members,
		self:     self.ID,
		suspects: suspects,
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
	v.candidates = ranked("tailer/", v.candidates)
	v.entries = ranked("snapshot/", v.entries)
	v.regions = slices.DeleteFunc(slices.Sorted(maps.Keys(v.byRegion)), func(r gooseberrypass.Region) bool { return r == v.home })
	return v
}

func (v *view) suspected(now time.Time, id gooseberrypass.ID) bool {
	until, ok := v.suspects[id]
	return ok && now.Before(until)
}

// place returns how many of ids, which are ranked, go before the process
// itself, passing over those it suspects.
func (v *view) place(now time.Time, ids []gooseberrypass.ID, most int) int {
	n := 0
	for _, id := range ids {
		if id == v.self || n >= most {
			return n
		}
		if !v.suspected(now, id) {
			n++
		}
	}
	return most
}

// tails reports whether the process itself reads the log for its region.
func (v *view) tails(now time.Time) bool {
	return v.place(now, v.candidates, regionTailers) < regionTailers
}

// watched returns a tailer for a standby to exchange with, so that it learns
// when one is gone; nil for a process that is no standby.
func (v *view) watched(now time.Time, rng *rand.Rand) *gooseberrypass.ListedInstance {
	if v.place(now, v.candidates, regionTailers+standbys) >= regionTailers+standbys {
		return nil
	}
	id := v.candidates[rng.IntN(min(regionTailers+standbys, len(v.candidates)))]
	for _, i := range v.byRegion[v.home] {
		if v.members[i].Listed.ID == id && !v.suspected(now, id) {
			return &v.members[i].Listed
		}
	}
	return nil
}

// pick returns up to n random members of a region that are not suspected.
func (v *view) pick(now time.Time, rng *rand.Rand, region gooseberrypass.Region, n int) []*gooseberrypass.ListedInstance {
	places := v.byRegion[region]
	var picked []*gooseberrypass.ListedInstance
	for range 4 * n {
		if len(places) == 0 || len(picked) == n {
			break
		}
		m := &v.members[places[rng.IntN(len(places))]].Listed
		if !v.suspected(now, m.ID) && !slices.Contains(picked, m) {
			picked = append(picked, m)
		}
	}
	return picked
}

// find returns the member with an id, nil if there is none.
func (v *view) find(id gooseberrypass.ID) *gooseberrypass.ListedInstance {
	i := slices.IndexFunc(v.members, func(m gooseberrypass.Member) bool { return m.Listed.ID == id })
	if i < 0 {
		return nil
	}
	return &v.members[i].Listed
}

// any returns a random member of any region, nil if there is none.
func (v *view) any(now time.Time, rng *rand.Rand) *gooseberrypass.ListedInstance {
	regions := slices.Concat(v.regions, []gooseberrypass.Region{v.home})
	rng.Shuffle(len(regions), func(i, j int) { regions[i], regions[j] = regions[j], regions[i] })
	for _, region := range regions {
		if picked := v.pick(now, rng, region, 1); len(picked) > 0 {
			return picked[0]
		}
	}
	return nil
}
