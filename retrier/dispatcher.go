package retrier

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// ErrNotSent is wrapped by the error of a dispatch of which no byte was sent.
var ErrNotSent = errors.New("nothing was sent")

// ErrStatus is wrapped by the error of a dispatch that was answered with an
// error status, which settles nothing about the attempt.
var ErrStatus = errors.New("answered with an error status")

// A FrameStream returns the frames of the answer to one attempt, in the order
// in which they came. It checks nothing but their encoding.
type FrameStream interface {
	// Next returns the next frame, or io.EOF where the connection ended.
	Next() (*wire.Frame, error)
	Close() error
}

// A Dispatcher hands attempts to the process beside an endpoint. An error that
// wraps ErrNotSent promises that the attempt has not reached it and will not.
type Dispatcher interface {
	Call(ctx context.Context, to gooseberrypass.ListedInstance, call *wire.CallRequest) (*wire.CallResponse, error)
	Cancel(ctx context.Context, to gooseberrypass.ListedInstance, attemptID string) error
	Generate(ctx context.Context, to gooseberrypass.ListedInstance, attempt *wire.Attempt) (FrameStream, error)
	// Refuse settles an attempt and returns its state. The attempt was sent when
	// the agent's status had the given version; it is "refused" only if the
	// same process answers, as one that started later knows nothing of it.
	Refuse(ctx context.Context, to gooseberrypass.ListedInstance, attemptID string, version uint64) (wire.AttemptState, error)
}
