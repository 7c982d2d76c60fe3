package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// servedTime is the time constant with which requests served to a client account are
// forgotten. It is a few times as long as an answer takes.
const servedTime = 2 * time.Second

// A queue holds the waiting requests of one service. It is ordered by class, then by the client
// account that was served least lately, then by deadline. It is not safe for concurrent use.
type queue struct {
	lanes  []*lane // one for each set of regions that may serve requests
	served map[gooseberrypass.ID]served
	size   int
}

// A lane holds the requests that the same regions may serve.
type lane struct {
	classes []*class // the most urgent first
	regions gooseberrypass.RegionSet
}

// A class holds the requests that are equally urgent. Requests whose answer is late already
// come after all others.
type class struct {
	accounts map[gooseberrypass.ID][]*waiter // by deadline
	late     bool
	rank     int
}

// served is the number of requests served to a client account, which decays with time.
type served struct {
	at    time.Time
	count float64
}

func (s served) now(now time.Time) float64 {
	return s.count * math.Exp(-float64(now.Sub(s.at))/float64(servedTime))
}

func newQueue() *queue { return &queue{served: map[gooseberrypass.ID]served{}} }

// compareClass orders classes, the most urgent first.
func compareClass(c *class, w *waiter) int {
	if c.late != w.request.Late {
		if c.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(c.rank, w.request.Rank)
}

// add adds a request.
func (q *queue) add(w *waiter) {
	l := q.lane(w.request.Query.Regions)
	if l == nil {
		l = &lane{regions: w.request.Query.Regions}
		q.lanes = append(q.lanes, l)
	}
	i, ok := slices.BinarySearchFunc(l.classes, w, compareClass)
	if !ok {
		l.classes = slices.Insert(l.classes, i, &class{accounts: map[gooseberrypass.ID][]*waiter{}, late: w.request.Late, rank: w.request.Rank})
	}
	c := l.classes[i]
	list := c.accounts[w.request.Account]
	j, _ := slices.BinarySearchFunc(list, w, func(a, b *waiter) int {
		if a.deadline.After(b.deadline) {
			return 1
		}
		return -1 // requests with equal deadlines stay in the order of their arrival
	})
	c.accounts[w.request.Account] = slices.Insert(list, j, w)
	q.size++
}

// lane returns the lane of the requests that regions may serve, nil if none waits.
func (q *queue) lane(regions gooseberrypass.RegionSet) *lane {
	for _, l := range q.lanes {
		if l.regions.Equal(regions) {
			return l
		}
	}
	return nil
}

// remove removes a request and reports whether it was waiting.
func (q *queue) remove(w *waiter) bool {
	l := q.lane(w.request.Query.Regions)
	if l == nil {
		return false
	}
	i, ok := slices.BinarySearchFunc(l.classes, w, compareClass)
	if !ok {
		return false
	}
	c := l.classes[i]
	list := c.accounts[w.request.Account]
	j := slices.Index(list, w)
	if j < 0 {
		return false
	}
	q.size--
	c.accounts[w.request.Account] = slices.Delete(list, j, j+1)
	if len(list) > 1 {
		return true
	}
	delete(c.accounts, w.request.Account)
	if len(c.accounts) > 0 {
		return true
	}
	l.classes = slices.Delete(l.classes, i, i+1)
	if len(l.classes) == 0 {
		q.lanes = slices.DeleteFunc(q.lanes, func(other *lane) bool { return other == l })
	}
	return true
}

// blocks reports whether a waiting request that is as urgent as w or more urgent could be sent
// to all endpoints to which w could be sent.
func (q *queue) blocks(w *waiter) bool {
	for _, l := range q.lanes {
		if w.request.Query.Regions.Within(l.regions) && compareClass(l.classes[0], w) <= 0 {
			return true
		}
	}
	return false
}

// ahead returns the number of waiting requests that are as urgent as w or more urgent and could
// be sent to the same endpoints.
func (q *queue) ahead(w *waiter) int {
	n := 0
	for _, l := range q.lanes {
		if !w.request.Query.Regions.Within(l.regions) {
			continue
		}
		for _, c := range l.classes {
			if compareClass(c, w) <= 0 {
				n += c.len()
			}
		}
	}
	return n
}

func (c *class) len() int {
	n := 0
	for _, list := range c.accounts {
		n += len(list)
	}
	return n
}

// heads returns the first request of each lane, the most urgent first.
func (q *queue) heads(now time.Time) []*waiter {
	lanes := slices.Clone(q.lanes)
	slices.SortStableFunc(lanes, func(a, b *lane) int { return compareClass(a.classes[0], b.classes[0].any()) })
	heads := make([]*waiter, 0, len(lanes))
	for _, l := range lanes {
		heads = append(heads, q.first(now, l.classes[0]))
	}
	return heads
}

// first returns the first request of a class: that of the account served least lately.
func (q *queue) first(now time.Time, c *class) *waiter {
	var best *waiter
	least := 0.0
	for account, list := range c.accounts {
		count := q.served[account].now(now)
		if best == nil || count < least || count == least && list[0].deadline.Before(best.deadline) {
			best, least = list[0], count
		}
	}
	return best
}

// last returns the least urgent request, the one with the latest deadline of the account served
// most lately, nil if none waits.
func (q *queue) last(now time.Time) *waiter {
	var worst *waiter
	for _, l := range q.lanes {
		c := l.classes[len(l.classes)-1]
		if worst != nil && compareClass(c, worst) <= 0 {
			continue
		}
		most := -1.0
		for account, list := range c.accounts {
			if count := q.served[account].now(now); count > most {
				worst, most = list[len(list)-1], count
			}
		}
	}
	return worst
}

// any returns a request of a class.
func (c *class) any() *waiter {
	for _, list := range c.accounts {
		return list[0]
	}
	return nil
}

// recordServed counts a request of a client account that got an endpoint.
func (q *queue) recordServed(now time.Time, account gooseberrypass.ID) {
	q.served[account] = served{at: now, count: q.served[account].now(now) + 1}
}

// expire forgets the accounts that were not served lately.
func (q *queue) expire(now time.Time) {
	for account, s := range q.served {
		if s.now(now) < forgottenCount {
			delete(q.served, account)
		}
	}
}

// forgottenCount is the decayed count below which an account counts as not served.
const forgottenCount = 0.01

// waiting returns the number of waiting requests of each rank.
func (q *queue) waiting(ranks int) []int {
	counts := make([]int, ranks)
	for _, l := range q.lanes {
		for _, c := range l.classes {
			if c.rank < ranks {
				counts[c.rank] += c.len()
			}
		}
	}
	return counts
}
