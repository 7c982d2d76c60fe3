package attempter

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A frameWriter writes the frames of one answer. Each frame carries the attempt
// id and the request digest.
type frameWriter struct {
	attemptID     string
	control       *http.ResponseController
	failed        bool
	requestDigest []byte
	w             http.ResponseWriter
}

func newFrameWriter(w http.ResponseWriter, a *wire.Attempt) *frameWriter {
	return &frameWriter{
		attemptID:     a.GetAttemptId(),
		control:       http.NewResponseController(w),
		requestDigest: a.GetRequestDigest(),
		w:             w,
	}
}

func (f *frameWriter) end(end *wire.End) error {
	return f.write(&wire.Frame{Kind: &wire.Frame_End{End: end}})
}

// fail ends the answer with a failure; later calls do nothing. A write error is
// ignored: it means that the client has disconnected.
func (f *frameWriter) fail(e *gooseberrypass.RequestError) {
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

// failWritesAfter makes writes that are blocked by a slow reader fail after d.
// It returns a function that stops the timer.
func (f *frameWriter) failWritesAfter(clock gooseberrypass.Clock, d time.Duration) func() bool {
	// SetWriteDeadline fails only for writers without deadlines, which never
	// block on a reader.
	return clock.AfterFunc(d, func() { _ = f.control.SetWriteDeadline(time.Unix(1, 0)) }).Stop
}

func (f *frameWriter) moved(next int, kv []byte) error {
	return f.write(&wire.Frame{Kind: &wire.Frame_Moved{Moved: &wire.Moved{KvCache: kv, Next: int64(next)}}})
}

func (f *frameWriter) piece(index int, text string) error {
	return f.write(&wire.Frame{Kind: &wire.Frame_Piece{Piece: &wire.Piece{Index: int64(index), Text: []byte(text)}}})
}

func (f *frameWriter) started(digest gooseberrypass.Digest) error {
	return f.write(&wire.Frame{Kind: &wire.Frame_Started{Started: &wire.Started{WeightsDigest: digest[:]}}})
}

func (f *frameWriter) write(frame *wire.Frame) error {
	frame.AttemptId = f.attemptID
	frame.RequestDigest = f.requestDigest
	if _, err := protodelim.MarshalTo(f.w, frame); err != nil {
		return errors.Wrap(err, "write frame")
	}
	return errors.Wrap(f.control.Flush(), "flush frame")
}
