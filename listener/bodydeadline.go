package listener

import (
	"io"
	"net/http"
	"time"
)

// bodyTimeout bounds how long the body of a request may take to arrive.
const bodyTimeout = 30 * time.Second

// limitBodyTime returns next behind a deadline for reading the request's body.
// The deadline ends with the body, so that it does not touch a long answer.
func limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.ContentLength == 0 || control.SetReadDeadline(time.Now().Add(bodyTimeout)) != nil {
			next.ServeHTTP(w, r)
			return
		}
		r.Body = &timedBody{ReadCloser: r.Body, control: control}
		next.ServeHTTP(w, r)
	})
}

// A timedBody lifts the connection's read deadline at the end of the body.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
