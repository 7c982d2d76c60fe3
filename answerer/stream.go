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

// Names of the server-sent events.
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

// An endEvent is the data of the event "end". Digest and Length, in bytes, are
// those of the complete text.
type endEvent struct {
	Digest  string `json:"digest"`
	Length  int64  `json:"length"`
	Outcome string `json:"outcome"`
	Pieces  int    `json:"pieces"`
}

// A streamAnswer writes an answer as server-sent events.
type streamAnswer struct {
	hash       hash.Hash
	incomplete []byte // start of a UTF-8 character that continues in the next piece
	index      int
	length     int64
	started    chan struct{}
	w          *io.PipeWriter
}

func newStreamAnswer(w *io.PipeWriter) *streamAnswer {
	return &streamAnswer{hash: sha256.New(), started: make(chan struct{}), w: w}
}

// Start implements gooseberrypass.Answer.
func (a *streamAnswer) Start(digest gooseberrypass.Digest) error {
	close(a.started)
	return writeEvent(a.w, eventStart, startEvent{Weights: digest.String()})
}

// Write implements gooseberrypass.Answer. A UTF-8 character that is split across
// two pieces is sent with the second one, as each event must be valid UTF-8.
func (a *streamAnswer) Write(piece []byte) error {
	text := append(a.incomplete, piece...) //nolint:gocritic // a.incomplete is replaced below
	complete := len(text) - incompleteSuffixLength(text)
	a.incomplete = bytes.Clone(text[complete:])
	text = text[:complete]
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
	if len(a.incomplete) > 0 {
		return errNotText
	}
	return writeEvent(a.w, eventEnd, endEvent{
		Digest:  gooseberrypass.Digest(a.hash.Sum(nil)).String(),
		Length:  a.length,
		Outcome: gooseberrypass.OutcomeAnswered.String(),
		Pieces:  a.index,
	})
}

// fail writes the event "failed" with the failure as its data.
func (a *streamAnswer) fail(failure *gooseberrypass.RequestError) error {
	body := newFailureBody(failure)
	return writeEvent(a.w, eventFailed, &body)
}

// incompleteSuffixLength returns the length in bytes of the incomplete UTF-8
// character at the end of text, or 0 if there is none.
func incompleteSuffixLength(text []byte) int {
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

// writeEvent writes one server-sent event in a single call of w.Write.
func writeEvent(w io.Writer, name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return errors.Wrapf(err, "encode event %s", name)
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, encoded)
	return err
}

// A bufferedAnswer keeps a complete answer in memory.
type bufferedAnswer struct {
	body    []byte
	ended   bool
	weights gooseberrypass.Digest
}

// maxAnswerSize is the largest answer that bufferedAnswer accepts, in bytes.
const maxAnswerSize = 32 << 20

// Start implements gooseberrypass.Answer.
func (a *bufferedAnswer) Start(digest gooseberrypass.Digest) error {
	a.weights = digest
	return nil
}

// Write implements gooseberrypass.Answer.
func (a *bufferedAnswer) Write(piece []byte) error {
	if len(a.body)+len(piece) > maxAnswerSize {
		return errors.Errorf("answer longer than %d bytes", maxAnswerSize)
	}
	a.body = append(a.body, piece...)
	return nil
}

// Restart implements gooseberrypass.Restarter. Until End the answer can be
// discarded, as nothing has been sent to the caller.
func (a *bufferedAnswer) Restart() bool {
	a.body = nil
	return !a.ended
}

// End implements gooseberrypass.Answer.
func (a *bufferedAnswer) End() error {
	a.ended = true
	return nil
}

var (
	_ gooseberrypass.Answer    = (*streamAnswer)(nil)
	_ gooseberrypass.Answer    = (*bufferedAnswer)(nil)
	_ gooseberrypass.Restarter = (*bufferedAnswer)(nil)
)
