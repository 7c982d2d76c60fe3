package gooseberrypass

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// An Offset is the place of a record in a stream of the log. Offsets start at
// 1 and are dense; 0 means "before the first record".
type Offset uint64

// A Stream names one stream of the log.
type Stream string

// StreamConfig is the stream that holds configuration changes.
const StreamConfig Stream = "config"

// ErrLogUnavailable is returned when the log gave no answer. An append that
// failed with it may have taken effect.
var ErrLogUnavailable = errors.New("log unavailable")

// ErrLogOverloaded is returned when the log refused an append for its rate; the
// append certainly did not take effect.
var ErrLogOverloaded = errors.New("log refused the append for its rate")

// A TrimmedError is returned for a read from before the first record kept.
type TrimmedError struct {
	First Offset
	Next  Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log trimmed: first record kept is %d", e.First)
}

// A Record is one record of a stream.
type Record struct {
	Offset Offset
	Time   time.Time
	Body   []byte
}

// A Batch is the answer to a read: records in order of offset, the first
// offset still kept and the offset of the next record to come.
type Batch struct {
	First   Offset
	Next    Offset
	Records []Record
}

// A Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. After an
	// ErrLogUnavailable the record may or may not stand in the log.
	Append(ctx context.Context, stream Stream, body []byte) (Offset, error)

	// Read returns the records from offset from on, waiting up to wait for
	// the first. It returns a *TrimmedError if records from there on are gone.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (Batch, error)
}
