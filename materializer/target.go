package materializer

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Target is a version of a model that the operator wants loaded.
type Target struct {
	ObservedAt time.Time // when a process first saw the version being named, as far as known; zero if none did
	Presumed   bool      // the version is not known to have been named, but may have been before a newer one
	Since      time.Time // when the bound of the version starts: at ObservedAt, or at an assumed time if that is zero
	Version    int
}

// aged returns the target with its age. An assumed age is used only if there is no other.
func (t Target) aged(now time.Time, model string) gooseberrypass.AgedTarget {
	if t.ObservedAt.IsZero() {
		return gooseberrypass.AgedTarget{Age: now.Sub(t.Since), Model: model, Version: t.Version}
	}
	return gooseberrypass.AgedTarget{Age: now.Sub(t.ObservedAt), Model: model, Observed: true, Version: t.Version}
}

// newTarget returns the target of a version of an age.
func newTarget(now time.Time, a gooseberrypass.AgedTarget) Target {
	t := Target{Since: now.Add(-a.Age), Version: a.Version}
	if a.Observed {
		t.ObservedAt = t.Since
	}
	return t
}

// improves reports whether the target was observed at least by earlier than known.
func (t Target) improves(known Target, by time.Duration) bool {
	return !t.ObservedAt.IsZero() && (known.ObservedAt.IsZero() || known.ObservedAt.Sub(t.ObservedAt) > by)
}

// Targets are the wanted versions of one model, the newest last.
type Targets []Target

// Newest returns the newest wanted version. It reports whether there is one.
func (t Targets) Newest() (Target, bool) {
	if len(t) == 0 {
		return Target{}, false
	}
	return t[len(t)-1], true
}

// Oldest returns the oldest wanted version that is known. It reports whether there is one.
func (t Targets) Oldest() (Target, bool) {
	if len(t) == 0 {
		return Target{}, false
	}
	return t[0], true
}

// Required returns the newest version that has been wanted for at least age, 0 if
// there is none.
func (t Targets) Required(now time.Time, age time.Duration) int {
	for i := len(t) - 1; i >= 0; i-- {
		if now.Sub(t[i].Since) >= age {
			return t[i].Version
		}
	}
	return 0
}

// maxTargets bounds the versions kept of one model.
const maxTargets = 16

// find returns the position of a version and whether it is known.
func (t Targets) find(version int) (int, bool) {
	return slices.BinarySearchFunc(t, version, func(t Target, version int) int { return t.Version - version })
}

// firstVersion is the version of an engine before any is named.
const firstVersion = 1

// withPredecessors returns the targets with the version before each that counts from later than since,
// unless that is known. A process that started after several versions were named may lack some of them, which
// may have been named at any time between their neighbours. No version that was named after until, from which
// on the process sees each naming, has one before it that the process has not seen, if until is not zero.
func (t Targets) withPredecessors(since, until time.Time) Targets {
	for i := 0; i < len(t); i++ {
		if t[i].Presumed || !t[i].Since.After(since) || !until.IsZero() && t[i].Since.After(until) {
			continue
		}
		t = t.withPresumed(i, since)
	}
	return t
}

// withSkipped returns the targets with the version before the newest one, if that counts from since or
// later and its predecessor is unknown. That may have been named and replaced at any time from since on.
func (t Targets) withSkipped(since time.Time) Targets {
	if newest, ok := t.Newest(); !ok || newest.Since.Before(since) {
		return t
	}
	return t.withPresumed(len(t)-1, since)
}

// withPresumed returns the targets with the direct predecessor of that at position i, unless that is
// known, or is the version of engines before any is named. It counts from since, or from the version before.
func (t Targets) withPresumed(i int, since time.Time) Targets {
	version := t[i].Version - 1
	if version <= firstVersion || i > 0 && t[i-1].Version == version || i == 0 && len(t) >= maxTargets {
		return t
	}
	if i > 0 && t[i-1].Since.After(since) {
		since = t[i-1].Since
	}
	return t.withInserted(i, Target{Presumed: true, Since: since, Version: version})
}

// withInserted returns the targets with target at position i. The oldest one gives way if there are too many.
func (t Targets) withInserted(i int, target Target) Targets {
	inserted := slices.Insert(slices.Clone(t), i, target)
	return inserted[max(0, len(inserted)-maxTargets):]
}

// assumedFrom returns the targets in which no assumed time is later than since. Another process
// that has started later than this one assumes a later time.
func (t Targets) assumedFrom(since time.Time) Targets {
	assumed := slices.Clone(t)
	for i := range assumed {
		if assumed[i].ObservedAt.IsZero() && assumed[i].Since.After(since) {
			assumed[i].Since = since
		}
	}
	return assumed
}

// withReported returns the targets with a target that this process has read or another one
// knows. Of two times at which a version was seen being named, the earlier one counts, since a
// process may read a record late. Either replaces an assumed time, and an assumed time none.
func (t Targets) withReported(target Target) Targets {
	i, found := t.find(target.Version)
	if found && !target.improves(t[i], 0) {
		return t
	}
	if found {
		merged := slices.Clone(t)
		merged[i] = target
		return merged
	}
	return t.withInserted(i, target)
}
