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

// wantAtMost checks that a process does not require more than a version.
func (r *versionReader) wantAtMost(t *testing.T, now time.Time, want int) {
	t.Helper()
	targets := r.m.Snapshot().Targets["m"]
	if got := targets.Required(now, versionBound); got > want {
		t.Errorf("required version: got %d, want at most %d: %+v", got, want, targets)
	}
}

// behindConfig returns a process that knows a configuration and no version, as record 0 of the log.
func behindConfig(l *versionLog) *versionReader {
	config := record("config", "c", 0)
	l.records = append(l.records, config)
	behind := startVersionReader(startTime.Add(-time.Minute))
	behind.m.Handle(startTime.Add(-time.Second), gooseberrypass.TopicChanged{
		Batch: gooseberrypass.KeyedBatch{Complete: true, Next: 1, Records: []gooseberrypass.KeyedRecord{config}}, FirstRead: true, Topic: gooseberrypass.TopicOperator,
	})
	return behind
}

// The store turned a restarted process away. It pulled from a process that had heard of neither
// version, heard of the newer one, and left the reads to another process: it used engines
// older than the other version until the newer one's bound.
func TestVersionBeforeTheOneHeardOfIsRequiredWithoutAnOwnRead(t *testing.T) {
	l := &versionLog{}
	behind := behindConfig(l)
	start := startTime.Add(restart)
	r := startVersionReader(start)
	r.pull(start.Add(10*time.Millisecond), behind)
	r.takeTargets(start.Add(20*time.Millisecond), []gooseberrypass.AgedTarget{observed(3, restart-secondNamed)})
	r.wantRequired(t, startTime.Add(versionBound), 2)
}

// A process that pulled its records and never read the log presumed the version before one that was
// named an hour after its start, where numbers skip, and refused every engine at once.
func TestVersionNamedLongAfterAStartWithoutAnOwnReadPresumesNothing(t *testing.T) {
	for _, lateRead := range []bool{false, true} {
		l := &versionLog{}
		peer := startVersionReader(startTime.Add(-time.Hour))
		peer.read(startTime.Add(-time.Hour), l)
		l.name("2")
		peer.readAt = startTime.Add(-time.Hour)
		peer.read(startTime.Add(-time.Hour+time.Second), l)
		r := startVersionReader(startTime)
		r.pull(startTime.Add(10*time.Millisecond), peer)
		named := startTime.Add(time.Hour)
		l.name("4")
		peer.readAt = named.Add(-time.Second)
		peer.read(named, l)
		r.hear(named.Add(time.Millisecond), peer)
		if lateRead {
			r.readAt = named.Add(time.Second - 1550*time.Millisecond) // as a follower tells after a standby
			r.read(named.Add(time.Second), l)
		}
		r.wantAtMost(t, named.Add(versionBound-time.Second), 2)
		r.wantRequired(t, named.Add(versionBound), 4)
	}
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
