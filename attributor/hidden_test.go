package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// Connections break all the time where there are many endpoints. They pushed the crashes
// under the part out of what is remembered, and made them look like a coincidence.
func TestBrokenConnectionsDoNotHideCrashes(t *testing.T) {
	const requestsASecond = 200
	for _, resets := range []int{5, 20, 50, 100} {
		t.Run(fmt.Sprintf("%d a second", resets), func(t *testing.T) {
			a, clock := newWarm(t)
			crashes, sent := 0, 0
			for i := range 30 {
				p := a.Register(service, digestOf(1+i), []string{"common-1", "deadly"})
				if _, left := a.Quarantine(p); left > 0 {
					break
				}
				crashes++
				a.RecordInterruption(p, gooseberrypass.ID(fmt.Sprint("crashed-", i)), true)
				for n := range requestsASecond {
					sent++
					clock.Advance(time.Second / requestsASecond)
					q := a.Register(service, digestOf(1000+sent), []string{fmt.Sprint("common-", sent%20)})
					if n%(requestsASecond/resets) == 0 {
						a.RecordInterruption(q, gooseberrypass.ID(fmt.Sprint("engine-", sent%3200)), false)
					}
					a.RecordAnswer(q)
				}
			}
			if want := 11; crashes > want {
				t.Errorf("got %d crashes, one a second, want at most %d", crashes, want)
			}
		})
	}
}
