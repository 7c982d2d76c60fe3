package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
)

// Many entries share few requests. None of them counted enough to tell that the part is
// rare, and engines went on crashing.
func TestEntriesWithFewRequestsFindTheCause(t *testing.T) {
	const (
		entryCount = 100
		seconds    = 40
		// One crash a second: five, three more within three seconds, and three that may
		// slip through.
		want = 5 + 3 + 3
	)
	for _, every := range []int{1, 2, 5, 10} { // seconds between two requests of an entry
		t.Run(fmt.Sprintf("a request every %d s", every), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			entries := make([]*attributor.Attributor, 0, entryCount)
			for i := range entryCount {
				entries = append(entries, newAttributor(t, clock, uint64(i)))
			}
			crashes := 0
			for second := range 20 + seconds {
				clock.Advance(time.Second)
				for i, a := range entries {
					if (second+i)%every == 0 {
						a.RecordAnswer(a.Register(service, digestOf(-1000*i-second-1), []string{fmt.Sprint("common-", (i+second)%20)}))
					}
				}
				exchange(entries)
				if second < 20 {
					continue
				}
				a := entries[second*37%entryCount]
				p := a.Register(service, digestOf(second+1), []string{fmt.Sprint("common-", second%20), "deadly"})
				if _, left := a.Quarantine(p); left > 0 {
					continue
				}
				crashes++
				a.RecordInterruption(p, gooseberrypass.ID(fmt.Sprint("engine-", second)), true)
			}
			if crashes > want {
				t.Errorf("got %d crashes in %d s under requests with one part, at %d entries, want at most %d", crashes, seconds, entryCount, want)
			}
		})
	}
}

// exchange sends the evidence of each entry to each other one.
func exchange(entries []*attributor.Attributor) {
	for i, from := range entries {
		e := from.CrashEvidence()
		for j, to := range entries {
			if i != j {
				to.AddCrashEvidence(gooseberrypass.ID(fmt.Sprint("entry-", i)), e)
			}
		}
	}
}
