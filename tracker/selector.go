package tracker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Selector returns the instances, of those listed, whose status a process
// follows. It is asked again every second and should change its mind seldom.
type Selector func(listed []gooseberrypass.ListedInstance) []gooseberrypass.ID

// The size of the subset of agents that an entry follows.
const (
	// DefaultSubset is how many agents of each pool an entry follows.
	DefaultSubset = 24
	// agentSpread is how many entries at least follow each agent.
	agentSpread = 2
)

// SelectAll follows every agent but self.
func SelectAll(self gooseberrypass.ID) Selector {
	return func(listed []gooseberrypass.ListedInstance) []gooseberrypass.ID {
		var ids []gooseberrypass.ID
		for _, l := range listed {
			if l.Role == gooseberrypass.RoleAgent && l.ID != self {
				ids = append(ids, l.ID)
			}
		}
		return ids
	}
}

// SelectSubset follows the agents that rank highest for self by rendezvous
// hashing, size of each pool, half of them from self's region if it has them,
// and each agent for which self ranks among the first entries. So an entry's
// cost does not grow with the fleet, and no agent is left without entries.
func SelectSubset(self gooseberrypass.ListedInstance, size int) Selector {
	return func(listed []gooseberrypass.ListedInstance) []gooseberrypass.ID {
		pools := map[gooseberrypass.Pool][]gooseberrypass.ListedInstance{}
		var entries []gooseberrypass.ID
		for _, l := range listed {
			switch l.Role {
			case gooseberrypass.RoleAgent:
				if l.ID != self.ID {
					pools[l.Pool] = append(pools[l.Pool], l)
				}
			case gooseberrypass.RoleEntry:
				entries = append(entries, l.ID)
			}
		}
		ids := make([]gooseberrypass.ID, 0, len(pools)*size)
		for _, agents := range pools {
			ids = append(ids, subset(self, agents, entries, size)...)
		}
		slices.Sort(ids)
		return ids
	}
}

func subset(self gooseberrypass.ListedInstance, agents []gooseberrypass.ListedInstance, entries []gooseberrypass.ID, size int) []gooseberrypass.ID {
	if len(agents) <= size {
		return idsOf(agents)
	}
	slices.SortFunc(agents, func(a, b gooseberrypass.ListedInstance) int {
		return cmp.Or(cmp.Compare(rank(self.ID, b.ID), rank(self.ID, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	chosen := map[gooseberrypass.ID]bool{}
	for _, a := range agents {
		if a.Region == self.Region && len(chosen) < size/2 {
			chosen[a.ID] = true
		}
	}
	for _, a := range agents {
		if len(chosen) < size {
			chosen[a.ID] = true
		}
	}
	for _, a := range agents {
		if amongFirst(self.ID, a.ID, entries) {
			chosen[a.ID] = true
		}
	}
	ids := make([]gooseberrypass.ID, 0, len(chosen))
	for id := range chosen {
		ids = append(ids, id)
	}
	return ids
}

func amongFirst(self, agent gooseberrypass.ID, entries []gooseberrypass.ID) bool {
	own := rank(agent, self)
	before := 0
	for _, e := range entries {
		if e != self && rank(agent, e) > own {
			before++
		}
		if before >= agentSpread {
			return false
		}
	}
	return true
}

func idsOf(listed []gooseberrypass.ListedInstance) []gooseberrypass.ID {
	ids := make([]gooseberrypass.ID, 0, len(listed))
	for _, l := range listed {
		ids = append(ids, l.ID)
	}
	return ids
}

// rank is the rendezvous rank of b for a.
func rank(a, b gooseberrypass.ID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(a))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(b))
	return d.Sum64()
}
