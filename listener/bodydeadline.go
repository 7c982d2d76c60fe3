package listener

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// limitBodyTime wraps next with a read deadline for the request body. The deadline
// is removed at the end of the body, so that it does not cut off a long response.
func limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.ContentLength == 0 || control.SetReadDeadline(time.Now().Add(reserver.BodyTimeout)) != nil {
			next.ServeHTTP(w, r)
			return
		}
		r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
		next.ServeHTTP(w, r)
	})
}

// A deadlineBody removes the connection's read deadline at the end of the body.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
