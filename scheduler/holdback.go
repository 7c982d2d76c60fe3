package scheduler

import "time"

// The limits of the hold-back.
const (
	exemptShare    = 5                      // one request in exemptShare of each rank is never held back
	headroomStep   = 0.05                   // increase of the headroom in each holdBackPeriod
	holdBackPeriod = 100 * time.Millisecond // interval of messages between entries
	maxHeadroom    = 0.6                    // largest share of the slots that a rank must leave free
	rankHeadroom   = 0.09                   // largest headroom of a rank beyond that of the next more urgent one
	releaseTime    = 2 * time.Second        // time in which the largest headroom shrinks to nothing
)

// A holdBack decides which share of the slots of each engine the requests of each rank must
// leave free for more urgent ones.
type holdBack struct {
	at       time.Time // last update
	headroom []float64 // by rank
}

// update changes the headroom by the ranks that lack capacity at any entry. While the requests
// of a rank do, that of the least urgent rank grows step by step, and once it is largest, that
// of the next one. The headroom of all others shrinks.
func (h *holdBack) update(now time.Time, ranks int, lacks func(rank int) bool) {
	for len(h.headroom) < ranks {
		h.headroom = append(h.headroom, 0)
	}
	h.headroom = h.headroom[:ranks]
	periods := min(float64(now.Sub(h.at))/float64(holdBackPeriod), 1)
	if h.at.IsZero() {
		periods = 1
	}
	since := now.Sub(h.at)
	h.at = now
	shortest := ranks // the most urgent rank that lacks capacity
	for rank := ranks - 1; rank >= 0; rank-- {
		if lacks(rank) {
			shortest = rank
		}
	}
	grown := false
	for rank := ranks - 1; rank >= 0; rank-- {
		largest := largestHeadroom(rank - shortest)
		switch {
		case h.headroom[rank] > largest:
			h.headroom[rank] = max(h.headroom[rank]-maxHeadroom*float64(since)/float64(releaseTime), largest)
		case !grown && h.headroom[rank] < largest:
			h.headroom[rank] = min(h.headroom[rank]+headroomStep*periods, largest)
			grown = true
		}
	}
}

// of returns the headroom of a rank.
func (h *holdBack) of(rank int) float64 {
	if rank >= len(h.headroom) {
		return 0
	}
	return h.headroom[rank]
}

// active reports whether any rank is held back.
func (h *holdBack) active() bool {
	for _, headroom := range h.headroom {
		if headroom > 0 {
			return true
		}
	}
	return false
}

// largestHeadroom returns the largest headroom of a rank that is so much less urgent than the
// one that lacks capacity. It grows with that, so that each rank finds places that the next one
// must leave free.
func largestHeadroom(below int) float64 {
	return min(rankHeadroom*float64(max(below, 0)), maxHeadroom)
}
