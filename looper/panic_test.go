package looper_test

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/looper"
)

// A fragileController panics on the event with n 0.
type fragileController struct{}

func (fragileController) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if e, ok := event.(counted); ok && e.n == 0 {
		panic("malformed event")
	}
	return nil
}

// A fragileEffect panics when it runs for the first time.
type fragileEffect struct{ runs *atomic.Int32 }

func (fragileEffect) EffectName() string { return "fragile" }

func (e fragileEffect) Run(context.Context) gooseberrypass.Event {
	if e.runs.Add(1) == 1 {
		panic("unexpected answer")
	}
	return counted{n: 2}
}

// A recorder passes on the events that it receives and starts a fragile effect for
// the event with n 1.
type recorder struct {
	received chan int
	runs     atomic.Int32
}

func (r *recorder) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	e, ok := event.(counted)
	if !ok {
		return nil
	}
	r.received <- e.n
	if e.n == 1 {
		return []gooseberrypass.Effect{fragileEffect{runs: &r.runs}}
	}
	return nil
}

// One malformed message or unexpected error must not end a process, and a controller
// must not wait for ever for an effect that panicked.
func TestPanicsAreContained(t *testing.T) {
	clock := clockwork.NewFakeClock()
	registry := prometheus.NewRegistry()
	r := &recorder{received: make(chan int, 10)}
	loop, err := looper.New(clock, registry, time.Hour, fragileController{}, r)
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	var log bytes.Buffer
	logger.SetOutput(&log)
	loop.SetLogger(logger)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx) }()
	loop.Post(counted{n: 0})
	if got, want := <-r.received, 0; got != want {
		t.Errorf("got event %d after a panic, want %d", got, want)
	}
	loop.Post(counted{n: 1})
	if got, want := <-r.received, 1; got != want {
		t.Errorf("got event %d, want %d", got, want)
	}
	if err := clock.BlockUntilContext(ctx, 2); err != nil { // the loop's ticker and the pause of the effect
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	if got, want := <-r.received, 2; got != want {
		t.Errorf("got event %d of the effect, want %d", got, want)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if got, want := strings.Count(log.String(), "panic contained"), 2; got != want {
		t.Errorf("got %d log lines, want %d: %s", got, want, log.String())
	}
}
