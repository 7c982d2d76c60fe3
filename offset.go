package gooseberrypass

import (
	"fmt"
	"strconv"
)

// An Offset is the position of a record in a stream of the log. Offsets start at 1
// and are consecutive; 0 means "before the first record".
//
// The log of keyed topics may come back from an older copy and give out the same
// positions again. Offsets in these topics therefore hold the number of restores before
// the position, so that any offset after a restore is higher than those before it.
type Offset uint64

// indexBits is the number of bits of an offset that hold the position.
const indexBits = 40

// MaxRestores is the highest number of restores that an Offset can hold.
const MaxRestores = 1<<(64-indexBits) - 1

// NewOffset returns the offset of a position in a keyed topic after the log came back
// from an older copy a number of times.
func NewOffset(restores, index uint64) Offset {
	return Offset(restores<<indexBits | index&(1<<indexBits-1))
}

// Index returns the position in a keyed topic.
func (o Offset) Index() uint64 { return uint64(o) & (1<<indexBits - 1) }

// Restores returns how often the log had come back from an older copy.
func (o Offset) Restores() uint64 { return uint64(o >> indexBits) }

// String returns the position, and the number of restores if there were any.
func (o Offset) String() string {
	if o.Restores() == 0 {
		return strconv.FormatUint(o.Index(), 10)
	}
	return fmt.Sprintf("%d after restore %d", o.Index(), o.Restores())
}

// A RestoredError is returned for a read from an offset that was given out before the log
// came back from an older copy.
type RestoredError struct {
	Restores uint64 // number of restores so far
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("log came back from an older copy: restore %d", e.Restores)
}
