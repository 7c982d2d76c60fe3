package attempter_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// BenchmarkAttempt measures one attempt of 32 tokens over loopback, including
// the work of the fake engine and of the client.
func BenchmarkAttempt(b *testing.B) {
	e := newFakeEngine(8, digestOf("v1"))
	e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
		return replay(tokensOf(o.AttemptID, o.Digest, 32), io.EOF), nil
	}
	a := newEngineAgent(b, e)
	n := 0
	for b.Loop() {
		n++
		m := attemptOf(strconv.Itoa(n))
		m.DeadlineMs = 1000
		if got := a.ask(b, m); !got.complete() {
			b.Fatalf("got %v, want a complete answer", got.failed)
		}
		if n%1024 == 0 { // as after one second of load
			a.tick()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n)/32, "µs/token")
}

// BenchmarkControl measures one tick of the control loop by the number of known
// attempts. It reports the memory of each known attempt, the share of a core at
// ten ticks a second and the size of a status message.
func BenchmarkControl(b *testing.B) {
	for _, known := range []int{0, 16384, 131072} {
		b.Run(fmt.Sprintf("known=%d", known), func(b *testing.B) {
			a := newEngineAgent(b, newFakeEngine(8, digestOf("v1")))
			a.targets.set(gooseberrypass.TargetStatus{Digest: digestOf("v1"), Held: 256, Model: model, Phase: gooseberrypass.PhaseServing, Total: 256})
			before := heap()
			for range known {
				_, _ = a.Server().Refuse(context.Background(), &wire.RefuseRequest{AttemptIds: []string{uuid.NewString()}})
			}
			held := float64(int64(heap()) - int64(before))
			n := 0
			for b.Loop() {
				a.clock.Advance(100 * time.Millisecond)
				a.handle(gooseberrypass.Tick{})
				n++
			}
			perTick := b.Elapsed().Seconds() / float64(n)
			b.ReportMetric(held, "B/known")
			b.ReportMetric(100*10*perTick, "%core")
			b.ReportMetric(float64(proto.Size(a.status(b))), "B/status")
		})
	}
}

// heap returns the bytes of heap in use after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
