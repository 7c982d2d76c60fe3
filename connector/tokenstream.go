package connector

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// tokenBufferSize is the initial size of the buffer of a stream in bytes.
const tokenBufferSize = 4 << 10

// A TokenStream decodes a response body with one gooseberrypass.Token as JSON on
// each line.
type TokenStream struct {
	body    io.ReadCloser
	done    bool // set when the last token was returned
	scanner *bufio.Scanner
}

// NewTokenStream returns the stream of the tokens in body, which Close closes.
func NewTokenStream(body io.ReadCloser) *TokenStream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, tokenBufferSize), maxTokenSize)
	scanner.Split(scanTerminatedLines)
	return &TokenStream{body: body, scanner: scanner}
}

// Next implements gooseberrypass.TokenStream. A line that is malformed or too
// long is ErrInvalidResponse. A body that ends before the last token is
// io.ErrUnexpectedEOF.
func (s *TokenStream) Next() (gooseberrypass.Token, error) {
	if s.done {
		return gooseberrypass.Token{}, io.EOF
	}
	if !s.scanner.Scan() {
		return gooseberrypass.Token{}, s.endError()
	}
	var token gooseberrypass.Token
	if err := json.Unmarshal(s.scanner.Bytes(), &token); err != nil {
		return gooseberrypass.Token{}, errors.Wrapf(ErrInvalidResponse, "token: %v", err)
	}
	s.done = token.Last
	return token, nil
}

// Close implements gooseberrypass.TokenStream.
func (s *TokenStream) Close() error { return s.body.Close() }

// endError returns the error of a body that ended before the last token.
func (s *TokenStream) endError() error {
	err := s.scanner.Err()
	switch {
	case err == nil:
		return io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Wrapf(ErrInvalidResponse, "token: %v", err)
	default:
		return errors.Wrapf(io.ErrUnexpectedEOF, "%v", err)
	}
}

// scanTerminatedLines is like bufio.ScanLines, but drops a final line without a
// newline, which may be truncated.
func scanTerminatedLines(data []byte, _ bool) (advance int, token []byte, err error) { //nolint:nonamedreturns // signature of bufio.SplitFunc
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return 0, nil, nil
	}
	return end + 1, data[:end], nil
}

var _ gooseberrypass.TokenStream = (*TokenStream)(nil)
