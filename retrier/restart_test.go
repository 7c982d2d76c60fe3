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

// A bufferingCaller reads its answer only when it is complete, so that the answer
// can start again.
type bufferingCaller struct{ caller }

func (c *bufferingCaller) Restart() bool {
	c.caller = caller{}
	return true
}

// An instance dies in the middle of an answer. A caller that buffers the answer must
// get it from another endpoint; one that has already read a part must get an error.
func TestCutAnswerStartsAgainForWhoHasSeenNothing(t *testing.T) {
	attempts := 0
	engine := &scriptedDispatcher{generate: func(_ gooseberrypass.ID, a *wire.Attempt) (retrier.FrameStream, error) {
		attempts++
		frames := correctFrames(a)
		if attempts%2 == 1 {
			return &scriptedStream{end: io.ErrUnexpectedEOF, frames: frames[:3]}, nil
		}
		return &scriptedStream{end: io.EOF, frames: frames}, nil
	}}
	two := members{newMember("w-0", ""), newMember("w-1", "")}
	buffering, streaming := &bufferingCaller{}, &caller{}
	r := newRetrier(t, two, engine, 1, unlimitedChoices)
	if err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "x", true), buffering); err != nil {
		t.Errorf("got error %v, want the whole answer", err)
	}
	if want := "answer to x."; buffering.text != want || !buffering.ended || buffering.starts != 1 {
		t.Errorf("got %q, ended %t, %d starts, want %q", buffering.text, buffering.ended, buffering.starts, want)
	}
	err := r.Handle(context.Background(), newRequest(gooseberrypass.RequestGenerate, "y", true), streaming)
	var failure *gooseberrypass.RequestError
	if !errors.As(err, &failure) || failure.Reason != gooseberrypass.ReasonCut || streaming.ended {
		t.Errorf("got error %v, ended %t, want reason cut", err, streaming.ended)
	}
	if attempts != 3 {
		t.Errorf("got %d attempts, want 3", attempts)
	}
}
