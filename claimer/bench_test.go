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

// A slowLog takes its time for each append, and counts them.
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

// startBench runs a claimer over a log until the benchmark ends, and waits until
// it claims.
func startBench(b *testing.B, log gooseberrypass.Log) *claimer.Claimer {
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
	for call(c) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return c
}

// call makes one call under a new key.
func call(c *claimer.Claimer) error {
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{
		Body: []byte("1"), Deadline: time.Now().Add(time.Minute), Key: uuid.Must(uuid.NewV7()).String(), Kind: gooseberrypass.RequestCall,
	})
	next := gooseberrypass.HandlerFunc(func(_ context.Context, _ *gooseberrypass.Request, a gooseberrypass.Answer) error {
		_ = a.Start(gooseberrypass.Digest{})
		return a.End()
	})
	return c.Wrap(next).Handle(context.Background(), req, &submission{})
}

// BenchmarkClaims reports the appends that a call costs and the time that its
// claim and its outcome add, on a log that takes 5 ms for an append.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			log := &slowLog{view: &view{gatedLog: &gatedLog{first: 1}}}
			c := startBench(b, log)
			before, begin := log.appends.Load(), time.Now()
			b.ResetTimer()
			for range b.N {
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() {
						if err := call(c); err != nil {
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

// BenchmarkClaimMemory reports what an entry remembers of each key.
func BenchmarkClaimMemory(b *testing.B) {
	for _, keys := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			var perKey float64
			for range b.N {
				log := &gatedLog{first: 1}
				fill(log, keys)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := startBench(b, &view{gatedLog: log})
				runtime.GC()
				runtime.ReadMemStats(&after)
				perKey = float64(after.HeapAlloc-before.HeapAlloc) / float64(keys)
				runtime.KeepAlive(c)
			}
			b.ReportMetric(perKey, "B/key")
		})
	}
}

// fill puts the claims and outcomes of n keys into the log.
func fill(log *gatedLog, n int) {
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
		log.put(body)
	}
}
