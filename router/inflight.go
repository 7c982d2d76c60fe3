package router

import "github.com/gooseberrypass/gooseberrypass"

// A flight counts the own sends in flight for one target, by priority.
type flight struct {
	counts [gooseberrypass.MaxPriority + 1]int
}

func (f *flight) begin(p gooseberrypass.Priority) { f.counts[level(p)]++ }
func (f *flight) end(p gooseberrypass.Priority)   { f.counts[level(p)]-- }

// share is the part of the sends in flight that a request of the given
// priority has to wait for.
func (f *flight) share(p gooseberrypass.Priority) float64 {
	all, before := 1, 1
	for i, n := range f.counts {
		all += n
		if gooseberrypass.Priority(i) >= p {
			before += n
		}
	}
	return float64(before) / float64(all)
}

func level(p gooseberrypass.Priority) gooseberrypass.Priority {
	return min(max(p, gooseberrypass.MinPriority), gooseberrypass.MaxPriority)
}
