package balancer_test

import (
	"math"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// The prediction counted a single pass, so an engine seemed to answer in time when a request
// still had to wait for the pass in progress, for several chunks and for the pass of its event.
func TestFirstEventIsPredictedInPasses(t *testing.T) {
	// A pass without prefill takes 10 x (4 + 0.5 for each request) ms, a chunk 20 ms to read.
	engine := gooseberrypass.EngineSpec{
		MeanTokens: 200, ReadRate: 100_000, Slots: 12, TokensPerEvent: 10,
		Passes: gooseberrypass.PassSpec{Chunk: 2000, MeanPrompt: 900, SequenceTime: 500 * time.Microsecond, StepTime: 4 * time.Millisecond},
	}
	context, pairs := engine, engine
	context.Passes.ContextTime, context.Passes.SequenceTime = 500*time.Microsecond, 0 // 1,000 tokens for each request
	pairs.Passes.PairsTime = 2 * time.Millisecond
	tests := map[string]struct {
		ahead, decoding, prompt int
		engine                  gooseberrypass.EngineSpec
		want                    time.Duration
	}{
		"idle":                     {engine: engine, prompt: 1000, want: 95 * time.Millisecond},               // read 10, pass 40, event 45
		"requests in decode":       {engine: engine, prompt: 1000, decoding: 4, want: 165 * time.Millisecond}, // rest 30, read 10, pass 60, event 65
		"by their context":         {engine: context, prompt: 1000, decoding: 4, want: 165 * time.Millisecond},
		"tokens ahead, one chunk":  {engine: engine, ahead: 1000, prompt: 1000, decoding: 4, want: 175 * time.Millisecond},
		"tokens ahead, two chunks": {engine: engine, ahead: 1001, prompt: 1000, decoding: 4, want: 235*time.Millisecond + 10*time.Microsecond},
		"long prompt":              {engine: engine, prompt: 4000, want: 165 * time.Millisecond},                    // read 40, two passes 80, event 45
		"pairs of a long prompt":   {engine: pairs, prompt: 4000, want: 181 * time.Millisecond},                     // 8 million pairs
		"pairs of prompts ahead":   {engine: pairs, ahead: 2000, want: 126*time.Millisecond + 800*time.Microsecond}, // rest 20, read 20, 0.9 million pairs, pass 40, event 45
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := balancer.PredictPasses(&tt.engine, tt.ahead, tt.decoding, tt.prompt)
			if d := got - tt.want; d < -time.Microsecond || d > time.Microsecond {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Figures of a configuration or a message may be anything. The prediction must stay a time,
// and grow neither below zero nor beyond all bounds.
func TestPredictionFromAbsurdFigures(t *testing.T) {
	figures := []float64{-1e9, 0, 1, 1e9, 1e300}
	for _, x := range figures {
		for _, y := range figures {
			d := time.Duration(min(max(x, 0), math.MaxInt64/2))
			n := int(min(max(y, -1e9), 1e9))
			engine := gooseberrypass.EngineSpec{
				MeanTokens: n, ReadRate: y, Slots: n, TokensPerEvent: n,
				Passes: gooseberrypass.PassSpec{Chunk: n, ContextTime: d, MeanPrompt: n, PairsTime: d, SequenceTime: d, StepTime: d},
			}
			for _, load := range []int{-1e9, 0, 1, 1e9} {
				if got := balancer.PredictPasses(&engine, load, load, load); got < 0 || got > time.Hour {
					t.Errorf("figures %g and %g, load %d: got %v, want a time of at most an hour", x, y, load, got)
				}
			}
		}
	}
}

// Requests of services that are not scheduled must be served as before, also where the
// engine's passes are known: here an engine that one request keeps within the old prediction
// (43 ms + 33 ms) and that would be too slow by the new one (150 ms of 200 ms, share 0.5).
func TestPredictionInPassesIsForScheduledRequests(t *testing.T) {
	for _, scheduled := range []bool{false, true} {
		s := settings()
		s.FirstEventShare, s.PassShare = 0.5, 0.5
		f := newFixtureWith(t, 1, s)
		spec := passSpec()
		f.snapshot.Deployment = gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{Engine: spec, ID: "s"}}, nil, gooseberrypass.CallerLimits{})
		f.publish()
		q := balancer.Query{Model: "m", Objective: 200 * time.Millisecond, PromptTokens: 500, Scheduled: scheduled, Service: "s"}
		if _, err := f.balancer.Choose(q); err != nil {
			t.Fatalf("scheduled %t, first request: %v", scheduled, err)
		}
		if _, err := f.balancer.Choose(q); (err != nil) != scheduled {
			t.Errorf("scheduled %t, second request: got error %v", scheduled, err)
		}
	}
}
