package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// An event is one event of a stream as it came, with its index, -1 for none.
type event struct {
	id  int
	raw []byte
}

// An eventReader splits a text/event-stream into whole events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next whole event. io.EOF follows the last; half an event at
// the end is io.ErrUnexpectedEOF.
func (e *eventReader) next() (event, error) {
	ev := event{id: -1}
	for {
		line, err := e.reader.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
			if len(ev.raw) < maxEvent {
				continue
			}
		}
		if len(ev.raw) >= maxEvent {
			return ev, errors.Errorf("event of more than %d bytes", maxEvent)
		}
		if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
				ev.id = n
			}
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
	}
}
