package gossiper

import (
	"math"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// encodeLoad returns the wire form of the load of an endpoint and its pace.
func encodeLoad(endpoint gooseberrypass.ID, load balancer.Load) *wire.LoadShare {
	s := &wire.LoadShare{
		Endpoint: string(endpoint), Requests: uint32(max(load.Requests, 0)), Silent: load.Stalled, UnreadTokens: uint32(max(load.UnreadTokens, 0)),
	}
	if load.Pace > 0 {
		s.PacePercent = uint32(min(math.Round(100*load.Pace), math.MaxInt32))
		s.PaceAgeMillis = uint32(min(max(load.PaceAge.Milliseconds(), 0), math.MaxInt32))
	}
	return s
}

// decodeLoad returns the load of an endpoint and its pace from a message.
func decodeLoad(s *wire.LoadShare) balancer.Load {
	load := balancer.Load{Requests: int(s.GetRequests()), Stalled: s.GetSilent(), UnreadTokens: int(s.GetUnreadTokens())}
	if s.GetPacePercent() > 0 {
		load.Pace, load.PaceAge = float64(s.GetPacePercent())/100, decodeAge(int64(s.GetPaceAgeMillis()))
	}
	return load
}
