package router

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The weights of the cost of a candidate. Loads are shares of an endpoint's
// capacity.
const (
	// affinityFactor bounds the utilization at which an endpoint is still chosen
	// for its prefix cache, as a multiple of the average of the candidates.
	affinityFactor = 1.25
	// regionPenalty is added to the cost of an endpoint in the same region but
	// another failure domain.
	regionPenalty = 0.5
	// remotePenalty is added to the cost of an endpoint in another region.
	remotePenalty = 1.0
	// maxSlowdown bounds the effect of the slowdown on the cost, in both
	// directions.
	maxSlowdown = 8.0
)

// A candidate is an endpoint that may be chosen, with the inputs of the choice.
type candidate struct {
	busy     bool // refused an attempt as overloaded within busyBackoff
	cached   bool // probably has the prompt's prefix in its cache
	capacity float64
	distance int     // 0 same failure domain, 1 same region, 2 another region
	load     float64 // estimated requests running and queued
	member   gooseberrypass.Member
	probe    bool    // ejected, and due for a probe
	slowdown float64 // its service time divided by the average of the target
	weights  gooseberrypass.Digest
}

// utilization returns the load, including the request to be sent, as a share of
// the capacity. It exceeds 1 if requests are queued.
func (c candidate) utilization() float64 { return (c.load + 1) / c.capacity }

// cost returns the cost of a candidate. Candidates with a lower cost are
// preferred.
func (c candidate) cost() float64 {
	cost := c.utilization() * min(max(c.slowdown, 1/maxSlowdown), maxSlowdown)
	if c.busy {
		cost += 1 + c.utilization()
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

// pick returns the index of the candidate to use: one due for a probe, else one
// that has the prefix cached, else the cheaper of two random ones nearby.
// The candidates must not be empty. The result depends only on the arguments.
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

// pickCached returns the cheapest candidate that has the prefix cached. It
// returns false if there is none, or if that one is too busy or too slow.
func pickCached(candidates []candidate) (int, bool) {
	mean := 0.0
	best := -1
	for i, c := range candidates {
		mean += c.utilization() / float64(len(candidates))
		if c.cached && !c.busy && (best < 0 || c.cost() < candidates[best].cost()) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	c := candidates[best]
	bound := max(1, affinityFactor*mean)
	return best, c.utilization()*c.slowdown <= bound && c.slowdown < 2
}

// nearest returns the indexes of the candidates within the smallest distance at
// which one has free capacity, or of all candidates if none has.
func nearest(candidates []candidate) []int {
	for distance := range 3 {
		var near []int
		room := false
		for i, c := range candidates {
			if c.distance > distance {
				continue
			}
			near = append(near, i)
			room = room || (c.utilization() <= 1 && !c.busy)
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

// pickTwo returns the cheaper of two random candidates (power of two choices).
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

// expectedWait returns how long a request is expected to be queued if it has to
// wait for a share of shareAhead of the load, and one request takes serviceTime.
func (c candidate) expectedWait(shareAhead float64, serviceTime time.Duration) time.Duration {
	ahead := c.load*shareAhead - c.capacity + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / c.capacity * c.slowdown * float64(serviceTime))
}
