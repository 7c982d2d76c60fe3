package stager_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// heldKey marks the context of a step that is held up.
type heldKey struct{}

// A heldStep is the first step of an agent that stages or loads, held up before one of its
// calls to the engine until it is released.
type heldStep struct {
	done     chan gooseberrypass.Event
	released chan struct{}
	waits    chan struct{} // closed when the step is held up
}

// holdStep holds up the next step with a name before its call with a number, the first one is 0.
func (f *fixture) holdStep(name string, call int) *heldStep {
	h := &heldStep{done: make(chan gooseberrypass.Event, 1), released: make(chan struct{}), waits: make(chan struct{})}
	f.intercept = func(e gooseberrypass.Effect) bool {
		if e.EffectName() != name {
			return false
		}
		f.intercept = nil
		go func() { h.done <- e.Run(context.WithValue(context.Background(), heldKey{}, true)) }()
		<-h.waits
		return true
	}
	var calls atomic.Int32
	f.engine.before = func(ctx context.Context) {
		if ctx.Value(heldKey{}) == nil {
			return
		}
		switch n := int(calls.Add(1)) - 1; {
		case n == call:
			close(h.waits)
			<-h.released
		case n > call:
			<-h.released
		}
	}
	return h
}

// Two versions were staged at once: the chunks of the older one came between the verification
// of the newer one and its load.
func TestStepsOfTwoVersionsDoNotMix(t *testing.T) {
	for _, name := range []string{"stage-version", "order-load"} {
		for call := range chunkCount {
			m := newLoadModel(t, false)
			h := m.holdStep(name, call)
			var late gooseberrypass.Event
			released := false
			release := func() {
				if released {
					return
				}
				released = true
				close(h.released)
				late = <-h.done
			}
			m.engine.hold = release
			first := materializer.Target{Since: m.now, Version: 2}
			m.nameVersions(first)
			if m.intercept != nil {
				t.Fatalf("step %s was not reached", name)
			}
			m.stop(time.Second)
			m.nameVersions(first, materializer.Target{Since: m.now, Version: 3})
			mixed := m.play(bound)
			release()
			m.handle(late)
			if m.play(2*bound) || mixed {
				t.Errorf("%s of version 2 held up before call %d: a load of two versions is in service", name, call)
			}
			if got := m.served(); got != 3 {
				t.Errorf("%s of version 2 held up before call %d: got version %d in service, want 3", name, call, got)
			}
		}
	}
}
