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

// BenchmarkAttempt gives the cost of one attempt of 32 tokens over loopback,
// the fake engine's and the caller's part included.
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
		if got := a.ask(b, m); !got.whole() {
			b.Fatalf("got %v, want a whole answer", got.failed)
		}
		if n%1024 == 0 { // a busy second
			a.tick()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n)/32, "µs/token")
}

// BenchmarkControl gives the cost of one tick of the agent's control by the
// number of attempts known, the share of a core at ten ticks a second and
// the size of a status.
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
			b.ReportMetric(float64(proto.Size(a.load(b))), "B/status")
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
