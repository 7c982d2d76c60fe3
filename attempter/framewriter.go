package attempter

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A framer writes the frames of one answer, each with the attempt's id and the
// request's digest.
type framer struct {
	attemptID     string
	control       *http.ResponseController
	failed        bool
	requestDigest []byte
	w             http.ResponseWriter
}

func newFramer(w http.ResponseWriter, a *wire.Attempt) *framer {
	return &framer{
		attemptID:     a.GetAttemptId(),
		control:       http.NewResponseController(w),
		requestDigest: a.GetRequestDigest(),
		w:             w,
	}
}

func (f *framer) ended(end *wire.End) error {
	return f.write(&wire.Frame{Kind: &wire.Frame_End{End: end}})
}

// fail ends the answer with a failure, once. A caller that is gone cannot be
// told.
func (f *framer) fail(e *gooseberrypass.RequestError) {
	if f.failed {
		return
	}
	f.failed = true
	_ = f.write(&wire.Frame{Kind: &wire.Frame_Failed{Failed: &wire.Failed{
		Detail:       e.Detail,
		Outcome:      e.Outcome.String(),
		Reason:       string(e.Reason),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}})
}

// interruptAfter makes writes that still wait for a slow reader fail when d has
// passed, and returns a function that takes it back.
func (f *framer) interruptAfter(clock gooseberrypass.Clock, d time.Duration) func() bool {
	// A writer without deadlines has no reader to wait for.
	return clock.AfterFunc(d, func() { _ = f.control.SetWriteDeadline(time.Unix(1, 0)) }).Stop
}

func (f *framer) moved(next int, kv []byte) error {
	return f.write(&wire.Frame{Kind: &wire.Frame_Moved{Moved: &wire.Moved{KvCache: kv, Next: int64(next)}}})
}

func (f *framer) piece(index int, text string) error {
	return f.write(&wire.Frame{Kind: &wire.Frame_Piece{Piece: &wire.Piece{Index: int64(index), Text: []byte(text)}}})
}

func (f *framer) started(digest gooseberrypass.Digest) error {
	return f.write(&wire.Frame{Kind: &wire.Frame_Started{Started: &wire.Started{WeightsDigest: digest[:]}}})
}

func (f *framer) write(frame *wire.Frame) error {
	frame.AttemptId = f.attemptID
	frame.RequestDigest = f.requestDigest
	if _, err := protodelim.MarshalTo(f.w, frame); err != nil {
		return errors.Wrap(err, "write frame")
	}
	return errors.Wrap(f.control.Flush(), "flush frame")
}
