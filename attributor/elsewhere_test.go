package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
)

// All engines lost power. An entry whose own callers do not use a part that is common at
// the others took it for the cause, and the others believed it.
func TestPartThatIsCommonElsewhereIsNotBlamed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	here, there := newAttributor(t, clock, 1), newAttributor(t, clock, 2)
	for i := range 1000 {
		here.Register(service, digestOf(-i-1), []string{fmt.Sprint("north-", i%20)})
		p := there.Register(service, digestOf(-i-10001), []string{fmt.Sprint("south-", i%3)})
		there.RecordAnswer(p)
	}
	clock.Advance(100 * time.Millisecond)
	for i := range 14 {
		p := there.Register(service, digestOf(100+i), []string{fmt.Sprint("south-", i%3)})
		there.RecordInterruption(p, gooseberrypass.ID(fmt.Sprint("engine-", i)), false)
	}
	for range 3 {
		here.AddCrashEvidence("there", there.CrashEvidence())
		there.AddCrashEvidence("here", here.CrashEvidence())
	}
	for i := range 3 {
		if name := fmt.Sprint("south-", i); isQuarantined(there, service, name) {
			t.Errorf("%s, in a third of the requests: got a quarantine, want none", name)
		}
	}
}

// The connections of one entry were reset. The others have no callers that use a part
// which is usual there, and took it for the cause.
func TestResetOfOneEntryBlamesNoPart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	here, there := newAttributor(t, clock, 1), newAttributor(t, clock, 2)
	for i := range 500 {
		here.RecordAnswer(here.Register(service, digestOf(-i-1), []string{fmt.Sprint("common-", i%20)}))
		there.RecordAnswer(there.Register(service, digestOf(-i-10001), []string{fmt.Sprint("common-", i%20), fmt.Sprint("local-", i%5)}))
	}
	clock.Advance(100 * time.Millisecond)
	for i := range 25 {
		p := there.Register(service, digestOf(100+i), []string{fmt.Sprint("common-", i%20), fmt.Sprint("local-", i%5)})
		there.RecordInterruption(p, gooseberrypass.ID(fmt.Sprint("engine-", i)), false)
	}
	here.AddCrashEvidence("there", there.CrashEvidence())
	there.AddCrashEvidence("here", here.CrashEvidence())
	for i := range 5 {
		if name := fmt.Sprint("local-", i); isQuarantined(there, service, name) {
			t.Errorf("%s, in a fifth of the requests of the entry: got a quarantine, want none", name)
		}
	}
}
