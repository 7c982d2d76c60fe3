package loader_test

import (
	"strings"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
)

func TestAdapterWaitsForItsBaseAndRoleIsOrdered(t *testing.T) {
	t.Parallel()
	o := &origin{}
	base := o.publish(t, "jingles", "1", randomWeights(20, 8), gooseberrypass.Digest{})
	newBase := o.publish(t, "jingles", "2", randomWeights(21, 8), gooseberrypass.Digest{})
	adapter := o.publish(t, "cues", "1", randomWeights(22, 2), base.Digest())
	f := &fleet{}
	for i, region := range []string{"centro", "norte"} {
		f.agents = append(f.agents, startAgent(t, setup{id: i, origin: o, region: region}))
	}
	f.round()
	cues := model("cues", "1", adapter.Digest(), map[string]any{"base": gooseberrypass.ID("jingles")})
	role := section(gooseberrypass.KindInstance, "i0", map[string]any{"role": string(gooseberrypass.EngineRolePrefill)})
	f.accept(config(1, model("jingles", "1", base.Digest(), nil), cues, role))
	f.until(t, "all serve the adapter", allServe(f.agents, "cues", adapter.Digest()))
	want := []gooseberrypass.OrderKind{gooseberrypass.OrderRole, gooseberrypass.OrderLoad, gooseberrypass.OrderAdapter}
	for i, order := range f.agents[0].engine.orders {
		if order.Kind != want[i] {
			t.Errorf("got order %d %s, want %s", i, order.Kind, want[i])
		}
	}

	// The base is replaced by a version that the adapter was not made for.
	f.accept(config(2, model("jingles", "2", newBase.Digest(), nil), cues))
	f.until(t, "all serve the new base", allServe(f.agents, "jingles", newBase.Digest()))
	for _, a := range f.agents {
		if allServe([]*agent{a}, "cues", adapter.Digest())() {
			t.Errorf("%s serves an adapter on a base that it was not made for", a.listed.ID)
		}
	}

	for _, a := range f.agents { // the adapter is pinned to a manifest that is no adapter
		a.accept(config(3, model("jingles", "2", newBase.Digest(), nil),
			model("cues", "1", base.Digest(), map[string]any{"base": gooseberrypass.ID("jingles")})))
	}
	f.until(t, "mismatch shown", func() bool {
		for _, target := range f.agents[0].weights.Targets() {
			if target.Model == "cues" && strings.Contains(target.Err, "no adapter") {
				return true
			}
		}
		return false
	})

	// The adapter is removed from the configuration.
	f.accept(config(4, model("jingles", "2", newBase.Digest(), nil)))
	f.until(t, "unloaded", func() bool {
		state, _ := f.agents[0].engine.State(t.Context())
		return len(state.Loaded) == 1
	})
}
