package dialer

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrResponseTooLong is returned by reads of a response body beyond its limit.
var ErrResponseTooLong = errors.New("response is too long")

// LimitResponses returns a client that connects as client does and whose responses have
// bodies of at most limit bytes. It is for readers that read whole bodies, as the
// generated Twirp clients do.
func LimitResponses(client *http.Client, limit int64) *http.Client {
	limited := *client
	next := client.Transport
	if next == nil {
		next = http.DefaultTransport
	}
	limited.Transport = limitTransport{limit: limit, next: next}
	return &limited
}

// A limitTransport limits the bodies of responses.
type limitTransport struct {
	limit int64 // bytes
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t limitTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Client wraps it
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, left: t.limit}
	return resp, nil
}

// CloseIdleConnections is called by http.Client.
func (t limitTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// A limitedBody fails once more than a number of bytes were read.
type limitedBody struct {
	io.ReadCloser
	left int64 // negative once the limit was exceeded
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrResponseTooLong
	}
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n - 1, ErrResponseTooLong
	}
	return n, err
}

var _ http.RoundTripper = limitTransport{}
