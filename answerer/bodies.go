package answerer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// bodyRetryAfter is the delay after which a caller whose body got no memory may retry. Bodies
// in progress end or are given up within a second.
const bodyRetryAfter = time.Second

// A bodyReader reads the bodies of requests into reserved memory before they are decoded.
type bodyReader struct {
	limit   int64 // largest body, in bytes
	memory  *reserver.Budget
	next    http.Handler
	refused func(reason string)
}

// ServeHTTP implements http.Handler.
func (b *bodyReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		b.next.ServeHTTP(w, r)
		return
	}
	control := http.NewResponseController(w)
	endReads := func() { _ = control.SetReadDeadline(time.Now()) } // not supported by readers without a connection
	memory := b.memory.OpenBody(r.Context(), endReads)
	defer memory.Close()
	body, err := readBody(r.Context(), r, memory, b.limit)
	if err != nil {
		endReads() // net/http would read on at the end of the request
		b.refuse(w, err)
		return
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	b.next.ServeHTTP(w, r)
}

// readBody reads a body and reserves as much memory again for the decoded copy.
func readBody(ctx context.Context, r *http.Request, memory *reserver.Reservation, limit int64) ([]byte, error) {
	body, err := memory.ReadBody(ctx, r.Body, r.ContentLength, limit)
	if err != nil {
		return nil, err //nolint:wrapcheck // told apart by the caller
	}
	return body, memory.Reserve(ctx, int64(len(body))) //nolint:wrapcheck // as above
}

// refuse responds to a request whose body was not read in full, and closes the connection.
func (b *bodyReader) refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	failure := notRunError(gooseberrypass.ReasonBadRequest, err.Error())
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, reserver.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
		b.refused(reserver.ReasonBodyTooLarge)
	case errors.Is(err, reserver.ErrGivenUp):
		status = http.StatusRequestTimeout
		b.refused(reserver.ReasonBodyStalled)
	case errors.Is(err, reserver.ErrShort):
		failure.Reason, status = gooseberrypass.ReasonOverloaded, http.StatusServiceUnavailable
		b.refused(reserver.ReasonBodyMemory)
	case errors.Is(err, context.Canceled): // the process stops, or the caller left
		failure.Reason, status = gooseberrypass.ReasonOverloaded, http.StatusServiceUnavailable
	}
	if status == http.StatusRequestTimeout || status == http.StatusServiceUnavailable {
		failure.RetryAfter = bodyRetryAfter
		w.Header().Set("Retry-After", strconv.Itoa(int(bodyRetryAfter.Seconds())))
	}
	writeFailure(w, status, failure)
}
