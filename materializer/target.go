package materializer

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Target is a version of a model that the operator wants loaded.
type Target struct {
	ObservedAt time.Time // when a process first saw the version being named, as far as known; zero if none did
	Presumed   bool      // no process has told of the version; it is that before the oldest known one
	Since      time.Time // when the bound of the version starts: at ObservedAt, or at an earlier assumed time
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

// withNewer returns the targets with target appended. A target that is not newer
// is ignored.
func (t Targets) withNewer(target Target) Targets {
	if newest, ok := t.Newest(); ok && newest.Version >= target.Version {
		return t
	}
	return append(t[max(0, len(t)+1-maxTargets):len(t):len(t)], target)
}

// find returns the position of a version and whether it is known.
func (t Targets) find(version int) (int, bool) {
	return slices.BinarySearchFunc(t, version, func(t Target, version int) int { return t.Version - version })
}

// firstVersion is the version of an engine before any is named.
const firstVersion = 1

// withAssumptions returns the targets of a process to which any version may have been named at
// any time from since on, as it started then and knows of them from another one. That one may have
// started later and assumed a later time, and may not know the version before the oldest one.
func (t Targets) withAssumptions(since time.Time) Targets {
	assumed := slices.Clone(t)
	for i := range assumed {
		if assumed[i].ObservedAt.IsZero() && assumed[i].Since.After(since) {
			assumed[i].Since = since
		}
	}
	if len(t) == 0 || len(t) == maxTargets || t[0].Version <= firstVersion+1 || !assumed[0].Since.After(since) {
		return assumed
	}
	return slices.Insert(assumed, 0, Target{Presumed: true, Since: since, Version: t[0].Version - 1})
}

// withReported returns the targets with a target that another process knows. Of two
// times at which a version was seen being named, the earlier one counts, since a process
// may read a record late. A time that the other process assumed does not replace any.
func (t Targets) withReported(target Target) Targets {
	i, found := t.find(target.Version)
	if found && !target.improves(t[i], 0) {
		return t
	}
	if found {
		merged := slices.Clone(t)
		if t[i].Presumed {
			merged[i] = target
			return merged
		}
		merged[i].ObservedAt = target.ObservedAt
		if target.Since.Before(merged[i].Since) {
			merged[i].Since = target.Since
		}
		return merged
	}
	merged := slices.Insert(slices.Clone(t), i, target)
	return merged[max(0, len(merged)-maxTargets):]
}
