package reserver

import "time"

// progressBytes is the number of bytes that count as progress. Fewer would let a caller that
// sends single bytes keep its memory.
const progressBytes = 1 << 10

// An entry is the state of one reservation.
type entry struct {
	arrived    int64 // bytes since progressAt
	complete   bool  // the whole body has arrived
	giveUp     func()
	givenUp    bool
	held       int64 // bytes reserved
	pace       pace
	progressAt time.Time
	waiting    bool      // for memory; the caller is not to blame for the lack of progress
	waitingAt  time.Time // begin of the wait
}

// arrives reports whether the caller is still to send bytes of a body that can be given up.
func (e *entry) arrives() bool { return e.giveUp != nil && !e.complete && !e.givenUp && !e.waiting }

// A grade says how well a body does without the time and the memory spent on it so far.
type grade int

// The grades of bodies, in the order in which bodies are given up, the last one first.
const (
	gradeSound   grade = iota // not given up
	gradeSlow                 // needs longer than others wait for its place
	gradeStalled              // makes no progress
	gradeLate                 // will not end in its time, so that nothing is lost with it
)

// progress records that n bytes have arrived.
func (e *entry) progress(now time.Time, n int64) {
	e.pace.arrive(now, n)
	if e.arrived += n; e.arrived >= progressBytes {
		e.arrived, e.progressAt = 0, now
	}
}

// A ledger decides who gets memory. It has no clock, no lock and no goroutine.
type ledger struct {
	entries  map[*entry]struct{}
	gaveUp   int64 // bodies
	leaving  int64 // bytes of bodies that were given up and not given back yet
	refused  int64 // reservations
	settings Settings
	used     int64 // bytes, with those leaving
}

func newLedger(settings Settings) ledger {
	return ledger{entries: map[*entry]struct{}{}, settings: settings}
}

// A decision is the outcome of a request for memory.
type decision struct {
	gaveUp  int // bodies given up for it
	granted bool
	wait    time.Duration // time until the next try, 0 for a refusal
}

func (l *ledger) add(e *entry) { l.entries[e] = struct{}{} }

func (l *ledger) remove(e *entry) {
	if _, ok := l.entries[e]; ok {
		l.shrink(e, e.held)
		delete(l.entries, e)
	}
}

func (l *ledger) shrink(e *entry, n int64) {
	n = min(n, e.held)
	e.held -= n
	l.used -= n
	if e.givenUp {
		l.leaving -= n
	}
}

func (l *ledger) usage() Usage {
	return Usage{Bodies: len(l.entries), GivenUp: l.gaveUp, Refused: l.refused, Total: l.settings.Total, Used: l.used}
}

// limitFor returns up to how many bytes may be used if e gets n more. A part of the total is
// for small bodies, so that large ones do not shut them out.
func (l *ledger) limitFor(e *entry, n int64) int64 {
	if e.held+n <= l.settings.SmallBody {
		return l.settings.Total
	}
	return l.settings.Total - l.settings.Small
}

// tryReserve reserves n bytes if no more than limit are used then. An entry that was removed
// gets none, as nothing would give them back.
func (l *ledger) tryReserve(e *entry, n, limit int64) bool {
	if _, ok := l.entries[e]; !ok || l.used+n > limit {
		return false
	}
	e.held += n
	l.used += n
	return true
}

// reserve reserves n bytes for e, or gives up bodies until what they hold suffices: those that
// are stalled or late, and for a small body those that are slow. e waits until a body that was
// given up has given its memory back, or until others may be given up, but not beyond until.
func (l *ledger) reserve(now time.Time, e *entry, n int64, until time.Time) decision {
	limit := l.limitFor(e, n)
	if l.tryReserve(e, n, limit) {
		return decision{granted: true}
	}
	if _, ok := l.entries[e]; !ok || e.held+n > limit {
		return decision{}
	}
	least := gradeStalled
	if e.held+n <= l.settings.SmallBody {
		least = gradeSlow
	}
	d := decision{wait: until.Sub(now)}
	for l.used-l.leaving+n > limit {
		victim := l.choose(now, e, least)
		if victim == nil {
			d.wait = min(d.wait, l.settings.Stall)
			break
		}
		l.giveUp(victim)
		d.gaveUp++
	}
	return d
}

// choose returns the body to give up, of those with the grade least or a worse one: the worst
// one, of late or slow bodies the one that needs longest, and of stalled ones the one that has
// made no progress for longest. It returns nil if there is none. If other needs memory, bodies
// without memory are not chosen, nor slow and late ones that need no more time than other.
func (l *ledger) choose(now time.Time, other *entry, least grade) *entry {
	var worst *entry
	var worstGrade grade
	var worstLeft, otherLeft time.Duration
	if other != nil {
		otherLeft = other.pace.left(now, l.settings.Stall)
	}
	for e := range l.entries {
		if e == other || !e.arrives() || other != nil && e.held == 0 {
			continue
		}
		g, left := l.grade(now, e)
		if g < least || g != gradeStalled && other != nil && left <= otherLeft {
			continue
		}
		if worst == nil || g > worstGrade || g == worstGrade && goesBefore(g, e, worst, left, worstLeft) {
			worst, worstGrade, worstLeft = e, g, left
		}
	}
	return worst
}

// goesBefore reports whether a is given up rather than b, of bodies of the same grade.
func goesBefore(g grade, a, b *entry, aLeft, bLeft time.Duration) bool {
	if g != gradeStalled && aLeft != bLeft {
		return aLeft > bLeft
	}
	return a.progressAt.Before(b.progressAt)
}

// grade returns the grade of an incomplete body and how much longer it is expected to need.
func (l *ledger) grade(now time.Time, e *entry) (grade, time.Duration) {
	left := e.pace.left(now, l.settings.Stall)
	switch {
	case e.pace.late(now, left):
		return gradeLate, left
	case now.Sub(e.progressAt) >= l.settings.Stall:
		return gradeStalled, left
	case left >= l.settings.Wait:
		return gradeSlow, left
	default:
		return gradeSound, left
	}
}

// giveUp gives a body up. Its memory counts as used until it is given back.
func (l *ledger) giveUp(e *entry) {
	e.givenUp = true
	l.leaving += e.held
	l.gaveUp++
	e.giveUp()
}
