package loader_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/loader"
)

// newLoader returns a loader whose wanted version is completely fetched, and the
// digest of that version.
func newLoader(t *testing.T, e gooseberrypass.Engine, busy func(gooseberrypass.ID) int) (*loader.Loader, gooseberrypass.Digest) {
	t.Helper()
	m := (&origin{}).publish(t, "jingles", "2", randomWeights(40, 1), gooseberrypass.Digest{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := loader.New(gooseberrypass.ListedInstance{ID: "i", Pool: "gpu"}, e, complete{m}, "", busy, log)
	l.Handle(startTime(), gooseberrypass.ConfigAccepted{Config: config(2, model("jingles", "2", m.Digest(), nil))})
	return l, m.Digest()
}

// startTime returns the time at which the tests begin.
func startTime() time.Time { return time.Unix(1_800_000_000, 0) }

func observed(boot string, loaded ...gooseberrypass.LoadedVersion) gooseberrypass.EngineObserved {
	return gooseberrypass.EngineObserved{State: gooseberrypass.EngineState{BootID: boot, Loaded: loaded}}
}

// TestVersionThatCrashesItsEngineBacksOff restarts the engine after each order.
func TestVersionThatCrashesItsEngineBacksOff(t *testing.T) {
	t.Parallel()
	e := &loadingEngine{}
	l, _ := newLoader(t, e, nil)
	orders := 0
	for second := range 600 {
		now := startTime().Add(time.Duration(second) * time.Second)
		for _, effect := range l.Handle(now, observed(strings.Repeat("x", orders))) {
			orders++
			l.Handle(now, effect.Run(t.Context()))
		}
	}
	if orders < 3 || orders > 20 {
		t.Errorf("got %d orders in 10 minutes, want a few", orders)
	}
	targets := l.Targets()
	if got := targets[0]; got.Phase != gooseberrypass.PhaseFailed || !strings.Contains(got.Err, "started anew") {
		t.Errorf("got %+v, want a failure that names the restart", got)
	}
}

// refusingEngine refuses every order.
type refusingEngine struct{ loadingEngine }

func (*refusingEngine) Order(context.Context, gooseberrypass.Order) error {
	return gooseberrypass.ErrOldFence
}

// TestRequestsEndBeforeTheLoadAndResumeAfterARefusal has a request in progress on
// the served version when a newer one is ready to load.
func TestRequestsEndBeforeTheLoadAndResumeAfterARefusal(t *testing.T) {
	t.Parallel()
	busy := 1
	l, digest := newLoader(t, &refusingEngine{}, func(gooseberrypass.ID) int { return busy })
	old := gooseberrypass.LoadedVersion{Digest: gooseberrypass.DigestOf([]byte("v1")), Model: "jingles"}
	if got := l.Handle(startTime(), observed("1", old)); len(got) != 0 {
		t.Fatal("got an order while a request is in progress")
	}
	if got := l.Serving(); len(got) != 0 {
		t.Errorf("got %v admitted before the load, want nothing", got)
	}
	if got, want := l.Targets()[0].Phase, gooseberrypass.PhaseLoading; got != want {
		t.Errorf("got phase %s, want %s", got, want)
	}
	busy = 0
	effects := l.Handle(startTime(), observed("1", old))
	if len(effects) != 1 {
		t.Fatalf("got %d orders once the request has ended, want 1", len(effects))
	}
	l.Handle(startTime(), effects[0].Run(t.Context()))
	if got := l.Serving(); len(got) != 1 || got[0] != old {
		t.Errorf("got %v admitted after the refusal, want the version before", got)
	}
	if got := l.Targets()[0]; got.Phase != gooseberrypass.PhaseFailed || got.Digest != digest {
		t.Errorf("got %+v, want the target failed", got)
	}
	l.Handle(startTime(), gooseberrypass.StopRequested{})
	if got := l.Handle(startTime().Add(time.Hour), observed("1", old)); len(got) != 0 {
		t.Errorf("got %d orders after a planned stop, want none", len(got))
	}
}

// TestEngineReadErrorChangesNothing fails one read of the engine's state.
func TestEngineReadErrorChangesNothing(t *testing.T) {
	t.Parallel()
	l, digest := newLoader(t, &loadingEngine{}, nil)
	served := gooseberrypass.LoadedVersion{Digest: digest, Model: "jingles"}
	l.Handle(startTime(), observed("1", served))
	if got := l.Handle(startTime(), gooseberrypass.EngineObserved{Err: io.ErrUnexpectedEOF}); len(got) != 0 {
		t.Errorf("got %d effects for a failed read, want none", len(got))
	}
	if got := l.Targets()[0].Phase; got != gooseberrypass.PhaseServing {
		t.Errorf("got phase %s, want %s", got, gooseberrypass.PhaseServing)
	}
}

// TestNewerFenceAtTheEngine has an engine whose last order follows from a newer
// configuration than this process has.
func TestNewerFenceAtTheEngine(t *testing.T) {
	t.Parallel()
	l, _ := newLoader(t, &loadingEngine{}, nil)
	event := observed("1")
	event.State.Fence = 3
	if got := l.Handle(startTime(), event); len(got) != 0 {
		t.Errorf("got %d orders, want none", len(got))
	}
}
