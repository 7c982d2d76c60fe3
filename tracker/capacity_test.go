package tracker_test

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// capacityListing returns a list of n instances in 17 failure domains and 7
// regions. One in ten is an entry; the others are agents in 4 pools.
func capacityListing(n int) gooseberrypass.Listing {
	l := gooseberrypass.Listing{Revision: 1}
	for i := range n {
		instance := gooseberrypass.ListedInstance{
			Address:       fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			FailureDomain: gooseberrypass.FailureDomain(fmt.Sprintf("domain-%02d", i%17)),
			ID:            gooseberrypass.ID(fmt.Sprintf("instance-%05d", i)),
			Pool:          gooseberrypass.Pool(fmt.Sprintf("pool-%d", i%4)),
			Region:        gooseberrypass.Region(fmt.Sprintf("region-%d", i%17%7)),
			Role:          gooseberrypass.RoleAgent,
			State:         gooseberrypass.ListedLive,
		}
		if i%10 == 0 {
			instance.Pool, instance.Role = "", gooseberrypass.RoleEntry
		}
		l.Instances = append(l.Instances, instance)
	}
	return l
}

// BenchmarkMembers reports what membership costs an entry: the time to handle one
// tick (ten a second) and one answer of the list, the size of that answer, the
// status polls started, and the heap used.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{100, 400, 1600, 3560} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			listing := capacityListing(n)
			self := listing.Instances[0]
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			clock := clockwork.NewFakeClock()
			before := heap()
			dial := func(string) wire.Agent { return nil }
			tr, err := tracker.New(clock, nil, dial, tracker.SelectSubset(self, 48), prometheus.NewRegistry(), logger)
			if err != nil {
				b.Fatal(err)
			}
			now := clock.Now()
			var ticks, lists time.Duration
			followed := 0
			for b.Loop() {
				begin := time.Now()
				effects := tr.Handle(now, gooseberrypass.ListingObserved{Listing: listing})
				lists += time.Since(begin)
				followed = max(followed, len(effects))
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					begin = time.Now()
					tr.Handle(now, gooseberrypass.Tick{})
					ticks += time.Since(begin)
				}
			}
			encoded, err := json.Marshal(listing)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(ticks.Nanoseconds())/float64(10*b.N), "ns/tick")
			b.ReportMetric(float64(lists.Nanoseconds())/float64(b.N), "ns/list")
			b.ReportMetric(float64(len(encoded)), "B/list")
			b.ReportMetric(float64(followed), "polls-started")
			b.ReportMetric(float64(heap()-before), "B/heap")
			runtime.KeepAlive(tr)
		})
	}
}

// heap returns the bytes of live heap objects.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
