package ranker_test

import (
	"strconv"
	"testing"

	"github.com/gooseberrypass/gooseberrypass/ranker"
)

// BenchmarkHop measures the selection of one parent, including the rank order of
// the chunk, by the number of instances in the region.
func BenchmarkHop(b *testing.B) {
	for _, n := range []int{15, 100, 700, 3200} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			list := instances(n, "a")
			r := ranker.New(list, "a", 2)
			i := 0
			for b.Loop() {
				i++
				r.Hop(list[i%n].ID, i, chunk(i), nil)
			}
		})
	}
}
