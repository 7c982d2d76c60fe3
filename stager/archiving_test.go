package stager_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// recoverTime is how long after a loss of power the engines may take to serve again.
const recoverTime = 12 * time.Second

// Guards against engines that stay empty although all their pieces are staged: the digests of the
// pieces were in the memory of the agents and at the origin alone, and both were lost.
func TestStagedVersionIsLoadedAfterTheOriginAndAllPowerAreLost(t *testing.T) {
	for _, version := range []int{1, 2} {
		t.Run(fmt.Sprint("version ", version), func(t *testing.T) {
			fl := newFleet(t, 5)
			if version > 1 {
				fl.name(version)
			}
			fl.advance(10 * time.Second)
			fl.origin.gone = true
			fl.advance(10 * time.Second)
			fl.losePower()
			fl.advance(recoverTime)
			if got, want := fl.loaded(version), len(fl.agents); got != want {
				t.Errorf("engines that loaded version %d again: got %d, want %d", version, got, want)
			}
		})
	}
}

// An orderCase is one order of events around a loss of all power.
type orderCase struct {
	named  bool   // a newer version is named meanwhile
	origin string // what becomes of the origin, which is lost before
	record string // what the log has of the manifest
	staged string // engines that still have the pieces
	store  string // how the log answers
}

func orderCases() []orderCase {
	cases := make([]orderCase, 0, 2*4*6*3*3)
	for _, named := range []bool{false, true} {
		for _, origin := range []string{"back", "back and corrupt at first", "never back", "never lost"} {
			for _, record := range []string{"cut", "missing", "of other chunks", "of another version", "sound", "text"} {
				for _, staged := range []string{"all", "none", "one"} {
					for _, store := range []string{"down", "down for long", "up"} {
						cases = append(cases, orderCase{named: named, origin: origin, record: record, staged: staged, store: store})
					}
				}
			}
		}
	}
	return cases
}

// recoverable reports whether the version that is wanted can be had.
func (c orderCase) recoverable() bool {
	if c.origin != "never back" {
		return true
	}
	return !c.named && c.record == "sound" && c.staged != "none" && c.store != "down for long"
}

// spoil changes what the log has of the manifest of version 1.
func (c orderCase) spoil(fl *fleet) {
	const key = "m/1"
	value := fl.log.values[key]
	switch c.record {
	case "cut":
		fl.log.values[key] = value[:len(value)/2]
	case "missing":
		delete(fl.log.values, key)
	case "of other chunks":
		fl.log.values[key] = archivedValue(fl.t, 1, chunkCount+1)
	case "of another version":
		fl.log.values[key] = archivedValue(fl.t, 3, chunkCount)
	case "text":
		fl.log.values[key] = []byte("no document")
	}
}

func (c orderCase) play(fl *fleet) {
	fl.advance(5 * time.Second)
	fl.origin.gone = c.origin != "never lost"
	c.spoil(fl)
	for i, f := range fl.agents {
		if c.staged == "none" || c.staged == "one" && i > 0 {
			clear(f.engine.stage)
		}
	}
	switch c.store {
	case "down":
		fl.log.failures = 3
	case "down for long":
		fl.log.failures = 1 << 30
	}
	fl.losePower()
	if c.named {
		fl.advance(500 * time.Millisecond)
		fl.name(2)
	}
	fl.advance(3 * time.Second)
	if c.origin != "never back" {
		fl.origin.gone = false
	}
	if c.origin == "back and corrupt at first" {
		fl.origin.corrupt = 3
	}
	fl.advance(2 * recoverTime)
}

// Guards against orders around a loss of the origin and of all power in which engines stay empty
// although the pieces and their digests can be had, load others, or flood the store.
func TestEveryOrderOfEventsAroundALossOfAllPower(t *testing.T) {
	plays, broken := 0, 0
	for _, c := range orderCases() {
		plays++
		fl := newFleet(t, 3)
		c.play(fl)
		if c.holds(fl) {
			continue
		}
		if broken++; broken <= 5 {
			t.Errorf("%+v: versions loaded: got %d of 1 and %d of 2, want all: %t; %d reads of the log, %d writes", c, fl.loaded(1), fl.loaded(2), c.recoverable(), fl.log.reads, fl.log.puts)
		}
	}
	t.Logf("%d plays, %d broke", plays, broken)
}

