package claimer_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/claimer"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A slowLog takes appendTime for each append and counts the appends.
type slowLog struct {
	*view
	appends atomic.Int64
}

const appendTime = 5 * time.Millisecond

func (l *slowLog) Append(ctx context.Context, stream gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	l.appends.Add(1)
	time.Sleep(appendTime)
	return l.view.Append(ctx, stream, body)
}

// startClaimer runs a claimer on a log until the benchmark ends. It returns once a
// call has succeeded.
func startClaimer(b *testing.B, log gooseberrypass.Log) *claimer.Claimer {
	b.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock, registry := clockwork.NewRealClock(), prometheus.NewRegistry()
	var loop *looper.Loop
	c, err := claimer.New(clock, newConfig(), log, 1, func(e gooseberrypass.Event) { loop.Post(e) }, registry, logger)
	if err != nil {
		b.Fatal(err)
	}
	if loop, err = looper.New(clock, registry, 10*time.Millisecond, c); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = loop.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for makeCall(c) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return c
}

// makeCall makes one call with a new key.
func makeCall(c *claimer.Claimer) error {
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{
		Body: []byte("1"), Deadline: time.Now().Add(time.Minute), Key: uuid.Must(uuid.NewV7()).String(), Kind: gooseberrypass.RequestCall,
	})
	next := gooseberrypass.HandlerFunc(func(_ context.Context, _ *gooseberrypass.Request, a gooseberrypass.Answer) error {
		_ = a.Start(gooseberrypass.Digest{})
		return a.End()
	})
	return c.Wrap(next).Handle(context.Background(), req, &clientRequest{})
}

// BenchmarkClaims reports the appends per call and the latency that the claim and
// the outcome add to it, on a log that takes 5 ms for an append.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			log := &slowLog{view: &view{fakeLog: &fakeLog{first: 1}}}
			c := startClaimer(b, log)
			before, begin := log.appends.Load(), time.Now()
			b.ResetTimer()
			for range b.N {
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() {
						if err := makeCall(c); err != nil {
							b.Error(err)
						}
					})
				}
				wg.Wait()
			}
			calls := float64(b.N * callers)
			b.ReportMetric(float64(log.appends.Load()-before)/calls, "appends/call")
			b.ReportMetric(float64(log.appends.Load()-before)/time.Since(begin).Seconds(), "appends/s")
			b.ReportMetric(time.Since(begin).Seconds()*1000/float64(b.N), "ms/call")
		})
	}
}

// BenchmarkClaimMemory reports the heap bytes that an entry uses per key.
func BenchmarkClaimMemory(b *testing.B) {
	for _, keys := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			var perKey float64
			for range b.N {
				log := &fakeLog{first: 1}
				addClaims(log, keys)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := startClaimer(b, &view{fakeLog: log})
				runtime.GC()
				runtime.ReadMemStats(&after)
				perKey = float64(after.HeapAlloc-before.HeapAlloc) / float64(keys)
				runtime.KeepAlive(c)
			}
			b.ReportMetric(perKey, "B/key")
		})
	}
}

// addClaims adds the claims and outcomes of n keys to the log.
func addClaims(log *fakeLog, n int) {
	const perRecord = 100
	for range n / perRecord {
		batch := &wire.ClaimBatch{}
		for range perRecord {
			k, id, digest := uuid.Must(uuid.NewV7()), uuid.New(), gooseberrypass.DigestOf(nil)
			batch.Entries = append(batch.Entries,
				&wire.ClaimEntry{Kind: wire.ClaimKind_CLAIM_KIND_CLAIM, Account: "radio", Key: k[:], ClaimId: id[:], RequestDigest: digest[:]},
				&wire.ClaimEntry{Kind: wire.ClaimKind_CLAIM_KIND_OUTCOME, Key: k[:], ClaimId: id[:], Outcome: "answered", Body: make([]byte, 200)})
		}
		body, err := proto.Marshal(batch)
		if err != nil {
			panic(err)
		}
		log.add(body)
	}
}
