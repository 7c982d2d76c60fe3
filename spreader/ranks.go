package spreader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxRanked bounds how many ids are kept, the first of the order. So many are
// never suspected at once.
const maxRanked = 64

// ranked orders ids by a hash of each, so that all processes with the same list
// find the same order, and a change of the list moves few places.
func ranked(salt string, ids []gooseberrypass.ID) []gooseberrypass.ID {
	slices.SortFunc(ids, func(a, b gooseberrypass.ID) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(salt+string(a)), xxhash.Sum64String(salt+string(b))),
			cmp.Compare(a, b),
		)
	})
	return slices.Clone(ids[:min(len(ids), maxRanked)])
}
