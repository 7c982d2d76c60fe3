package router

import "github.com/gooseberrypass/gooseberrypass"

// An inFlightCounts counts this process's attempts in flight for one target, by
// priority.
type inFlightCounts struct {
	counts [gooseberrypass.MaxPriority + 1]int
}

func (c *inFlightCounts) begin(p gooseberrypass.Priority) { c.counts[clampPriority(p)]++ }
func (c *inFlightCounts) end(p gooseberrypass.Priority)   { c.counts[clampPriority(p)]-- }

// shareAhead returns the share of the attempts in flight that have the given
// priority or a higher one, and so go before a new request of that priority. The
// new request counts in both numbers, so that the share is 1 if none is in
// flight.
func (c *inFlightCounts) shareAhead(p gooseberrypass.Priority) float64 {
	all, ahead := 1, 1
	for i, n := range c.counts {
		all += n
		if gooseberrypass.Priority(i) >= p {
			ahead += n
		}
	}
	return float64(ahead) / float64(all)
}

// clampPriority limits a priority to its range.
func clampPriority(p gooseberrypass.Priority) gooseberrypass.Priority {
	return min(max(p, gooseberrypass.MinPriority), gooseberrypass.MaxPriority)
}
