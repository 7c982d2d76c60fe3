package fetcher

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const strikesShift = 5

// An avoider remembers which senders failed lately.
type avoider struct {
	base   time.Duration
	blamed map[gooseberrypass.ID]blame
	most   time.Duration
}

type blame struct {
	strikes int
	until   time.Time
}

func newAvoider(base, most time.Duration) *avoider {
	return &avoider{base: base, blamed: map[gooseberrypass.ID]blame{}, most: most}
}

// avoids reports whether a sender is to be passed over at now.
func (a *avoider) avoids(id gooseberrypass.ID, now time.Time) bool {
	b, ok := a.blamed[id]
	return ok && now.Before(b.until)
}

// blame passes a sender over for a while, longer each time.
func (a *avoider) blame(id gooseberrypass.ID, now time.Time) {
	b := a.blamed[id]
	if now.Before(b.until) {
		return // one failure seen by several transfers
	}
	pause := min(a.base<<min(b.strikes, strikesShift), a.most)
	a.blamed[id] = blame{strikes: b.strikes + 1, until: now.Add(pause)}
}

// clear forgets the failures of a sender.
func (a *avoider) clear(id gooseberrypass.ID) { delete(a.blamed, id) }

// keep forgets the senders that are not listed any more.
func (a *avoider) keep(listed func(gooseberrypass.ID) bool) {
	for id := range a.blamed {
		if !listed(id) {
			delete(a.blamed, id)
		}
	}
}

// count returns how many senders are passed over at now.
func (a *avoider) count(now time.Time) int {
	n := 0
	for id := range a.blamed {
		if a.avoids(id, now) {
			n++
		}
	}
	return n
}
