package balancer

import "math/rand/v2"

// A pool holds the endpoints of one service. Choosing shuffles them.
type pool struct {
	lapsed []*endpoint // in any region; they may be gone
	local  []*endpoint // in this entry's region
	remote []*endpoint
}

func (p *pool) add(e *endpoint) {
	switch {
	case e.listed.Lapsed:
		p.lapsed = append(p.lapsed, e)
	case e.remote:
		p.remote = append(p.remote, e)
	default:
		p.local = append(p.local, e)
	}
}

// len returns the number of endpoints.
func (p *pool) len() int {
	if p == nil {
		return 0
	}
	return len(p.lapsed) + len(p.local) + len(p.remote)
}

// pick moves a random endpoint of those from i on to i and returns it, so that
// picks with growing i give all endpoints in random order.
func pick(rng *rand.Rand, endpoints []*endpoint, i int) *endpoint {
	j := i + rng.IntN(len(endpoints)-i)
	endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	return endpoints[i]
}
