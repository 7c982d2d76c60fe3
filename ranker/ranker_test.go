package ranker_test

import (
	"encoding/binary"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

func chunk(i int) gooseberrypass.Digest {
	return gooseberrypass.DigestOf(binary.BigEndian.AppendUint32(nil, uint32(i)))
}

func instances(n int, regions ...gooseberrypass.Region) []gooseberrypass.ListedInstance {
	list := make([]gooseberrypass.ListedInstance, 0, n)
	for i := range n {
		list = append(list, gooseberrypass.ListedInstance{ID: gooseberrypass.ID("i" + strconv.Itoa(i)), Region: regions[i%len(regions)]})
	}
	return list
}

// TestHopsFormOneTree checks for random lists and exclusions that the hops from
// each instance lead without a cycle to one that reads from outside the pool.
// There must be only one such instance if any in the region of the origin is not
// excluded.
func TestHopsFormOneTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []gooseberrypass.Region{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "regions")]
		list := instances(rapid.IntRange(1, 40).Draw(t, "instances"), regions...)
		r := ranker.New(list, "a", rapid.IntRange(1, 4).Draw(t, "fanout"))
		index := rapid.IntRange(0, 100).Draw(t, "index")
		excluded := map[gooseberrypass.ID]bool{}
		for _, i := range list {
			excluded[i.ID] = rapid.IntRange(0, 3).Draw(t, "excluded") == 0
		}
		roots := map[gooseberrypass.ID]bool{}
		for _, i := range list {
			if excluded[i.ID] {
				continue
			}
			at, steps := i.ID, 0
			for ; steps <= len(list); steps++ {
				hop := r.Hop(at, index, chunk(index), func(id gooseberrypass.ID) bool { return excluded[id] })
				if hop.Parent == nil {
					break
				}
				if excluded[hop.Parent.ID] {
					t.Fatalf("%s reads from %s, which is excluded", at, hop.Parent.ID)
				}
				at = hop.Parent.ID
			}
			if steps > len(list) {
				t.Fatalf("hops from %s form a cycle", i.ID)
			}
			roots[at] = true
		}
		if len(roots) > 1 && originRegionHasInstance(list, excluded) {
			t.Fatalf("got %d instances that read from outside the pool, want 1", len(roots))
		}
	})
}

func originRegionHasInstance(list []gooseberrypass.ListedInstance, excluded map[gooseberrypass.ID]bool) bool {
	for _, i := range list {
		if i.Region == "a" && !excluded[i.ID] {
			return true
		}
	}
	return false
}

// TestRegionsTakeEqualShares checks that each chunk is read once from outside
// the pool and that each link from the origin's region and between the others
// carries half of the chunks.
func TestRegionsTakeEqualShares(t *testing.T) {
	list := instances(15, "a", "b", "c")
	r := ranker.New(list, "a", 2)
	region := map[gooseberrypass.ID]gooseberrypass.Region{}
	for _, i := range list {
		region[i.ID] = i.Region
	}
	crossed := map[[2]gooseberrypass.Region]int{}
	reads := 0
	for c := range 240 {
		for _, i := range list {
			hop := r.Hop(i.ID, c, chunk(c), nil)
			switch {
			case hop.Parent == nil:
				reads++
			case hop.CrossRegion:
				crossed[[2]gooseberrypass.Region{region[hop.Parent.ID], i.Region}]++
			}
		}
	}
	if reads != 240 {
		t.Errorf("got %d reads from outside the pool, want one for each of 240 chunks", reads)
	}
	for _, link := range [][2]gooseberrypass.Region{{"a", "b"}, {"a", "c"}, {"b", "c"}, {"c", "b"}} {
		if crossed[link] != 120 {
			t.Errorf("got %d chunks from %s to %s, want 120", crossed[link], link[0], link[1])
		}
	}
}

// TestRemovalKeepsOtherFirstRanks removes an instance from the list. No
// remaining instance may lose the first rank for a chunk.
func TestRemovalKeepsOtherFirstRanks(t *testing.T) {
	before := ranker.New(instances(50, "a"), "a", 2)
	after := ranker.New(instances(49, "a"), "a", 2)
	moved := 0
	for c := range 1000 {
		for _, i := range instances(49, "a") {
			first := before.Hop(i.ID, c, chunk(c), nil).Parent == nil
			if first && after.Hop(i.ID, c, chunk(c), nil).Parent != nil {
				moved++
			}
		}
	}
	if moved != 0 {
		t.Errorf("got %d chunks for which a remaining instance lost the first rank, want 0", moved)
	}
}
