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
	urgency
	regions gooseberrypass.RegionSet
}

// An urgency is what the order of classes follows from.
type urgency struct {
	held bool // the hold-back applies
	late bool // the answer is late already
	rank int
}

// compare orders urgencies, the most urgent first.
func (u urgency) compare(v urgency) int {
	return cmp.Or(compareBool(u.late, v.late), cmp.Compare(u.rank, v.rank), compareBool(u.held, v.held))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// precedes reports whether a waiting request of u holds back requests of v: it is as urgent or
// more urgent, and may use as many slots of each engine.
func (u urgency) precedes(v urgency) bool {
	return u.rank <= v.rank && (v.late || !u.late) && (v.held || !u.held)
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

// add adds a request.
func (q *queue) add(w *waiter) {
	l := q.lane(w.request.Query.Regions)
	if l == nil {
		l = &lane{regions: w.request.Query.Regions}
		q.lanes = append(q.lanes, l)
	}
	i, ok := l.find(w.urgency)
	if !ok {
		l.classes = slices.Insert(l.classes, i, &class{accounts: map[gooseberrypass.ID][]*waiter{}, regions: l.regions, urgency: w.urgency})
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

// find returns the index of the class of an urgency, or where it belongs.
func (l *lane) find(u urgency) (int, bool) {
	return slices.BinarySearchFunc(l.classes, u, func(c *class, u urgency) int { return c.compare(u) })
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
	i, ok := l.find(w.urgency)
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

// holdsBack reports whether the requests of a class hold back a request: they are as urgent or
// more urgent, and could be sent to all endpoints to which it could be sent.
func (c *class) holdsBack(w *waiter) bool {
	return c.precedes(w.urgency) && w.request.Query.Regions.Within(c.regions)
}

// ahead returns the number of waiting requests that hold back w.
func (q *queue) ahead(w *waiter) int {
	n := 0
	for _, l := range q.lanes {
		for _, c := range l.classes {
			if c.holdsBack(w) {
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

// classes returns the classes of all lanes, the most urgent first.
func (q *queue) classes() []*class {
	var classes []*class
	for _, l := range q.lanes {
		classes = append(classes, l.classes...)
	}
	if len(q.lanes) > 1 {
		slices.SortStableFunc(classes, func(a, b *class) int { return a.compare(b.urgency) })
	}
	return classes
}

// first returns the first request of a class: that of the account served least lately.
func (q *queue) first(now time.Time, c *class) *waiter {
	var best *waiter
	least := 0.0
	for account, list := range c.accounts {
		w, count := list[0], q.served[account].now(now)
		if best == nil || cmp.Or(cmp.Compare(count, least), w.deadline.Compare(best.deadline), cmp.Compare(account, best.request.Account)) < 0 {
			best, least = w, count
		}
	}
	return best
}

// last returns the least urgent request, the one with the latest deadline of the account served
// most lately, nil if none waits.
func (q *queue) last(now time.Time) *waiter {
	var worst *waiter
	most := 0.0
	for _, l := range q.lanes {
		c := l.classes[len(l.classes)-1]
		if worst != nil && c.compare(worst.urgency) <= 0 {
			continue
		}
		worst = nil
		for account, list := range c.accounts {
			w, count := list[len(list)-1], q.served[account].now(now)
			if worst == nil || cmp.Or(cmp.Compare(count, most), w.deadline.Compare(worst.deadline), cmp.Compare(account, worst.request.Account)) > 0 {
				worst, most = w, count
			}
		}
	}
	return worst
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
