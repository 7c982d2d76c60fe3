package attributor_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass/attributor"
)

// The first entry at which a quarantine ends finds that the part is sound by now. It did
// not tell the others, because it no longer had the crashes or never had them.
func TestReleaseIsToldWithoutEvidenceOfCrashes(t *testing.T) {
	a, clock := newWarm(t)
	crashUnder(a, clock, 5, 1, "rare")
	started := newAttributor(t, clock, 2)
	inFlight := started.Register(service, digestOf(99), []string{"rare"})
	started.AddCrashEvidence("a", attributor.Evidence{Quarantines: a.CrashEvidence().Quarantines})
	if !isQuarantined(a, service, "rare") || !isQuarantined(started, service, "rare") {
		t.Fatal("not quarantined")
	}
	clock.Advance(time.Second)
	started.RecordAnswer(inFlight)
	a.AddCrashEvidence("started", started.CrashEvidence())
	if isQuarantined(a, service, "rare") {
		t.Error("entry that heard of the answer: got a quarantine, want none")
	}
}

// An entry was cut off when an answer released a part. It went on refusing the part, and
// entries that started anew learnt the quarantine from it.
func TestReleaseReachesEntryThatWasCutOff(t *testing.T) {
	a, clock := newWarm(t)
	cutOff := newAttributor(t, clock, 2)
	inFlight := a.Register(service, digestOf(99), []string{"rare"})
	crashUnder(a, clock, 5, 1, "rare")
	cutOff.AddCrashEvidence("a", a.CrashEvidence())
	clock.Advance(time.Second)
	a.RecordAnswer(inFlight)
	clock.Advance(5 * time.Second)
	for range 5 {
		a.AddCrashEvidence("cutOff", cutOff.CrashEvidence())
		cutOff.AddCrashEvidence("a", a.CrashEvidence())
		clock.Advance(100 * time.Millisecond)
	}
	if isQuarantined(cutOff, service, "rare") {
		t.Error("entry that was cut off: got a quarantine, want none")
	}
	started := newAttributor(t, clock, 3)
	started.AddCrashEvidence("cutOff", cutOff.CrashEvidence())
	started.AddCrashEvidence("a", a.CrashEvidence())
	if isQuarantined(started, service, "rare") {
		t.Error("entry that started: got a quarantine, want none")
	}
}
