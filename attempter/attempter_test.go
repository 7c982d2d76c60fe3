package attempter_test

import (
	"context"
	"io"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attempter"
)

func TestAnswerIsWhole(t *testing.T) {
	e := newFakeEngine(4, digestOf("v1"))
	e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
		return replay(tokensOf(o.AttemptID, o.Digest, 5), io.EOF), nil
	}
	a := newEngineAgent(t, e)
	got := a.ask(t, attemptOf("a-1"))
	want := textOf(tokensOf("a-1", digestOf("v1"), 5))
	if !got.complete() || got.text.String() != want {
		t.Errorf("got %q, end %v, failed %v, want the complete answer %q", got.text.String(), got.end, got.failed, want)
	}
}

func TestNoAnswerWhileTheVersionIsBeingReplaced(t *testing.T) {
	other := gooseberrypass.TargetStatus{Model: "other", Phase: gooseberrypass.PhaseLoading}
	same := gooseberrypass.TargetStatus{Model: model, Phase: gooseberrypass.PhaseLoading}
	tests := []struct {
		name    string
		asked   string
		pool    gooseberrypass.Pool
		loading bool
		targets []gooseberrypass.TargetStatus
		want    string
	}{
		{"version in force", "", "writers", false, nil, ""},
		{"version asked for", "v1", "writers", false, nil, ""},
		{"version not loaded", "v2", "writers", false, nil, "not-loaded"},
		{"model of another pool", "v1", "archive", false, nil, "not-loaded"},
		{"load ordered", "", "writers", false, []gooseberrypass.TargetStatus{same}, "not-loaded"},
		{"load seen only", "", "writers", true, nil, "not-loaded"},
		{"another model's load", "", "writers", true, []gooseberrypass.TargetStatus{other}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEngine(4, digestOf("v1"))
			e.state.Loading = tt.loading
			e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
				return replay(tokensOf(o.AttemptID, o.Digest, 2), io.EOF), nil
			}
			a := newAgent(t, func(d *attempter.Dependencies) { d.Engine, d.Instance.Pool = e, tt.pool })
			a.targets.set(tt.targets...)
			m := attemptOf("a-1")
			if tt.asked != "" {
				d := digestOf(tt.asked)
				m.WeightsDigest = d[:]
			}
			got := a.ask(t, m)
			if got.failed.GetReason() != tt.want || (tt.want == "") != got.complete() {
				t.Errorf("got failed %v, end %v, want reason %q", got.failed, got.end, tt.want)
			}
			if tt.want != "" && (got.failed.GetOutcome() != "not run" || e.runs["a-1"] != 0) {
				t.Errorf("got outcome %q after %d runs, want not run", got.failed.GetOutcome(), e.runs["a-1"])
			}
		})
	}
}

// TestLoadStartsBeforeLastCheck starts a load after an attempt was admitted and
// before its last check. Either the load must see the attempt in flight or the
// attempt must see the load; otherwise weights change under a running attempt.
func TestLoadStartsBeforeLastCheck(t *testing.T) {
	e := newFakeEngine(4, digestOf("v1"))
	f := &suspendingConfig{fixedConfig: fixedConfig{configOf(1, digestOf("v1"))}, at: 2}
	a := newAgent(t, func(d *attempter.Dependencies) { d.Engine, d.Configs = e, f })
	f.onRead = func() {
		if got := a.InFlight(model); got != 1 {
			t.Errorf("got %d in flight at the last check, want 1", got)
		}
		a.targets.set(gooseberrypass.TargetStatus{Model: model, Phase: gooseberrypass.PhaseLoading})
	}
	got := a.ask(t, attemptOf("a-1"))
	if got.failed.GetOutcome() != "not run" || got.failed.GetReason() != "not-loaded" || e.runs["a-1"] != 0 {
		t.Errorf("got failed %v after %d runs, want not run for not-loaded", got.failed, e.runs["a-1"])
	}
	if got := a.InFlight(model); got != 0 {
		t.Errorf("got %d in flight after the attempt ended, want 0", got)
	}
}
