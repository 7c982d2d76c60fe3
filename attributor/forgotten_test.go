package attributor_test

import (
	"testing"
	"time"
)

// Crashes of hours ago put a part under suspicion, because old ones were dropped only when
// a new one came.
func TestOldCrashesAreForgotten(t *testing.T) {
	a, clock := newWarm(t)
	crashUnder(a, clock, 1, 1, "rare")
	clock.Advance(time.Hour)
	p := a.Register(service, digestOf(50), []string{"rare"})
	if a.Suspicions(p) > 0 {
		t.Error("an hour after a crash: got a suspicion, want none")
	}
	a.RecordAnswer(a.Register(service, digestOf(51), []string{"rare"}))
	if got := len(a.CrashEvidence().Answers); got > 0 {
		t.Errorf("an hour after a crash: got %d begins to tell, want 0", got)
	}
}

// A quarantine that ended a day ago made one crash enough for the next.
func TestOldQuarantinesAreForgotten(t *testing.T) {
	a, clock := newWarm(t)
	crashUnder(a, clock, 5, 1, "rare")
	if !isQuarantined(a, service, "rare") {
		t.Fatal("not quarantined")
	}
	clock.Advance(24 * time.Hour)
	warmUp(a)
	crashUnder(a, clock, 1, 100, "rare")
	if isQuarantined(a, service, "rare") {
		t.Error("one crash a day later: got a quarantine, want none")
	}
}
