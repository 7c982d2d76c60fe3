package roller

import "github.com/gooseberrypass/gooseberrypass"

// Peers returns the listed instances whose progress decides when self may load:
// the agents of self's pool in its failure domain or, if self is the only one
// there, the other agents that are alone in theirs. pool returns the pool of an
// instance.
func Peers(
	self gooseberrypass.ListedInstance,
	listed []gooseberrypass.ListedInstance,
	pool func(gooseberrypass.ListedInstance) gooseberrypass.Pool,
) []gooseberrypass.ID {
	candidates := []Candidate{{FailureDomain: self.FailureDomain, ID: self.ID}}
	own := pool(self)
	for _, l := range listed {
		if l.ID != self.ID && l.Role == gooseberrypass.RoleAgent && pool(l) == own {
			candidates = append(candidates, Candidate{FailureDomain: l.FailureDomain, ID: l.ID})
		}
	}
	var ids []gooseberrypass.ID
	for _, c := range groupOf(self.ID, candidates) {
		if c.ID != self.ID {
			ids = append(ids, c.ID)
		}
	}
	return ids
}
