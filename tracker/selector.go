package tracker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Selector returns the IDs of the listed instances whose status a process
// follows. It is called every second, and its result should change seldom.
type Selector func(listed []gooseberrypass.ListedInstance) []gooseberrypass.ID

// The numbers of agents that an entry follows and of entries that follow an agent.
const (
	// DefaultSubsetSize is how many agents of each pool an entry follows by default.
	DefaultSubsetSize = 24
	// minEntriesPerAgent is the least number of entries that follow each agent.
	minEntriesPerAgent = 2
)

// SelectAll returns a Selector of every agent except self.
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

// SelectSubset returns a Selector for an entry. Of each pool it selects the size
// agents that rank highest for self by rendezvous hashing, at least half of them
// from self's region if it has that many. It adds each agent for which self is
// among the highest-ranking entries, so that every agent is followed by some
// entry. The cost of an entry does not grow with the fleet.
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

// subset returns the agents of one pool that self follows.
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
		if ranksAmongFirst(self.ID, a.ID, entries) {
			chosen[a.ID] = true
		}
	}
	ids := make([]gooseberrypass.ID, 0, len(chosen))
	for id := range chosen {
		ids = append(ids, id)
	}
	return ids
}

// ranksAmongFirst reports whether self is among the minEntriesPerAgent entries
// that rank highest for an agent.
func ranksAmongFirst(self, agent gooseberrypass.ID, entries []gooseberrypass.ID) bool {
	own := rank(agent, self)
	higher := 0
	for _, e := range entries {
		if e != self && rank(agent, e) > own {
			higher++
		}
		if higher >= minEntriesPerAgent {
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

// rank returns the rank of b for a in rendezvous hashing.
func rank(a, b gooseberrypass.ID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(a))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(b))
	return d.Sum64()
}
