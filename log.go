package gooseberrypass

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// A Stream is the name of a stream of the log.
type Stream string

// StreamConfig is the stream that holds configuration changes.
const StreamConfig Stream = "config"

// ErrLogUnavailable is returned when the log did not respond. An append that fails
// with it may have taken effect.
var ErrLogUnavailable = errors.New("log unavailable")

// ErrLogOverloaded is returned when the log refused an append because of its rate
// limit. The append did not take effect.
var ErrLogOverloaded = errors.New("append refused: rate limit of the log exceeded")

// A TrimmedError is returned for a read that starts before the first record kept.
// Next is the offset of the next record to be appended, 0 if unknown.
type TrimmedError struct {
	First Offset
	Next  Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log trimmed: first record kept is %d", e.First)
}

// A Record is a record of a stream.
type Record struct {
	Offset Offset
	Time   time.Time
	Body   []byte
}

// A Batch is the result of a read: records in order of offset, the offset of the
// first record kept and the offset of the next record to be appended.
type Batch struct {
	First   Offset
	Next    Offset
	Records []Record
}

// A Log is the platform's append-only log.
type Log interface {
	// Append appends a record and returns its offset. After
	// ErrLogUnavailable, the record may or may not be in the log.
	Append(ctx context.Context, stream Stream, body []byte) (Offset, error)

	// Read returns records starting at offset from. If there are none, it waits
	// for one up to wait. It returns a *TrimmedError if the record at from has
	// been trimmed.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Batch, error)
}
