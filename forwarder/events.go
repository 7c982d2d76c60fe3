package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	maxEventBytes   = 1 << 20 // limit of one event of a stream
	readBufferBytes = 2 << 10
)

// An event is one event of a stream as it was received.
type event struct {
	comment bool // consists of comments
	id      int  // index of the event, -1 if it has none
	raw     []byte
}

// An eventReader splits a text/event-stream into events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, readBufferBytes)}
}

// next returns the next complete event. It returns io.EOF after the last one and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	ev := event{comment: true, id: -1}
	lineStart := 0 // in ev.raw
	for {
		part, err := e.reader.ReadSlice('\n')
		ev.raw = append(ev.raw, part...)
		if len(ev.raw) >= maxEventBytes {
			return ev, errors.Errorf("event of more than %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue // the line is longer than the buffer
		}
		if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		line := ev.raw[lineStart:]
		lineStart = len(ev.raw)
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
				ev.id = n
			}
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
		ev.comment = ev.comment && line[0] == ':'
	}
}
