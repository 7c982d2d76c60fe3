package loader_test

import (
	"io"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/loader"
)

// allComplete is a fetcher that holds all chunks of its manifests.
type allComplete map[gooseberrypass.Digest]*gooseberrypass.Manifest

func (a allComplete) Progress(d gooseberrypass.Digest) fetcher.Progress {
	return complete{a[d]}.Progress(d)
}

func (allComplete) SetWants(time.Time, []fetcher.Want) []gooseberrypass.Effect { return nil }

// An adapterFleet is an engine with a base and an adapter, and what its agents need.
type adapterFleet struct {
	adapter, first, second *gooseberrypass.Manifest
	engine                 *loadingEngine
	now                    time.Time
}

func newAdapterFleet(t *testing.T) *adapterFleet {
	t.Helper()
	o := &origin{}
	f := &adapterFleet{engine: &loadingEngine{}, now: startTime()}
	f.first = o.publish(t, "jingles", "1", randomWeights(60, 1), gooseberrypass.Digest{})
	f.second = o.publish(t, "jingles", "2", randomWeights(61, 1), gooseberrypass.Digest{})
	f.adapter = o.publish(t, "cues", "1", randomWeights(62, 1), f.first.Digest())
	return f
}

func (f *adapterFleet) startAgent() *loader.Loader {
	log := logrus.New()
	log.SetOutput(io.Discard)
	manifests := allComplete{f.first.Digest(): f.first, f.second.Digest(): f.second, f.adapter.Digest(): f.adapter}
	return loader.New(gooseberrypass.ListedInstance{ID: "i", Pool: "gpu"}, f.engine, manifests, "", nil, log)
}

// accept passes a configuration with a base to an agent, and states of the engine until it has
// settled. If stale is set, each state comes again after the order that it led to.
func (f *adapterFleet) accept(t *testing.T, l *loader.Loader, version int, base *gooseberrypass.Manifest, stale bool) {
	t.Helper()
	cues := model("cues", "1", f.adapter.Digest(), map[string]any{"base": gooseberrypass.ID("jingles")})
	l.Handle(f.now, gooseberrypass.ConfigAccepted{Config: config(gooseberrypass.Offset(version), model("jingles", strconv.Itoa(version), base.Digest(), nil), cues)})
	for range 6 {
		f.now = f.now.Add(time.Second)
		before, _ := f.engine.State(t.Context())
		for _, effect := range l.Handle(f.now, gooseberrypass.EngineObserved{State: before}) {
			l.Handle(f.now, effect.Run(t.Context()))
			if stale {
				l.Handle(f.now, gooseberrypass.EngineObserved{State: before})
			}
		}
	}
}

func (f *adapterFleet) serves(l *loader.Loader) bool {
	return slices.ContainsFunc(l.Serving(), func(v gooseberrypass.LoadedVersion) bool { return v.Digest == f.adapter.Digest() })
}

// An agent that saw a state from before the load of an adapter after it forgot the adapter's base,
// and admitted requests to the adapter on the next base.
func TestAdapterIsNotAdmittedOnAnotherBase(t *testing.T) {
	t.Parallel()
	for _, stale := range []bool{false, true} {
		f := newAdapterFleet(t)
		l := f.startAgent()
		f.accept(t, l, 1, f.first, stale)
		if !f.serves(l) {
			t.Fatalf("stale %t: the adapter is not served on its own base", stale)
		}
		f.accept(t, l, 2, f.second, false)
		if f.serves(l) {
			t.Errorf("stale %t: the adapter is served on a base that it was not made for", stale)
		}
	}
}

// An agent that starts anew finds an adapter and a base loaded, and admits requests to the adapter
// without knowing its base.
func TestRestartedAgentAdmitsNoAdapterOnAnotherBase(t *testing.T) {
	t.Parallel()
	f := newAdapterFleet(t)
	l := f.startAgent()
	f.accept(t, l, 1, f.first, false)
	f.accept(t, l, 2, f.second, false)
	l = f.startAgent()
	f.accept(t, l, 2, f.second, false)
	if f.serves(l) {
		t.Error("the adapter is served on a base that it was not made for")
	}
}
