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

// A patientCaller reads its answer only once it is whole.
type patientCaller struct{ caller }

func (c *patientCaller) Restart() bool {
	c.caller = caller{}
	return true
}

// An instance dies in the middle of an answer. A caller that waits for the
// whole gets it from another endpoint; one that reads along is told of the cut.
func TestCutAnswerStartsAgainForWhoHasSeenNothing(t *testing.T) {
	attempts := 0
	engine := &scripted{generate: func(_ gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error) {
		attempts++
		frames := answerTo(a)
		if attempts%2 == 1 {
			return &script{end: io.ErrUnexpectedEOF, frames: frames[:3]}, nil
		}
		return &script{end: io.EOF, frames: frames}, nil
	}}
	two := members{newMember("w-0", ""), newMember("w-1", "")}
	patient, reading := &patientCaller{}, &caller{}
	r := newRetrier(t, two, engine, 1, anyChoices)
	if err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "x", true), patient); err != nil {
		t.Errorf("got error %v, want the whole answer", err)
	}
	if want := "answer to x."; patient.text != want || !patient.ended || patient.starts != 1 {
		t.Errorf("got %q, ended %t, %d starts, want %q", patient.text, patient.ended, patient.starts, want)
	}
	err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "y", true), reading)
	var failure *gooseberrypass.RequestError
	if !errors.As(err, &failure) || failure.Reason != gooseberrypass.ReasonCut || reading.ended {
		t.Errorf("got error %v, ended %t, want a cut", err, reading.ended)
	}
	if attempts != 3 {
		t.Errorf("got %d attempts, want 3", attempts)
	}
}
