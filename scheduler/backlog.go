package scheduler

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Backlog is the unmet demand for a service at one entry, by rank.
type Backlog struct {
	Refused []int // requests that were refused for lack of capacity within the last second
	Waiting []int // requests that wait for an endpoint
}

// minWaiting is the number of waiting requests from which on a rank lacks capacity. At a high
// load that is no overload a few requests wait for moments.
const minWaiting = 3

// lacks reports whether requests of a rank lack capacity.
func (b Backlog) lacks(rank int) bool {
	return rank < len(b.Waiting) && b.Waiting[rank] >= minWaiting || rank < len(b.Refused) && b.Refused[rank] > 0
}

// waits reports whether any request waits.
func (b Backlog) waits() bool {
	return slices.ContainsFunc(b.Waiting, func(n int) bool { return n > 0 })
}

// isEmpty reports whether no request lacks capacity.
func (b Backlog) isEmpty() bool {
	return !b.waits() && !slices.ContainsFunc(b.Refused, func(n int) bool { return n > 0 })
}

// The window in which refusals count, and its parts.
const (
	refusalPart  = 100 * time.Millisecond
	refusalParts = 10
)

// refusals counts the requests refused within the last second, by rank. Its parts are counted
// from the first use, as the time of day may jump.
type refusals struct {
	byRank [][refusalParts]int
	newest int64 // number of the newest part
	start  time.Time
}

// advance forgets the parts that have left the window.
func (r *refusals) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	part := int64(now.Sub(r.start) / refusalPart)
	for i := range min(max(part-r.newest, 0), refusalParts) {
		for rank := range r.byRank {
			r.byRank[rank][(part-i)%refusalParts] = 0
		}
	}
	r.newest = max(part, r.newest)
}

// add counts a refused request.
func (r *refusals) add(now time.Time, rank int) {
	r.advance(now)
	for len(r.byRank) <= rank {
		r.byRank = append(r.byRank, [refusalParts]int{})
	}
	r.byRank[rank][r.newest%refusalParts]++
}

// counts returns the number of requests refused within the last second, by rank.
func (r *refusals) counts(now time.Time, ranks int) []int {
	r.advance(now)
	counts := make([]int, ranks)
	for rank := range min(ranks, len(r.byRank)) {
		for _, n := range r.byRank[rank] {
			counts[rank] += n
		}
	}
	return counts
}

// reports are the backlogs that other entries reported. They expire by age, so that neither
// those of an entry that has crashed nor those that this entry had before it was suspended
// remain.
type reports struct {
	byEntry map[gooseberrypass.ID]report
	ttl     time.Duration
}

type report struct {
	at       time.Time
	backlogs map[gooseberrypass.ID]Backlog // by service
}

// set replaces the backlogs of another entry.
func (r *reports) set(now time.Time, from gooseberrypass.ID, backlogs map[gooseberrypass.ID]Backlog) {
	if len(backlogs) == 0 {
		delete(r.byEntry, from)
		return
	}
	r.byEntry[from] = report{at: now, backlogs: backlogs}
}

// expire drops the reports that have expired.
func (r *reports) expire(now time.Time) {
	for entry, reported := range r.byEntry {
		if now.Sub(reported.at) >= r.ttl {
			delete(r.byEntry, entry)
		}
	}
}

// of returns the backlogs for a service by entry.
func (r *reports) of(service gooseberrypass.ID) map[gooseberrypass.ID]Backlog {
	backlogs := map[gooseberrypass.ID]Backlog{}
	for entry, reported := range r.byEntry {
		if b, ok := reported.backlogs[service]; ok {
			backlogs[entry] = b
		}
	}
	return backlogs
}

// oldest returns the age of the oldest report.
func (r *reports) oldest(now time.Time) time.Duration {
	var oldest time.Duration
	for _, reported := range r.byEntry {
		oldest = max(oldest, now.Sub(reported.at))
	}
	return oldest
}
