package attributor_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
)

// BenchmarkEvidenceOfManyCrashes takes in the messages of 359 entries, each 32
// interruptions at one of 3,200 engines that crashed at once.
func BenchmarkEvidenceOfManyCrashes(b *testing.B) {
	for _, engines := range []int{200, 3200} {
		b.Run(strconv.Itoa(engines), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			t := &testing.T{}
			a := newAttributor(t, clock, 1)
			warmUp(a)
			messages := make([]attributor.Evidence, 0, 359)
			for i := range 359 {
				other := newAttributor(t, clock, uint64(i))
				for j := range 32 {
					p := other.Register(service, digestOf(100*i+j), []string{fmt.Sprint("common-", j%20), fmt.Sprint("second-", (i+j)%50)})
					other.RecordInterruption(p, gooseberrypass.ID(fmt.Sprint("engine-", (i*32+j)%engines)), false)
				}
				messages = append(messages, other.CrashEvidence())
			}
			b.ResetTimer()
			start := time.Now()
			for i := range b.N {
				a.AddCrashEvidence(gooseberrypass.ID(fmt.Sprint("entry-", i%len(messages))), messages[i%len(messages)])
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/float64(b.N), "us/message")
		})
	}
}
