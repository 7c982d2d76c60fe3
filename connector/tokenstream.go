package connector

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// tokenBufferSize is the initial size of a stream's buffer in bytes.
const tokenBufferSize = 4 << 10

// A TokenStream decodes JSON lines of gooseberrypass.Token.
type TokenStream struct {
	body    io.ReadCloser
	done    bool
	scanner *bufio.Scanner
}

// NewTokenStream returns the stream of tokens in body.
func NewTokenStream(body io.ReadCloser) *TokenStream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, tokenBufferSize), maxTokenSize)
	scanner.Split(scanWholeLines)
	return &TokenStream{body: body, scanner: scanner}
}

// Next implements gooseberrypass.TokenStream. A line that is not a token or is
// too long is ErrBadAnswer; a body that breaks off is io.ErrUnexpectedEOF.
func (s *TokenStream) Next() (gooseberrypass.Token, error) {
	if s.done {
		return gooseberrypass.Token{}, io.EOF
	}
	if !s.scanner.Scan() {
		return gooseberrypass.Token{}, s.endError()
	}
	var token gooseberrypass.Token
	if err := json.Unmarshal(s.scanner.Bytes(), &token); err != nil {
		return gooseberrypass.Token{}, errors.Wrapf(ErrBadAnswer, "token: %v", err)
	}
	s.done = token.Last
	return token, nil
}

// Close implements gooseberrypass.TokenStream.
func (s *TokenStream) Close() error { return s.body.Close() }

// endError returns why the body ended before the last token.
func (s *TokenStream) endError() error {
	err := s.scanner.Err()
	switch {
	case err == nil:
		return io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrTooLong):
		return errors.Wrapf(ErrBadAnswer, "token: %v", err)
	default:
		return errors.Wrapf(io.ErrUnexpectedEOF, "%v", err)
	}
}

// scanWholeLines is bufio.ScanLines, except that it drops a last line without
// its end: it may be the beginning of a longer one.
func scanWholeLines(data []byte, _ bool) (advance int, token []byte, err error) { //nolint:nonamedreturns // as bufio.SplitFunc
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return 0, nil, nil
	}
	return end + 1, data[:end], nil
}

var _ gooseberrypass.TokenStream = (*TokenStream)(nil)
