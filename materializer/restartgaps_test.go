package materializer_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The record of a version that a process had found at its start was written again, with the same
// value or another one that names the same version. The process took that for the naming, and used
// the version before for another bound.
func TestVersionWrittenAgainKeepsItsBound(t *testing.T) {
	for _, again := range []string{"2", "2 "} {
		l := &versionLog{}
		l.name("2")
		r := startVersionReader(startTime)
		r.read(startTime, l)
		now := startTime
		for range 60 {
			now = now.Add(time.Second)
			r.read(now, l)
		}
		r.wantRequired(t, now, 2)
		l.name(again)
		r.read(now.Add(time.Second), l)
		r.wantRequired(t, now.Add(time.Second), 2)
	}
}

// An operator went back to version 2, which the process had found at its start, within the bound
// of version 3. The process used version 1 again.
func TestVersionNamedAgainAfterANewerOneKeepsItsBound(t *testing.T) {
	l := &versionLog{}
	l.name("2")
	r := startVersionReader(startTime)
	now := startTime
	for range 60 {
		r.read(now, l)
		now = now.Add(time.Second)
	}
	l.name("3")
	r.read(now, l)
	r.wantRequired(t, now, 2)
	l.name("2")
	now = now.Add(time.Second)
	r.read(now, l)
	r.wantRequired(t, now, 2)
}

// A restarted process pulled from one that had heard of neither version, then heard of the newer
// one, and read that one. It knew the operator's topic by then and presumed nothing before.
func TestVersionBeforeTheOneHeardOfIsRequiredAfterAPullFromAProcessBehind(t *testing.T) {
	l := &versionLog{}
	behind := startVersionReader(startTime.Add(-time.Minute))
	behind.m.Handle(startTime.Add(-time.Second), gooseberrypass.TopicChanged{
		Batch: gooseberrypass.KeyedBatch{Complete: true, Next: 1, Records: []gooseberrypass.KeyedRecord{record("config", "c", 0)}}, FirstRead: true, Topic: gooseberrypass.TopicOperator,
	})
	l.records = append(l.records, record("config", "c", 0))
	witness := startVersionReader(startTime.Add(secondNamed))
	l.name("2")
	l.name("3")
	now := startTime.Add(secondNamed)
	witness.takeTargets(now, []gooseberrypass.AgedTarget{{Model: "m", Observed: true, Version: 3}})
	start := startTime.Add(restart)
	r := startVersionReader(start)
	r.pull(start.Add(10*time.Millisecond), behind)
	now = start.Add(20 * time.Millisecond)
	r.takeTargets(now, slices.DeleteFunc(witness.m.AgedTargets(now), func(a gooseberrypass.AgedTarget) bool { return !a.Observed }))
	r.read(start.Add(30*time.Millisecond), l)
	r.wantRequired(t, startTime.Add(versionBound), 2)
}

// A process that stood still heard of version 3 before it read it, and the log had trimmed version
// 2. Nothing was presumed before version 3, as that was known by the time of the read.
func TestTrimmedVersionIsPresumedIfTheNewerOneIsHeardOfFirst(t *testing.T) {
	l := &versionLog{}
	r := startVersionReader(startTime.Add(-time.Minute))
	r.read(startTime.Add(-time.Minute), l)
	r.read(startTime, l)
	l.name("2")
	l.name("3")
	l.trimmed = len(l.records)
	now := startTime.Add(4 * time.Second)
	r.takeTargets(now, []gooseberrypass.AgedTarget{{Age: 2 * time.Second, Model: "m", Observed: true, Version: 3}})
	r.read(now.Add(10*time.Millisecond), l)
	r.wantRequired(t, startTime.Add(versionBound), 2)
}

