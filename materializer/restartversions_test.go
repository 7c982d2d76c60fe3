package materializer_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The times of the tests of restarts. Both versions are named before the start, the older one
// so that its bound ends after the process is held to the bounds.
const (
	versionBound = 8 * time.Second
	stableWindow = versionBound - assumedAge // time after a start from which a process is held to the bounds
	secondNamed  = 2 * time.Second           // after the first naming
	restart      = 4660 * time.Millisecond   // after the first naming
)

// startVersionReader returns a process that has started and not read the log.
func startVersionReader(start time.Time) *versionReader {
	r := newVersionReader()
	r.m.Handle(start, gooseberrypass.Tick{})
	return r
}

// takeTargets handles versions that another process knows, as a message or a pull brings them.
func (r *versionReader) takeTargets(now time.Time, reported []gooseberrypass.AgedTarget) {
	if news := r.m.NewTargets(now, reported); len(news) > 0 {
		r.m.Handle(now, gooseberrypass.TopicChanged{Ages: []time.Duration{}, Targets: news, Topic: gooseberrypass.TopicOperator})
	}
}

// wantRequired checks that a process requires a version or a newer one.
func (r *versionReader) wantRequired(t *testing.T, now time.Time, want int) {
	t.Helper()
	targets := r.m.Snapshot().Targets["m"]
	if got := targets.Required(now, versionBound); got < want {
		t.Errorf("required version: got %d, want at least %d: %+v", got, want, targets)
	}
}

// peers returns processes that know the two versions in different ways, by what they know of
// the first.
func peers(l *versionLog) map[string]*versionReader {
	named := startTime.Add(secondNamed)
	witness, late := startVersionReader(startTime.Add(-time.Minute)), startVersionReader(startTime.Add(time.Second))
	witness.read(startTime.Add(-time.Second), l)
	l.name("2")
	witness.read(startTime, l)
	witness.read(startTime.Add(time.Second), l)
	late.read(startTime.Add(time.Second), l) // finds the first version
	l.name("3")
	witness.read(named, l)
	late.read(named, l)
	none := startVersionReader(named)
	none.takeTargets(named, witness.m.AgedTargets(named)[1:])
	none.read(named, l)
	return map[string]*versionReader{"saw it being named": witness, "found it at its start": late, "does not know it": none}
}

// An entry that restarted between two namings and heard of the newer version before its first
// read used engines older than the other one until the newer one's bound: the store has the
// newest record alone, and entries that have all restarted send no word of the older version.
func TestVersionBeforeTheOneHeardOfIsRequiredAfterARestart(t *testing.T) {
	start := startTime.Add(restart)
	for knows := range peers(&versionLog{}) {
		permute([]string{"message", "pull", "first read", "nothing"}, 0, func(order []string) {
			l := &versionLog{}
			peer, r := peers(l)[knows], startVersionReader(start)
			events := order[:slices.Index(order, "nothing")] // any of them may be missing
			if !slices.IsSorted(order[len(events)+1:]) {
				return // the order of those that are missing makes no difference
			}
			for i, event := range events {
				now := start.Add(time.Duration(i+1) * 10 * time.Millisecond)
				switch event {
				case "message":
					r.takeTargets(now, slices.DeleteFunc(peer.m.AgedTargets(now), func(a gooseberrypass.AgedTarget) bool { return !a.Observed }))
				case "pull":
					r.pull(now, peer)
				case "first read":
					r.read(now, l)
				}
			}
			if len(events) > 0 {
				t.Run(knows+"/"+strings.Join(events, ", "), func(t *testing.T) {
					r.wantRequired(t, startTime.Add(versionBound), 2)
				})
			}
		})
	}
}

// The assumed age of a version that a process finds counted from its first read. One that read
// the store late after its start used the older version past the time from which it is held to
// the bound.
func TestLateFirstReadDoesNotMoveTheBoundOfAVersion(t *testing.T) {
	for delay := time.Duration(0); delay <= stableWindow; delay += 250 * time.Millisecond {
		l := &versionLog{}
		l.name("2")
		r := startVersionReader(startTime)
		r.read(startTime.Add(delay), l)
		r.wantRequired(t, startTime.Add(stableWindow), 2)
	}
}