// holds reports whether the engines have loaded what they should, with few calls.
func (c orderCase) holds(fl *fleet) bool {
	wanted, other := 1, 2
	if c.named {
		wanted, other = 2, 1
	}
	want := 0
	if c.recoverable() {
		want = len(fl.agents)
	}
	// In 33 s each of 3 agents reads at most 6 times for a manifest and looks at most 6 times
	// whether it is archived, as the delay after a failure doubles from 1 s. Three write.
	const maxCalls = 3*(6+6) + 9
	// The older version may be loaded before the newer one is named.
	return fl.loaded(wanted) == want && (c.named || fl.loaded(other) == 0) && fl.log.reads+fl.log.puts+fl.log.deletes <= maxCalls
}

// Guards against a cost in normal operation: an archive that each agent writes or reads.
func TestOneAgentArchivesAManifest(t *testing.T) {
	fl := newFleet(t, 40)
	fl.advance(5 * time.Minute)
	if got, want := fl.log.puts, 1; got != want {
		t.Errorf("manifests written: got %d, want %d", got, want)
	}
	if got, most := fl.log.reads, 6; got > most {
		t.Errorf("reads of the archive: got %d, want at most %d", got, most)
	}
	if got, want := fl.log.keys(), []string{"m/1"}; !slices.Equal(got, want) {
		t.Errorf("archived: got %v, want %v", got, want)
	}
}

// Guards against a cost in normal operation: reads of the archive where the origin fails for a
// moment, or starts after the agents, in place of the next read from the origin.
func TestArchiveIsNotReadWhereTheOriginSoonAnswers(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(*fleet)
		until time.Duration // when the origin answers
	}{
		{"origin starts late", func(fl *fleet) {
			fl.origin.gone = true
			fl.restartAgents()
		}, 5 * time.Second},
		{"origin fails as a version is named", func(fl *fleet) {
			fl.advance(5 * time.Second) // two agents have looked whether version 1 is archived
			fl.log.reads = 0
			fl.origin.gone = true
			fl.name(2)
		}, 5 * time.Second},
		{"origin returns wrong bytes to empty engines", func(fl *fleet) {
			for _, f := range fl.agents {
				f.engine.report.Models = nil
			}
			fl.origin.corrupt = 1
		}, 500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, 3)
			tc.spoil(fl)
			fl.advance(tc.until)
			if got := fl.log.reads; got != 0 {
				t.Errorf("reads of the archive: got %d, want 0", got)
			}
			fl.origin.gone = false
			before := fl.origin.reads
			fl.advance(500 * time.Millisecond)
			if tc.until > time.Second && fl.origin.reads == before {
				t.Error("the origin was not read in the half second after")
			}
		})
	}
}

// Guards against an empty engine that is not loaded as the agents beside the engines that serve
// were killed, and wait for an origin that is gone.
func TestEmptyEngineGetsPiecesFromAgentsThatLostTheManifest(t *testing.T) {
	for empty := range 3 {
		t.Run(fmt.Sprint("engine ", empty), func(t *testing.T) {
			fl := newFleet(t, 3)
			fl.advance(5 * time.Second)
			fl.origin.gone = true
			fl.restartAgents()
			f := fl.agents[empty]
			f.engine.report, f.engine.stage = gooseberrypass.EngineReport{StartMillis: 2}, map[int][]byte{}
			fl.advance(2 * recoverTime)
			f.wantLoaded(t, 1)
		})
	}
}

// Guards against a sound engine that is kept out of service for want of the manifest by which the
// load that an earlier process ordered is verified.
func TestInheritedLoadIsVerifiedWithoutTheOrigin(t *testing.T) {
	fl := newFleet(t, 1)
	fl.advance(5 * time.Second)
	f := fl.agents[0]
	fl.origin.gone = true
	f.engine.report.Orders, f.engine.report.Busy = 1, true
	fl.restartAgents()
	fl.advance(500 * time.Millisecond)
	f.engine.report.Busy = false
	fl.advance(5 * time.Second)
	if got := f.recorder.statuses[len(f.recorder.statuses)-1]; got.Loading || got.Models["m"] != 1 {
		t.Errorf("status: got %+v, want version 1 in service", got)
	}
}

