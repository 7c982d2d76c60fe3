package answerer

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// errNotText is returned for an answer that is not valid UTF-8.
var errNotText = errors.New("the answer is not valid UTF-8 text")

// The events of a stream.
const (
	eventEnd    = "end"
	eventFailed = "failed"
	eventPiece  = "piece"
	eventStart  = "start"
)

// A startEvent is the data of the event "start".
type startEvent struct {
	Weights string `json:"weights"`
}

// A pieceEvent is the data of the event "piece".
type pieceEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// An endEvent is the data of the event "end". Length and digest are those of
// the whole text.
type endEvent struct {
	Digest  string `json:"digest"`
	Length  int64  `json:"length"`
	Outcome string `json:"outcome"`
	Pieces  int    `json:"pieces"`
}

// A streamAnswer writes an answer as server-sent events.
type streamAnswer struct {
	hash    hash.Hash
	index   int
	length  int64
	partial []byte // the begin of a character whose end has not come
	started chan struct{}
	w       *io.PipeWriter
}

func newStreamAnswer(w *io.PipeWriter) *streamAnswer {
	return &streamAnswer{hash: sha256.New(), started: make(chan struct{}), w: w}
}

// Start implements gooseberrypass.Answer.
func (a *streamAnswer) Start(digest gooseberrypass.Digest) error {
	close(a.started)
	return writeEvent(a.w, eventStart, startEvent{Weights: digest.String()})
}

// Write implements gooseberrypass.Answer. A character that is cut by the end of
// the piece goes out with the next one.
func (a *streamAnswer) Write(piece []byte) error {
	text := append(a.partial, piece...) //nolint:gocritic // partial is replaced below
	whole := len(text) - cutLength(text)
	a.partial = bytes.Clone(text[whole:])
	text = text[:whole]
	if !utf8.Valid(text) {
		return errNotText
	}
	if len(text) == 0 {
		return nil
	}
	_, _ = a.hash.Write(text)
	a.length += int64(len(text))
	event := pieceEvent{Index: a.index, Text: string(text)}
	a.index++
	return writeEvent(a.w, eventPiece, event)
}

// End implements gooseberrypass.Answer.
func (a *streamAnswer) End() error {
	if len(a.partial) > 0 {
		return errNotText
	}
	return writeEvent(a.w, eventEnd, endEvent{
		Digest:  gooseberrypass.Digest(a.hash.Sum(nil)).String(),
		Length:  a.length,
		Outcome: gooseberrypass.OutcomeAnswered.String(),
		Pieces:  a.index,
	})
}

// fail ends the stream with a typed failure.
func (a *streamAnswer) fail(failure *gooseberrypass.RequestError) error {
	body := failureBody(failure)
	return writeEvent(a.w, eventFailed, &body)
}

// cutLength returns the length of the incomplete character at the end of text.
func cutLength(text []byte) int {
	for n := 1; n < utf8.UTFMax && n <= len(text); n++ {
		b := text[len(text)-n]
		if utf8.RuneStart(b) {
			if utf8.FullRune(text[len(text)-n:]) {
				return 0
			}
			return n
		}
	}
	return 0
}

// writeEvent writes one server-sent event in one piece.
func writeEvent(w io.Writer, name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return errors.Wrapf(err, "encode event %s", name)
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, encoded)
	return err
}

// A wholeAnswer collects an answer.
type wholeAnswer struct {
	body    []byte
	ended   bool
	weights gooseberrypass.Digest
}

// maxAnswer is the longest answer in bytes.
const maxAnswer = 32 << 20

// Start implements gooseberrypass.Answer.
func (a *wholeAnswer) Start(digest gooseberrypass.Digest) error {
	a.weights = digest
	return nil
}

// Write implements gooseberrypass.Answer.
func (a *wholeAnswer) Write(piece []byte) error {
	if len(a.body)+len(piece) > maxAnswer {
		return errors.Errorf("answer longer than %d bytes", maxAnswer)
	}
	a.body = append(a.body, piece...)
	return nil
}

// Restart implements gooseberrypass.Restarter: the caller gets nothing before
// the end.
func (a *wholeAnswer) Restart() bool {
	a.body = nil
	return !a.ended
}

// End implements gooseberrypass.Answer.
func (a *wholeAnswer) End() error {
	a.ended = true
	return nil
}

var (
	_ gooseberrypass.Answer    = (*streamAnswer)(nil)
	_ gooseberrypass.Answer    = (*wholeAnswer)(nil)
	_ gooseberrypass.Restarter = (*wholeAnswer)(nil)
)
