// Package roller decides when an instance may leave service to load a version. It
// makes a rollout proceed in waves without a coordinator.
package roller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Candidate is an instance that takes part in a rollout.
type Candidate struct {
	FailureDomain gooseberrypass.FailureDomain
	Finished      bool // serves the new version
	ID            gooseberrypass.ID
	Skipped       bool // makes no progress; others need not wait for it
	Serving       bool // serves some version of the model
}

// Allowed reports whether self, one of the candidates, may leave service to
// load the version digest. maxUnavailable is the share, 0 to 1, of the instances of
// a failure domain that may be out of service at once; one always may.
//
// Candidates are ordered by a hash of version and instance. self may leave when
// fewer than the permitted number of those before it are unfinished. A finished
// instance never becomes unfinished again, so that no more than the permitted
// number are out of service at once, however stale the view of each is.
func Allowed(self gooseberrypass.ID, digest gooseberrypass.Digest, candidates []Candidate, maxUnavailable float64) bool {
	group := groupOf(self, candidates)
	permitted := max(1, int(maxUnavailable*float64(len(group))))
	own := rank(digest, self)
	before, out := 0, 0
	for _, c := range group {
		if c.ID == self {
			continue
		}
		if !c.Serving {
			out++
		}
		if !c.Finished && !c.Skipped && cmp.Or(cmp.Compare(rank(digest, c.ID), own), cmp.Compare(c.ID, self)) < 0 {
			before++
		}
	}
	return before < permitted && out < permitted
}

// groupOf returns the candidates of self's failure domain. All failure domains with
// a single instance form one group: otherwise each of these instances could leave
// service at the same time.
func groupOf(self gooseberrypass.ID, candidates []Candidate) []Candidate {
	sizes := map[gooseberrypass.FailureDomain]int{}
	var domain gooseberrypass.FailureDomain
	for _, c := range candidates {
		sizes[c.FailureDomain]++
		if c.ID == self {
			domain = c.FailureDomain
		}
	}
	alone := sizes[domain] == 1
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		if alone {
			return sizes[c.FailureDomain] != 1
		}
		return c.FailureDomain != domain
	})
}

// rank returns the position of an instance in the order of a rollout. It is the same
// on every instance.
func rank(digest gooseberrypass.Digest, id gooseberrypass.ID) uint64 {
	buf := make([]byte, 0, gooseberrypass.DigestSize+32)
	buf = append(buf, digest[:]...)
	buf = append(buf, id...)
	return xxhash.Sum64(buf)
}
