package looper_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/looper"
)

type counted struct{ n int }

func (counted) EventName() string { return "counted" }

type countEffect struct{ n int }

func (countEffect) EffectName() string { return "count" }

func (e countEffect) Run(context.Context) gooseberrypass.Event { return counted(e) }

// A counter starts one effect after another until it has counted to limit.
type counter struct {
	done  chan struct{}
	limit int
	ticks int
}

func (c *counter) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.Tick:
		c.ticks++
	case counted:
		if e.n == c.limit {
			close(c.done)
			return nil
		}
		return []gooseberrypass.Effect{countEffect{n: e.n + 1}}
	}
	return nil
}

func TestLoopRunsEffectsAndLeavesNoGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t)
	clock := clockwork.NewFakeClock()
	c := &counter{done: make(chan struct{}), limit: 100}
	loop, err := looper.New(clock, prometheus.NewRegistry(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	loop.Add(c)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx) }()
	loop.Post(counted{})
	<-c.done
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("got error %v, want none", err)
	}
	loop.Post(counted{}) // must not block after the loop has stopped
}
