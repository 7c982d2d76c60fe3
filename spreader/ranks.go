package spreader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxRanked is the number of ids that a ranking keeps. It is far above the number
// of processes suspected at the same time.
const maxRanked = 64

// rankByHash sorts ids in place by a salted hash of each and returns the first
// maxRanked. Processes with the same member list get the same ranking without
// coordination, and a change of the list moves few ranks.
func rankByHash(salt string, ids []gooseberrypass.ID) []gooseberrypass.ID {
	slices.SortFunc(ids, func(a, b gooseberrypass.ID) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(salt+string(a)), xxhash.Sum64String(salt+string(b))),
			cmp.Compare(a, b),
		)
	})
	return slices.Clone(ids[:min(len(ids), maxRanked)])
}