// A process that the store turned away took over the age that another one, which started after
// it, had assumed. That one is held to the bound later.
func TestAgeAssumedByALaterProcessDoesNotMoveTheBound(t *testing.T) {
	later := startTime.Add(1500 * time.Millisecond)
	l := &versionLog{}
	l.name("2")
	r, other := startVersionReader(startTime), startVersionReader(later)
	other.read(later, l)
	r.pull(later, other)
	r.wantRequired(t, startTime.Add(stableWindow), 2)
}

// A presumed version is a guess: were it kept or passed on, entries would refuse requests whose
// engines may still be used.
func TestPresumedVersionGivesWayToTheTimeOfItsNaming(t *testing.T) {
	l := &versionLog{}
	known, now := peers(l), startTime.Add(restart)
	r := startVersionReader(now)
	r.takeTargets(now, known["does not know it"].m.AgedTargets(now))
	if got := r.m.AgedTargets(now); len(got) != 1 || got[0].Version != 3 {
		t.Errorf("versions passed on: got %+v, want version 3 alone", got)
	}
	r.takeTargets(now, known["saw it being named"].m.AgedTargets(now))
	if got := r.m.Snapshot().Targets["m"]; len(got) != 2 || got[0].Version != 2 || !got[0].Since.Equal(startTime) {
		t.Errorf("got %+v, want version 2 to count from %s", got, startTime)
	}
}

// A read that brings two versions of a model showed the newer one alone, and the older one kept
// no bound.
func TestVersionReplacedWithinAReadKeepsItsBound(t *testing.T) {
	l := &versionLog{}
	r := startVersionReader(startTime)
	r.read(startTime, l)
	l.name("2")
	l.name("3")
	r.read(startTime.Add(time.Second), l)
	if targets := r.m.Snapshot().Targets["m"]; len(targets) != 2 || targets[0].Version != 2 {
		t.Errorf("got %+v, want versions 2 and 3", targets)
	}
}

// A process that stood still, or to which the log had trimmed records, counted a version as named when it
// read it, told others so, and had no word of one before it.
func TestVersionThatWasReadLateCountsFromTheReadBefore(t *testing.T) {
	const gap = 4 * time.Second
	for _, trimmed := range []bool{false, true} {
		l := &versionLog{}
		r := startVersionReader(startTime)
		r.read(startTime, l)
		l.name("2")
		if trimmed {
			l.name("3")
			l.trimmed = len(l.records)
		}
		r.read(startTime.Add(gap), l)
		r.wantRequired(t, startTime.Add(versionBound), 2)
		for _, a := range r.m.AgedTargets(startTime.Add(gap)) {
			if a.Observed {
				t.Errorf("trimmed %v: got %+v, want no time that others would count from", trimmed, a)
			}
		}
		others := []gooseberrypass.AgedTarget{{Age: time.Second, Model: "m", Observed: true, Version: len(l.records) + 1}}
		r.takeTargets(startTime.Add(gap), others)
		if newest, _ := r.m.Snapshot().Targets["m"].Newest(); !newest.Since.Equal(startTime.Add(gap - time.Second)) {
			t.Errorf("trimmed %v: got %+v, want the time that another process saw", trimmed, newest)
		}
		if trimmed {
			r.wantRequired(t, startTime.Add(versionBound), 2)
		}
	}
}

// An entry that restarted within a bound after a naming kept the age that it had assumed, although
// others knew the true one, and refused requests until engines had loaded the version.
func TestObservedTimeReplacesAnAssumedOne(t *testing.T) {
	l := &versionLog{}
	witness, start := peers(l)["saw it being named"], startTime.Add(restart)
	r := startVersionReader(start)
	r.read(start, l)
	r.takeTargets(start, witness.m.AgedTargets(start))
	due := startTime.Add(secondNamed).Add(versionBound)
	if got, want := r.m.Snapshot().Targets["m"].Required(due.Add(-time.Millisecond), versionBound), 2; got != want {
		t.Errorf("required before the bound of version 3: got %d, want %d", got, want)
	}
	r.wantRequired(t, due, 3)
}
