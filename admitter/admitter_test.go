package admitter_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
)

func newAdmitter(t *testing.T, limit, capacity int) *admitter.Admitter {
	t.Helper()
	clock := clockwork.NewFakeClockAt(start())
	a, err := admitter.New(clock, prometheus.NewRegistry(), admitter.NewQueue(limit, capacity))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestAdmitEndsInAnyCase(t *testing.T) {
	deadlined, cancelDeadlined := context.WithCancelCause(context.Background())
	cancelDeadlined(context.DeadlineExceeded)
	gone, cancelGone := context.WithCancel(context.Background())
	cancelGone()
	tests := []struct {
		name string
		ctx  context.Context
		do   func(a *admitter.Admitter)
		want gooseberrypass.Reason
	}{
		{"caller gone", gone, func(*admitter.Admitter) {}, gooseberrypass.ReasonCut},
		{"deadline", deadlined, func(*admitter.Admitter) {}, gooseberrypass.ReasonDeadline},
		{"closed", context.Background(), func(a *admitter.Admitter) { a.Close(gooseberrypass.ReasonLeaving) }, gooseberrypass.ReasonLeaving},
		{"refused", context.Background(), func(a *admitter.Admitter) { a.RefuseQueued(gooseberrypass.ReasonNotLoaded) }, gooseberrypass.ReasonNotLoaded},
		{"expired", context.Background(), func(a *admitter.Admitter) { a.Expire(start().Add(2 * time.Hour)) }, gooseberrypass.ReasonDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAdmitter(t, 4, 1)
			if _, err := a.Admit(context.Background(), jobOf("first", "a", 4)); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error)
			go func() {
				_, err := a.Admit(tt.ctx, jobOf("second", "a", 4))
				ended <- err
			}()
			for tt.ctx.Err() == nil && a.Load().Queued == 0 {
				time.Sleep(time.Millisecond)
			}
			tt.do(a)
			var got *gooseberrypass.RequestError
			if err := <-ended; !errors.As(err, &got) || got.Outcome != gooseberrypass.OutcomeNotRun || got.Reason != tt.want {
				t.Errorf("got %v, want not run for %s", err, tt.want)
			}
		})
	}
}

// TestAdmitUnderConcurrency has hundreds of callers, of which a third hang up,
// and counts who runs beside whom.
func TestAdmitUnderConcurrency(t *testing.T) {
	defer goleak.VerifyNone(t)
	const n, room = 400, 5
	a := newAdmitter(t, n, room)
	var running, most, ended atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		ctx, cancel := context.WithCancel(context.Background())
		wg.Go(func() {
			defer ended.Add(1)
			p, err := a.Admit(ctx, jobOf(strconv.Itoa(i), gooseberrypass.ID(strconv.Itoa(i%7)), gooseberrypass.Priority(i%10)))
			if err != nil {
				return
			}
			for now := running.Add(1); ; {
				if seen := most.Load(); now <= seen || most.CompareAndSwap(seen, now) {
					break
				}
			}
			running.Add(-1)
			p.End(1, true)
			p.End(1, true)
		})
		wg.Go(func() {
			if i%3 == 0 {
				cancel()
			}
		})
		defer cancel()
	}
	wg.Wait()
	if got := most.Load(); got > room {
		t.Errorf("got %d running at once, want at most %d", got, room)
	}
	if got := a.Load(); ended.Load() != n || got.Running != 0 || got.Queued != 0 {
		t.Errorf("got %d ended and load %+v, want %d and nothing left", ended.Load(), got, n)
	}
}
