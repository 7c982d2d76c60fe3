package forwarder

import (
	"io"

	"github.com/pkg/errors"
)

// firstAnswerBytes is the size of the first buffer of an answer.
const firstAnswerBytes = 4 << 10

// bufferAnswer reads the body of an answer and reports whether that is all of it. It stops
// after MaxBufferedAnswer bytes, or where no memory is left: the rest is then delivered as it
// arrives. Memory is reserved for each buffer, also while the one before is copied.
func (r *request) bufferAnswer(body io.Reader) ([]byte, bool, error) {
	limit := int(r.forwarder.settings.MaxBufferedAnswer)
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(2*cap(buf), firstAnswerBytes), limit)
			if size == len(buf) || !r.reserve(size) {
				return buf, false, nil
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, len(buf) < limit, nil
		}
		if err != nil {
			return nil, false, err //nolint:wrapcheck // wrapped by the caller
		}
	}
}

// reserve reserves memory for a part of the answer.
func (r *request) reserve(size int) bool {
	return r.proxyRequest.Memory == nil || r.proxyRequest.Memory.TryReserve(int64(size))
}
