package retrier

import (
	"crypto/sha256"
	"hash"
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// maxAnswerBytes is the size of the longest answer.
const maxAnswerBytes = 32 << 20

// ErrBadFrame is wrapped by the error of an answer that violates the protocol or
// belongs to another attempt.
var ErrBadFrame = errors.New("frame does not belong here")

// A frameChecker validates that the frames of an answer belong to one attempt, come
// in order and are complete. firstIndex and next are indices of pieces.
type frameChecker struct {
	attempt    *wire.Attempt
	firstIndex int64
	hash       hash.Hash
	length     int64
	next       int64
	started    bool
}

func newFrameChecker(attempt *wire.Attempt) *frameChecker {
	return &frameChecker{attempt: attempt, firstIndex: attempt.GetFrom(), hash: sha256.New(), next: attempt.GetFrom()}
}

// check returns an error that wraps ErrBadFrame for a frame that must not be
// delivered.
func (c *frameChecker) check(frame *wire.Frame) error {
	if frame.GetAttemptId() != c.attempt.GetAttemptId() {
		return errors.Wrapf(ErrBadFrame, "attempt %q, want %q", frame.GetAttemptId(), c.attempt.GetAttemptId())
	}
	if string(frame.GetRequestDigest()) != string(c.attempt.GetRequestDigest()) {
		return errors.Wrap(ErrBadFrame, "other request's digest")
	}
	switch kind := frame.GetKind().(type) {
	case *wire.Frame_Started:
		return c.checkStarted(kind.Started)
	case *wire.Frame_Piece:
		return c.checkPiece(kind.Piece)
	case *wire.Frame_End:
		return c.checkEnd(kind.End)
	case *wire.Frame_Failed:
		return nil
	case *wire.Frame_Moved:
		return c.checkMoved(kind.Moved)
	default:
		return errors.Wrap(ErrBadFrame, "unknown kind of frame")
	}
}

func (c *frameChecker) checkStarted(started *wire.Started) error {
	if c.started {
		return errors.Wrap(ErrBadFrame, "second start")
	}
	if string(started.GetWeightsDigest()) != string(c.attempt.GetWeightsDigest()) {
		got, _ := gooseberrypass.DigestFromBytes(started.GetWeightsDigest())
		return errors.Wrapf(ErrBadFrame, "answered by weights %s", got.Short())
	}
	c.started = true
	return nil
}

func (c *frameChecker) checkPiece(piece *wire.Piece) error {
	if !c.started {
		return errors.Wrap(ErrBadFrame, "piece before start")
	}
	if piece.GetIndex() != c.next {
		return errors.Wrapf(ErrBadFrame, "piece %d, want %d", piece.GetIndex(), c.next)
	}
	c.length += int64(len(piece.GetText()))
	if c.length > maxAnswerBytes {
		return errors.Wrapf(ErrBadFrame, "answer longer than %d bytes", maxAnswerBytes)
	}
	c.next++
	_, _ = c.hash.Write(piece.GetText())
	return nil
}

func (c *frameChecker) checkEnd(end *wire.End) error {
	if !c.started {
		return errors.Wrap(ErrBadFrame, "end before start")
	}
	if end.GetPieces() != c.next-c.firstIndex || end.GetLength() != c.length {
		return errors.Wrapf(ErrBadFrame, "end after %d pieces, %d bytes, want %d, %d",
			c.next-c.firstIndex, c.length, end.GetPieces(), end.GetLength())
	}
	if string(end.GetDigest()) != string(c.hash.Sum(nil)) {
		return errors.Wrap(ErrBadFrame, "digest of the answer differs")
	}
	return nil
}

func (c *frameChecker) checkMoved(moved *wire.Moved) error {
	if !c.started || moved.GetNext() != c.next {
		return errors.Wrapf(ErrBadFrame, "moved at piece %d, want %d", moved.GetNext(), c.next)
	}
	return nil
}

// truncationError returns the error of a stream that ended with err before its end
// marker: io.ErrUnexpectedEOF for io.EOF, else err.
func truncationError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
