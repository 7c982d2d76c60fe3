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

// TestAdmitReturnsReason checks that a queued caller always returns, with the
// reason for which its job was refused.
func TestAdmitReturnsReason(t *testing.T) {
	expired, expire := context.WithCancelCause(context.Background())
	expire(context.DeadlineExceeded)
	disconnected, disconnect := context.WithCancel(context.Background())
	disconnect()
	tests := []struct {
		name string
		ctx  context.Context
		do   func(a *admitter.Admitter)
		want gooseberrypass.Reason
	}{
		{"caller disconnected", disconnected, func(*admitter.Admitter) {}, gooseberrypass.ReasonCut},
		{"deadline", expired, func(*admitter.Admitter) {}, gooseberrypass.ReasonDeadline},
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
				t.Errorf("got error %v, want outcome not run with reason %s", err, tt.want)
			}
		})
	}
}

// TestAdmitUnderConcurrency checks that concurrent callers, a third of which
// cancel, never exceed the capacity and leave nothing queued or running. Each
// permit is released twice, which must free only one place.
func TestAdmitUnderConcurrency(t *testing.T) {
	defer goleak.VerifyNone(t)
	const n, capacity = 400, 5
	a := newAdmitter(t, n, capacity)
	var running, peak, ended atomic.Int64
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
				if seen := peak.Load(); now <= seen || peak.CompareAndSwap(seen, now) {
					break
				}
			}
			running.Add(-1)
			p.Release(1, true)
			p.Release(1, true)
		})
		wg.Go(func() {
			if i%3 == 0 {
				cancel()
			}
		})
		defer cancel()
	}
	wg.Wait()
	if got := peak.Load(); got > capacity {
		t.Errorf("got %d running at once, want at most %d", got, capacity)
	}
	if got := a.Load(); ended.Load() != n || got.Running != 0 || got.Queued != 0 {
		t.Errorf("got %d callers returned and load %+v, want %d and nothing queued or running", ended.Load(), got, n)
	}
}
