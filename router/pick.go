package router

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The weights of a choice, in units of an endpoint's capacity.
const (
	// affinityBound is how much busier than the average an endpoint may be and
	// still be chosen for its prefix cache.
	affinityBound = 1.25
	// regionPenalty is the load that a choice outside the own failure domain
	// must save.
	regionPenalty = 0.5
	// remotePenalty is the load that a choice outside the own region must save.
	remotePenalty = 1.0
	// maxSlowness bounds how much an endpoint's measured time weighs.
	maxSlowness = 8.0
)

// A candidate is what a choice knows of one endpoint.
type candidate struct {
	busy     bool // refused work for its load a moment ago
	cached   bool // believed to hold the prompt's prefix
	capacity float64
	distance int     // 0 own failure domain, 1 own region, 2 elsewhere
	load     float64 // requests running and queued, by best knowledge
	member   gooseberrypass.Member
	probe    bool    // ejected, may be tried once
	slowness float64 // measured time against the pool's, 1 is like the others
	weights  gooseberrypass.Digest
}

// fullness is the share of the capacity in use once one more request is sent.
func (c candidate) fullness() float64 { return (c.load + 1) / c.capacity }

// cost orders candidates; the lower is chosen.
func (c candidate) cost() float64 {
	cost := c.fullness() * min(max(c.slowness, 1/maxSlowness), maxSlowness)
	if c.busy {
		cost += 1 + c.fullness()
	}
	switch c.distance {
	case 0:
		return cost
	case 1:
		return cost + regionPenalty
	default:
		return cost + remotePenalty
	}
}

// pick returns the index of the endpoint to use among candidates, which must
// not be empty. It depends on its arguments alone.
func pick(candidates []candidate, rng *rand.Rand) int {
	for i, c := range candidates {
		if c.probe {
			return i
		}
	}
	if i, ok := pickCached(candidates); ok {
		return i
	}
	near := nearest(candidates)
	return pickTwo(candidates, near, rng)
}

// pickCached returns the cheapest endpoint that holds the prefix, unless it is
// busier than the bound allows.
func pickCached(candidates []candidate) (int, bool) {
	mean := 0.0
	best := -1
	for i, c := range candidates {
		mean += c.fullness() / float64(len(candidates))
		if c.cached && !c.busy && (best < 0 || c.cost() < candidates[best].cost()) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	c := candidates[best]
	bound := max(1, affinityBound*mean)
	return best, c.fullness()*c.slowness <= bound && c.slowness < 2
}

// nearest returns the indexes of the candidates at the smallest distance at
// which one has room, or of all if none has.
func nearest(candidates []candidate) []int {
	for distance := range 3 {
		var near []int
		room := false
		for i, c := range candidates {
			if c.distance > distance {
				continue
			}
			near = append(near, i)
			room = room || (c.fullness() <= 1 && !c.busy)
		}
		if room {
			return near
		}
	}
	all := make([]int, len(candidates))
	for i := range all {
		all[i] = i
	}
	return all
}

// pickTwo returns the cheaper of two candidates drawn at random.
func pickTwo(candidates []candidate, from []int, rng *rand.Rand) int {
	a := rng.IntN(len(from))
	if len(from) == 1 {
		return from[a]
	}
	b := rng.IntN(len(from) - 1)
	if b >= a {
		b++
	}
	if candidates[from[b]].cost() < candidates[from[a]].cost() {
		a = b
	}
	return from[a]
}

// expectedWait is how long a request that finds share of the load before it
// waits for its turn, if one request takes service.
func (c candidate) expectedWait(share float64, service time.Duration) time.Duration {
	ahead := c.load*share - c.capacity + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / c.capacity * c.slowness * float64(service))
}
