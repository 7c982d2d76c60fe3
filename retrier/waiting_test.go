package retrier_test

import (
	"context"
	"io"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/retrier"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// During a rollout an entry's view is stale, so that all endpoints may refuse a
// request for a moment. A request that has not run must be retried after a backoff,
// a limited number of times.
func TestRequestWaitsWhileVersionsChange(t *testing.T) {
	tests := []struct {
		name     string
		outcome  string
		reason   gooseberrypass.Reason
		refusals int
		answered bool
	}{
		{name: "not loaded for a moment", outcome: "not run", reason: gooseberrypass.ReasonNotLoaded, refusals: 6, answered: true},
		{name: "not loaded for long", outcome: "not run", reason: gooseberrypass.ReasonNotLoaded, refusals: 1 << 20},
		{name: "overloaded", outcome: "not run", reason: gooseberrypass.ReasonOverloaded, refusals: 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			attempts := 0
			engine := &scriptedDispatcher{generate: func(_ gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error) {
				attempts++
				if attempts > tt.refusals {
					return &scriptedStream{end: io.EOF, frames: correctFrames(a)}, nil
				}
				f := &wire.Frame{AttemptId: a.GetAttemptId(), RequestDigest: a.GetRequestDigest()}
				f.Kind = &wire.Frame_Failed{Failed: &wire.Failed{Outcome: tt.outcome, Reason: string(tt.reason)}}
				return &scriptedStream{end: io.EOF, frames: []*wire.Frame{f}}, nil
			}}
			r := newRetrier(t, members{newMember("w-0", "")}, engine, 0, unlimitedChoices)
			got := &caller{}
			err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "x", true), got)
			if tt.answered {
				if want := "answer to x."; err != nil || got.text != want {
					t.Errorf("got %q and error %v, want %q", got.text, err, want)
				}
				return
			}
			var failure *gooseberrypass.RequestError
			if !errors.As(err, &failure) || failure.Outcome != gooseberrypass.OutcomeNotRun || failure.Reason != tt.reason {
				t.Errorf("got error %v, want not run (%s)", err, tt.reason)
			}
			if want := 20; attempts > want {
				t.Errorf("got %d attempts, want at most %d", attempts, want)
			}
		})
	}
}
