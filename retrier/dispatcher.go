package retrier

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// ErrNotSent is wrapped by the error of a dispatch that failed before any byte was
// sent.
var ErrNotSent = errors.New("nothing was sent")

// ErrStatus is wrapped by the error of a dispatch that got an HTTP error status.
// The attempt may or may not have run.
var ErrStatus = errors.New("answered with an error status")

// A FrameStream returns the frames of the answer to one attempt in the order of
// their arrival. It validates only their encoding.
type FrameStream interface {
	// Next returns the next frame. It returns io.EOF at the end of the
	// connection.
	Next() (*wire.Frame, error)
	Close() error
}

// A Dispatcher sends attempts to the agent, the process beside an endpoint. An
// error that wraps ErrNotSent guarantees that the attempt has not reached the agent
// and never will.
type Dispatcher interface {
	Call(ctx context.Context, to gooseberrypass.ListedInstance, call *wire.CallRequest) (*wire.CallResponse, error)
	Cancel(ctx context.Context, to gooseberrypass.ListedInstance, attemptID string) error
	Generate(ctx context.Context, to gooseberrypass.ListedInstance, attempt *wire.Attempt) (FrameStream, error)
	// Refuse asks the agent never to run an attempt that has not started, and
	// returns the attempt's state. version is that of the agent's status when the
	// attempt was sent. The state is "refused" only if the same process answers,
	// as a restarted agent does not know whether the attempt ran.
	Refuse(ctx context.Context, to gooseberrypass.ListedInstance, attemptID string, version uint64) (wire.AttemptState, error)
}
