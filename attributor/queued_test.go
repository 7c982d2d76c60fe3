package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
)

// An endpoint crashed with a long queue. The requests in the queue pushed the one under
// which it crashed out of what is told to other entries.
func TestCauseIsToldBeforeQueuedRequests(t *testing.T) {
	a, clock := newWarm(t)
	other := newAttributor(t, clock, 2)
	warmUp(other)
	for i := range 6 {
		endpoint := gooseberrypass.ID(fmt.Sprint("engine-", i))
		a.RecordInterruption(a.Register(service, digestOf(1000+i), []string{"deadly"}), endpoint, true)
		for j := range 40 {
			a.RecordInterruption(a.Register(service, digestOf(2000+100*i+j), []string{fmt.Sprint("common-", j%20)}), endpoint, false)
		}
		e := a.CrashEvidence()
		other.AddCrashEvidence("a", attributor.Evidence{Answers: e.Answers, Counts: e.Counts, Interruptions: e.Interruptions, Requests: e.Requests})
		clock.Advance(3100 * time.Millisecond)
	}
	if !isQuarantined(a, service, "deadly") {
		t.Error("entry that sent the requests: got no quarantine, want one")
	}
	if !isQuarantined(other, service, "deadly") {
		t.Error("other entry: got no quarantine, want one")
	}
}

// An endpoint crashed with more requests in its queue than are kept. The one under which
// it crashed was heard of last and dropped.
func TestCauseIsKeptBesideManyQueuedRequests(t *testing.T) {
	a, clock := newWarm(t)
	for i := range 8 {
		endpoint := gooseberrypass.ID(fmt.Sprint("engine-", i))
		for j := range 64 {
			a.RecordInterruption(a.Register(service, digestOf(2000+100*i+j), []string{fmt.Sprint("common-", j%20)}), endpoint, false)
		}
		a.RecordInterruption(a.Register(service, digestOf(1000+i), []string{"deadly"}), endpoint, true)
		clock.Advance(3100 * time.Millisecond)
	}
	if !isQuarantined(a, service, "deadly") {
		t.Error("got no quarantine, want one")
	}
}
