package materializer_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// observed returns a version that a process saw being named age ago.
func observed(version int, age time.Duration) gooseberrypass.AgedTarget {
	return gooseberrypass.AgedTarget{Age: age, Model: "m", Observed: true, Version: version}
}

// The record of a version that a process had found at its start was written again with other bytes and the
// same version. The process took that for the naming, and used the version before for another bound.
func TestVersionWrittenAgainInOtherBytesKeepsItsBound(t *testing.T) {
	l := &versionLog{}
	l.name("2")
	r := startVersionReader(startTime)
	r.read(startTime, l)
	now := startTime.Add(time.Minute)
	r.wantRequired(t, now, 2)
	l.name("2 ")
	r.readAt = now.Add(-time.Second)
	r.read(now, l)
	r.wantRequired(t, now, 2)
}

// A process that had known sixteen versions presumed none any more: after a read of every key it used the
// engines of the last one until the bound of the version after the next.
func TestSkippedVersionIsPresumedAmongAllThatAreKept(t *testing.T) {
	l := &versionLog{}
	r := startVersionReader(startTime)
	now := startTime
	r.read(now, l)
	for v := 2; v <= 17; v++ {
		now = now.Add(time.Second)
		l.name(string(rune('0' + v)))
		r.read(now, l)
	}
	l.name(string(rune('0' + 18)))
	l.name(string(rune('0' + 19)))
	l.trimmed = len(l.records)
	r.takeTargets(now.Add(4*time.Second), []gooseberrypass.AgedTarget{observed(19, 2*time.Second)})
	r.read(now.Add(4*time.Second), l)
	r.wantRequired(t, now.Add(versionBound), 18)
}

// Only the first version from after the assumed time had its predecessor presumed: a second gap had no bound.
func TestEachGapBetweenVersionsThatWereHeardOfIsCovered(t *testing.T) {
	l := &versionLog{}
	for _, v := range []string{"2", "3", "4"} {
		l.name(v)
	}
	start := startTime.Add(3 * time.Second) // versions named 3, 2 and 1 s before
	r := startVersionReader(start)
	r.takeTargets(start.Add(10*time.Millisecond), []gooseberrypass.AgedTarget{observed(2, 3*time.Second), observed(4, time.Second)})
	r.read(start.Add(20*time.Millisecond), l)
	r.wantRequired(t, start.Add(-2*time.Second).Add(versionBound), 3)
}