// Guards against manifests that nobody archives as the agents that rank first are gone, although
// they are registered.
func TestManifestIsArchivedWithoutTheAgentsThatRankFirst(t *testing.T) {
	const agents = 8
	stopped := map[int]bool{}
	for gone := range 4 {
		fl, archivedBy := newFleet(t, agents), -1
		for i, f := range fl.agents {
			f.archive = newArchive(t, &watchedLog{keyedLog: fl.log, onPut: func() { archivedBy = i }})
			fl.start(f)
			if stopped[i] {
				f.intercept = func(gooseberrypass.Effect) bool { return true }
			}
		}
		fl.advance(90 * time.Second)
		if got, want := fl.log.puts, 1; got != want || archivedBy < 0 {
			t.Fatalf("without %d agents: manifests written: got %d, want %d", gone, got, want)
		}
		stopped[archivedBy] = true
	}
}

// Guards against a manifest that is lost as the first write fails, gets no answer, or was made
// before the log came back from an older copy.
func TestManifestIsArchivedInTheEnd(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(*fleet)
	}{
		{"the log is down", func(fl *fleet) { fl.log.failures = 5 }},
		{"answers are lost", func(fl *fleet) { fl.log.lost = 2 }},
		{"the record is cut", func(fl *fleet) { fl.log.values = map[string][]byte{"m/1": []byte(`{"digest":`)} }},
		{"the log comes back from an older copy", func(fl *fleet) {
			fl.advance(10 * time.Second)
			clear(fl.log.values)
			for _, f := range fl.agents {
				f.handle(restoredLog())
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, 3)
			tc.spoil(fl)
			fl.advance(time.Minute)
			if got, want := fl.log.values["m/1"], archivedValue(t, 1, chunkCount); !bytes.Equal(got, want) {
				t.Errorf("archived: got %q, want %q", got, want)
			}
			before := fl.log.reads + fl.log.puts
			fl.advance(time.Minute)
			if got, most := fl.log.reads+fl.log.puts-before, 3; got > most {
				t.Errorf("calls in the minute after: got %d, want at most %d", got, most)
			}
		})
	}
}

// Guards against an archive that grows with each version, or loses one that is in use.
func TestArchiveKeepsTwoVersions(t *testing.T) {
	fl := newFleet(t, 4)
	fl.advance(20 * time.Second)
	for _, version := range []int{2, 5, 6, 9} {
		fl.name(version)
		fl.advance(20 * time.Second)
		if got := fl.log.keys(); len(got) != 2 || !slices.Contains(got, fmt.Sprint("m/", version)) {
			t.Errorf("archived with version %d: got %v, want it and the one before", version, got)
		}
	}
	if got, want := fl.log.keys(), []string{"m/6", "m/9"}; !slices.Equal(got, want) {
		t.Errorf("archived: got %v, want %v", got, want)
	}
}

// Guards against odd records that push out those in use, or are mistaken for them.
func TestOddRecordsDoNotPushOutAManifest(t *testing.T) {
	fl := newFleet(t, 3)
	odd := map[string][]byte{
		"m/7": []byte("odd"), "m/8": archivedValue(t, 8, chunkCount), "m/9": archivedValue(t, 9, chunkCount),
		"m/01": []byte("odd"), "m/-1": []byte("odd"), "m/": []byte("odd"), "m": []byte("odd"), "other/1": []byte("odd"), "m/x/1": []byte("odd"),
	}
	fl.log.values = map[string][]byte{}
	for key, value := range odd {
		fl.log.values[key] = value
	}
	fl.advance(20 * time.Second)
	if got, want := fl.log.values["m/1"], archivedValue(t, 1, chunkCount); !bytes.Equal(got, want) {
		t.Errorf("archived: got %q, want %q", got, want)
	}
	for key, want := range odd {
		if got := fl.log.values[key]; !bytes.Equal(got, want) {
			t.Errorf("record %s: got %q, want %q", key, got, want)
		}
	}
}
