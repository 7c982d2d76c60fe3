package attributor

import (
	"slices"
	"time"
)

// maxQuarantineTime is the longest quarantine of a part.
const maxQuarantineTime = time.Hour

// maxDoublings is the number of times that the quarantine of a part is doubled.
const maxDoublings = 8

// maxQuarantines is the number of quarantines that there can be at once.
const maxQuarantines = 256

// A quarantine is the time for which requests are refused that have all of some parts, one of
// which crashes endpoints: usually a single part, or several that the crashes do not tell
// apart. It is kept for longer: a part that crashes an endpoint after it is quarantined again
// at once.
type quarantine struct {
	count int       // quarantines of the parts so far, with this one
	parts []part    // without order, but for the first one, which was the likeliest
	since time.Time // last crash that it rests on: an answer since then ends it, also one that is told later
	until time.Time // end
}

// concerns reports whether a prompt has all parts of the quarantine.
func (q *quarantine) concerns(prompt []part) bool { return containsAll(prompt, q.parts) }

// containsAll reports whether all wanted parts are among parts.
func containsAll(parts, wanted []part) bool {
	for _, key := range wanted {
		if !slices.Contains(parts, key) {
			return false
		}
	}
	return true
}

// A quarantineTable has quarantines by their parts. No two have the same ones.
type quarantineTable struct {
	all    []*quarantine // in the order in which they were set
	byPart map[part][]*quarantine
}

func newQuarantineTable() *quarantineTable {
	return &quarantineTable{byPart: map[part][]*quarantine{}}
}

// has reports whether a part is quarantined, or was and is remembered.
func (t *quarantineTable) has(key part) bool { return len(t.byPart[key]) > 0 }

// size returns the number of parts in quarantines.
func (t *quarantineTable) size() int { return len(t.byPart) }

// concerning returns a quarantine that concerns a prompt and has not ended at a time.
func (t *quarantineTable) concerning(prompt []part, at time.Time) (*quarantine, bool) {
	for _, key := range prompt {
		for _, q := range t.byPart[key] {
			if at.Before(q.until) && q.concerns(prompt) {
				return q, true
			}
		}
	}
	return nil, false
}

// of returns the quarantine of exactly these parts.
func (t *quarantineTable) of(parts []part) (*quarantine, bool) {
	for _, q := range t.byPart[parts[0]] {
		if len(q.parts) == len(parts) && q.concerns(parts) {
			return q, true
		}
	}
	return nil, false
}

// set adds a quarantine in place of that of the same parts.
func (t *quarantineTable) set(q *quarantine) {
	if held, ok := t.of(q.parts); ok {
		t.remove(held)
	}
	t.all = append(t.all, q)
	for _, key := range q.parts {
		t.byPart[key] = append(t.byPart[key], q)
	}
}

func (t *quarantineTable) remove(q *quarantine) {
	isSame := func(held *quarantine) bool { return held == q }
	t.all = slices.DeleteFunc(t.all, isSame)
	for _, key := range q.parts {
		if t.byPart[key] = slices.DeleteFunc(t.byPart[key], isSame); len(t.byPart[key]) == 0 {
			delete(t.byPart, key)
		}
	}
}

// release takes a part on which an answer was begun out of the quarantines since before, and
// removes those that have no part left. It returns the parts that are left in the others, and
// whether there was such a quarantine.
func (t *quarantineTable) release(key part, at time.Time) ([]part, bool) {
	var left []part
	released := false
	for _, q := range slices.Clone(t.byPart[key]) {
		if !at.After(q.since) {
			continue
		}
		released = true
		t.remove(q)
		rest := slices.DeleteFunc(slices.Clone(q.parts), func(held part) bool { return held == key })
		if len(rest) == 0 {
			continue
		}
		left = append(left, rest...)
		if held, ok := t.of(rest); !ok || held.until.Before(q.until) {
			t.set(&quarantine{count: q.count, parts: rest, since: q.since, until: q.until})
		}
	}
	return left, released
}

// drop drops the quarantines that ended long ago, and the oldest one if there are too many.
func (t *quarantineTable) drop(now time.Time) {
	for _, q := range slices.Clone(t.all) {
		if now.Sub(q.until) > maxQuarantineTime {
			t.remove(q)
		}
	}
	if len(t.all) > maxQuarantines {
		t.remove(t.all[0])
	}
}

// quarantine quarantines the parts of a cause. Each entry ends the quarantine at another time, so
// that the first one that sends such a request tells the others what it led to. Crashes that
// leave fewer parts of a quarantine in force do not begin another one: an answer on the others
// since its begin, which may be told later, shows that they had another reason.
func (a *Attributor) quarantine(now time.Time, found cause) *quarantine {
	parts, count := found.parts(), 1
	for _, q := range a.quarantines.byPart[found.part] {
		switch {
		case !now.Before(q.until):
			count = max(count, q.count+1)
		case found.hits < minHits && containsAll(q.parts, parts):
			narrow := &quarantine{count: q.count, parts: parts, since: q.since, until: q.until}
			a.addQuarantine(narrow)
			return narrow
		default:
			count = max(count, q.count)
		}
	}
	return a.setQuarantine(parts, found.lastCrash(), count)
}

// setQuarantine sets the quarantine of parts that began at since.
func (a *Attributor) setQuarantine(parts []part, since time.Time, count int) *quarantine {
	period := min(a.settings.QuarantineTime<<min(count-1, maxDoublings), maxQuarantineTime)
	spread := time.Duration(a.rng.Float64() * float64(period))
	q := &quarantine{count: count, parts: parts, since: since, until: since.Add(period + spread)}
	a.addQuarantine(q)
	return q
}

func (a *Attributor) addQuarantine(q *quarantine) {
	a.quarantines.set(q)
	a.dropQuarantines(a.clock.Now())
}

func (a *Attributor) dropQuarantines(now time.Time) {
	a.quarantines.drop(now)
	a.metrics.quarantined.Set(float64(a.quarantines.size()))
}
