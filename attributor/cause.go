package attributor

import (
	"cmp"
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
	// maxRivalFactor is how much more likely a coincidence the crashes may be under another part
	// that all of them hit too, so that it may as well be the cause. The shares of such parts
	// differ by the few requests that have one and not the other.
	maxRivalFactor = 100
)

// A cause is a part that may explain crashes.
type cause struct {
	answered   bool     // an answer on the part is known
	chance     float64  // probability that the hits are a coincidence
	crashes    []*crash // under requests with the part, each under another request
	hits       int      // their number
	part       part
	rivals     []part  // that the same evidence speaks against
	trials     int     // crashes since the last answer on the part
	unanswered float64 // probability that the hits and the lack of answers on the part are
}

// parts returns the part and its rivals.
func (c cause) parts() []part { return append([]part{c.part}, c.rivals...) }

// lastCrash returns the time of the last crash.
func (c cause) lastCrash() time.Time {
	last := c.crashes[0].at
	for _, of := range c.crashes {
		if of.at.After(last) {
			last = of.at
		}
	}
	return last
}

// mostLikelyCause returns the convincing candidate whose crashes are least likely a
// coincidence, with its rivals. Crashes that a quarantine explains do not count.
func (a *Attributor) mostLikelyCause(now time.Time, candidates map[part]gooseberrypass.ID) (cause, bool) {
	var open []*crash
	for _, c := range a.crashes {
		if now.Sub(c.at) <= evidenceTTL && !a.explained(c) {
			open = append(open, c)
		}
	}
	begun := slices.DeleteFunc(slices.Clone(open), func(c *crash) bool { return len(c.begun) == 0 })
	var convincing, likely []cause
	for key, service := range candidates {
		if !a.parts.tracks(key) {
			continue
		}
		for _, crashes := range [][]*crash{open, begun} { // connections that break all the time hide crashes
			c := a.assess(key, service, crashes)
			if _, ok := c.wholeSuspect(); !ok {
				continue
			}
			if c.hits >= minHits {
				likely = append(likely, c)
			}
			if a.convincing(c) {
				convincing = append(convincing, c)
			}
		}
	}
	found, ok := likeliest(convincing)
	if !ok {
		found, ok = likeliest(likely)
		ok = ok && found.convincesUnanswered()
	}
	if !ok {
		return cause{}, false
	}
	found.rivals = a.rivals(found)
	return found, true
}

// likeliest returns the cause whose crashes are least likely a coincidence; of those with the
// same chance one on which no answer is known, if there is one.
func likeliest(causes []cause) (cause, bool) {
	if len(causes) == 0 {
		return cause{}, false
	}
	return slices.MinFunc(causes, func(c, d cause) int {
		switch {
		case c.chance != d.chance:
			return cmp.Compare(c.chance, d.chance)
		case c.answered != d.answered && d.answered:
			return -1
		case c.answered != d.answered:
			return 1
		}
		return cmp.Compare(c.part, d.part)
	}), true
}

// wholeSuspect returns a suspect with the part all of whose parts are known. Other entries tell
// only some of a prompt, which may leave out the one that is to blame.
func (c cause) wholeSuspect() (interruption, bool) {
	for _, of := range c.crashes {
		for _, s := range of.suspects() {
			if s.has(c.part) && !s.isPartial() {
				return s, true
			}
		}
	}
	return interruption{}, false
}

// rivals returns the other parts that may as well be the cause: each of its crashes has a suspect
// with both, and they are about as unlikely a coincidence. Where one crash was enough, as the part
// had been quarantined before, so had its rivals. The parts of one suspect are considered, so
// that the quarantine explains its crash.
func (a *Attributor) rivals(found cause) []part {
	var rivals []part
	whole, _ := found.wholeSuspect()
	for _, key := range whole.parts {
		if key == found.part || slices.Contains(rivals, key) || !found.mayBe(key, a.parts.lastAnswer(key)) || found.hits < minHits && !a.quarantines.has(key) {
			continue
		}
		if c := a.assess(key, whole.service, found.crashes); c.hits < found.hits || c.chance <= found.chance*maxRivalFactor {
			rivals = append(rivals, key)
		}
	}
	return rivals
}

// mayBe reports whether all crashes of a cause may be those of another part that comes with it,
// on which an answer was last begun at some time.
func (c cause) mayBe(key part, lastAnswer time.Time) bool {
	return !slices.ContainsFunc(c.crashes, func(of *crash) bool {
		mayHit := slices.ContainsFunc(of.suspects(), func(s interruption) bool { return s.has(c.part) && (s.has(key) || s.isPartial()) })
		return !mayHit || !of.at.After(lastAnswer)
	})
}

// convincing reports whether a part is quarantined as a cause. A part that was
// quarantined before needs one crash.
func (a *Attributor) convincing(c cause) bool {
	if a.quarantines.has(c.part) {
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
		c.crashes = append(c.crashes, crash)
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