// A read of every key without news left its time for a version an hour later, and a process
// refused the engines of a version that may still be used.
func TestReadOfEveryKeyWithoutNewsPresumesNothingLater(t *testing.T) {
	l := &versionLog{}
	l.name("2")
	r := startVersionReader(startTime)
	r.read(startTime, l)
	r.m.Handle(startTime.Add(time.Second), gooseberrypass.TopicChanged{
		Batch: gooseberrypass.KeyedBatch{Complete: true, Next: 1, Records: l.records}, ReadFrom: startTime, Topic: gooseberrypass.TopicOperator,
	})
	r.readAt = startTime.Add(time.Hour - time.Second)
	l.name("4")
	now := startTime.Add(time.Hour)
	r.read(now, l)
	if got, want := r.m.Snapshot().Targets["m"].Required(now, versionBound), 2; got != want {
		t.Errorf("required: got %d, want %d: %+v", got, want, r.m.Snapshot().Targets["m"])
	}
}

// A restart long after the last naming must not make the process refuse the version in use once
// another one is named.
func TestRestartLongAfterTheNamingsRefusesNothing(t *testing.T) {
	for _, order := range [][]string{{"message", "pull", "read"}, {"read", "pull", "message"}, {"pull", "read", "message"}} {
		l := &versionLog{}
		witness := startVersionReader(startTime.Add(-time.Hour))
		witness.read(startTime.Add(-time.Hour), l)
		for v := 2; v <= 4; v++ {
			witness.readAt = startTime.Add(time.Duration(v-5) * 10 * time.Minute).Add(-time.Second)
			l.name(strconv.Itoa(v))
			witness.read(startTime.Add(time.Duration(v-5)*10*time.Minute), l)
		}
		start := startTime
		r := startVersionReader(start)
		now := start
		for _, e := range order {
			switch e {
			case "message":
				r.takeTargets(now, slices.DeleteFunc(witness.m.AgedTargets(now), func(a gooseberrypass.AgedTarget) bool { return !a.Observed || a.Age > 30*time.Second }))
			case "pull":
				r.pull(now, witness)
			case "read":
				r.read(now, l)
			}
			now = now.Add(10 * time.Millisecond)
		}
		l.name("5")
		named := start.Add(time.Second)
		r.readAt = named.Add(-time.Second)
		r.read(named, l)
		for dt := 3 * time.Second; dt < versionBound; dt += 500 * time.Millisecond {
			if got := r.m.Snapshot().Targets["m"].Required(named.Add(dt), versionBound); got != 4 {
				t.Errorf("%v: required %s after: got %d, want 4: %+v", order, dt, got, r.m.Snapshot().Targets["m"])
			}
		}
	}
}

// Presumed versions went beyond the number of versions that are kept.
func TestPresumedVersionsAreBounded(t *testing.T) {
	l := &versionLog{}
	r := startVersionReader(startTime)
	now := startTime
	r.read(now, l)
	for v := 3; v < 60; v += 2 {
		now = now.Add(time.Second)
		l.name(string(rune('0' + v)))
		l.trimmed = len(l.records)
		r.read(now, l)
	}
	if got := len(r.m.Snapshot().Targets["m"]); got > 16 {
		t.Errorf("got %d versions, want at most 16", got)
	}
}

// An entry restarted and read version 4. The others told it when versions 2 and 4 were named, but
// nobody saw version 3 being named, so that the gap took the place of the time assumed for 4.
func TestVersionBetweenTwoThatWereHeardOfIsRequired(t *testing.T) {
	l := &versionLog{}
	for _, v := range []string{"2", "3", "4"} {
		l.name(v)
	}
	start := startTime.Add(12 * time.Second) // version 2 named 12 s, 3 5 s and 4 1 s before
	reported := []gooseberrypass.AgedTarget{{Age: 12 * time.Second, Model: "m", Observed: true, Version: 2}, {Age: time.Second, Model: "m", Observed: true, Version: 4}}
	for _, readFirst := range []bool{false, true} {
		r := startVersionReader(start)
		if readFirst {
			r.read(start, l)
		}
		r.takeTargets(start, reported)
		if !readFirst {
			r.read(start, l)
		}
		r.wantRequired(t, start.Add(-5*time.Second).Add(versionBound), 3)
	}
}
