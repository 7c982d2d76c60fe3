package attributor

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The conditions of a quarantine.
const (
	// minHits is the smallest number of crashes, each under another request.
	minHits = 3
	// maxChance is the largest probability with which crashes that have nothing to do
	// with a part hit as many requests that have it. Many endpoints may crash at once,
	// and any common part is then in flight at several of them.
	maxChance = 1e-5
	// minHitsUnanswered and maxChanceUnanswered are the same for a part on which no answer is
	// known. The probability includes that all answers since the first hit were to other
	// requests: where many requests have the part, that tells more than the hits.
	minHitsUnanswered   = 4
	maxChanceUnanswered = 1e-2
)

// A cause is a part that may explain crashes.
type cause struct {
	answered   bool    // an answer on the part is known
	chance     float64 // probability that the hits are a coincidence
	hits       int     // crashes under requests with the part, each under another request
	part       part
	trials     int     // crashes since the last answer on the part
	unanswered float64 // probability that the hits and the lack of answers on the part are
}

// mostLikelyCause returns the convincing candidate whose crashes are least likely a
// coincidence. Crashes that a quarantined part explains do not count.
func (a *Attributor) mostLikelyCause(now time.Time, candidates map[part]gooseberrypass.ID) (cause, bool) {
	var open []*crash
	for _, c := range a.crashes {
		if now.Sub(c.at) <= evidenceTTL && !a.explained(c) {
			open = append(open, c)
		}
	}
	best, found := cause{}, false
	likeliest := contest{best: cause{chance: 1}}
	begun := slices.DeleteFunc(slices.Clone(open), func(c *crash) bool { return len(c.begun) == 0 })
	for key, service := range candidates {
		if !a.parts.tracks(key) {
			continue
		}
		for _, crashes := range [][]*crash{open, begun} { // connections that break all the time hide crashes
			candidate := a.assess(key, service, crashes)
			likeliest.add(candidate)
			if !a.convincing(candidate) {
				continue
			}
			if !found || candidate.chance < best.chance {
				best, found = candidate, true
			}
		}
	}
	if !found && !likeliest.tied && likeliest.best.convincesUnanswered() {
		return likeliest.best, true
	}
	return best, found
}

// A contest is that for the cause which is least likely a coincidence, convincing or not.
type contest struct {
	best cause
	tied bool // two parts have the same chance
}

func (n *contest) add(c cause) {
	switch {
	case c.hits < minHits:
	case c.chance < n.best.chance:
		n.best, n.tied = c, false
	case c.chance == n.best.chance && c.part != n.best.part:
		n.tied = true
	}
}

// convincing reports whether a part is quarantined as a cause. A part that was
// quarantined before needs one crash.
func (a *Attributor) convincing(c cause) bool {
	if _, ok := a.quarantines[c.part]; ok {
		return c.hits > 0
	}
	return c.hits >= minHits && c.chance <= maxChance
}

// convincesUnanswered reports whether a part is quarantined as a cause because no answer on
// it is known. That holds for the likeliest one only: an entry that has just started knows
// of no answers on the sound parts either that prompts share with the cause.
func (c cause) convincesUnanswered() bool {
	return !c.answered && c.hits >= minHitsUnanswered && c.unanswered <= maxChanceUnanswered
}

// partsOf returns the parts of the suspects of crashes, and their services.
func partsOf(crashes []*crash) map[part]gooseberrypass.ID {
	parts := map[part]gooseberrypass.ID{}
	for _, c := range crashes {
		for _, s := range c.suspects() {
			for _, key := range s.parts {
				parts[key] = c.service
			}
		}
	}
	return parts
}

// maxReviewed is the number of crashes whose parts are judged again when others are answered.
const maxReviewed = 32

// recentSuspects returns the parts of the suspects of the newest crashes that no quarantine
// explains, and their services.
func (a *Attributor) recentSuspects(now time.Time) map[part]gooseberrypass.ID {
	newest := a.crashes[max(0, len(a.crashes)-maxReviewed):]
	return partsOf(slices.DeleteFunc(slices.Clone(newest), func(c *crash) bool { return now.Sub(c.at) > evidenceTTL || a.explained(c) }))
}

// assess weighs a part as the cause of crashes. Crashes before the last
// answer on the part do not count, and neither do repeats of one request, which other
// fields of the request may explain.
func (a *Attributor) assess(key part, service gooseberrypass.ID, crashes []*crash) cause {
	share, since := a.sharers(service, key), a.parts.lastAnswer(key)
	c := cause{answered: !since.IsZero(), part: key, unanswered: 1}
	now := a.parts.totals(service, key)
	first := now
	requests := map[uint64]bool{}
	expected, all := 0.0, 1.0 // crashes expected to hit the part, probability that all do
	for _, crash := range crashes {
		if crash.service != service || !crash.at.After(since) {
			continue
		}
		hit, repeated := hitBy(key, crash.suspects(), requests)
		if repeated {
			continue
		}
		c.trials++
		chance := func() float64 { return crash.coincidence(share) }
		if !hit {
			expected += chance()
			continue
		}
		c.hits++
		h := crash.addHit(key, chance, now)
		expected, all = expected+h.chance, all*h.chance
		if h.totals.requests < first.requests {
			first = h.totals
		}
	}
	if c.trials > 0 {
		c.chance = binomialTail(c.trials, c.hits, expected/float64(c.trials))
		c.unanswered = c.chance
		if c.hits == c.trials {
			c.unanswered = all
		}
		c.unanswered *= unansweredChance(first, now)
	}
	return c
}

// unansweredChance returns the probability that no answer begun between two moments was to
// a request with a part by coincidence.
func unansweredChance(from, to totals) float64 {
	with, requests := float64(to.with-from.with), float64(to.requests-from.requests)
	share := (with - math.Sqrt(with)) / (requests + 1) // a lower bound, as few requests tell little
	if share <= 0 {
		return 1
	}
	return math.Pow(1-share, float64(to.answers-from.answers))
}

// hitBy reports whether one of the suspects has a part, and otherwise whether one that
// has it is known from another crash. It adds the first to the known requests.
func hitBy(key part, suspects []interruption, known map[uint64]bool) (bool, bool) {
	repeated := false
	for _, s := range suspects {
		if !s.has(key) {
			continue
		}
		if !known[s.request] {
			known[s.request] = true
			return true, false
		}
		repeated = true
	}
	return false, repeated
}

// binomialTail returns the probability of at least k successes in n trials of
// probability p, 1 if that is more than about a half.
func binomialTail(n, k int, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	if p <= 0 {
		return 0
	}
	if float64(k) <= float64(n)*p {
		return 1 // not below a half
	}
	term := math.Exp(logChoose(n, k) + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p))
	sum := term
	for i := k; i < n && term > sum*1e-9; i++ {
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
		sum += term
	}
	return sum
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k int) float64 {
	all, _ := math.Lgamma(float64(n + 1))
	chosen, _ := math.Lgamma(float64(k + 1))
	rest, _ := math.Lgamma(float64(n - k + 1))
	return all - chosen - rest
}
