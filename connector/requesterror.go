package connector

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// A sendTrace records whether a request may have left this process.
type sendTrace struct {
	connected  atomic.Bool // set when a connection was obtained
	connecting atomic.Bool // set when a connection was requested
}

// attach returns a context that records the sending of one request in t.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.connecting.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// certainlyUnsent reports whether the request got no connection, so that it
// cannot have been sent.
func (t *sendTrace) certainlyUnsent() bool {
	return t.connecting.Load() && !t.connected.Load()
}

// requestError converts the error of a request to an endpoint. The outcome is
// "not run" only if the request was not sent or the response status says so.
func requestError(trace *sendTrace, err error) *gooseberrypass.RequestError {
	e := &gooseberrypass.RequestError{
		Detail:  err.Error(),
		Outcome: gooseberrypass.OutcomeUnknown,
		Reason:  gooseberrypass.ReasonUpstream,
	}
	var status *StatusError
	if errors.As(err, &status) {
		e.RetryAfter = status.RetryAfter
		e.Outcome, e.Reason = statusOutcome(status.Code)
	}
	if trace.certainlyUnsent() {
		e.Outcome = gooseberrypass.OutcomeNotRun
	}
	return e
}

// statusOutcome returns the outcome and reason that a status implies. 503 does not
// imply "not run", since an intermediary may have sent it.
func statusOutcome(code int) (gooseberrypass.Outcome, gooseberrypass.Reason) {
	if code == http.StatusTooManyRequests {
		return gooseberrypass.OutcomeNotRun, gooseberrypass.ReasonOverloaded
	}
	return gooseberrypass.OutcomeUnknown, gooseberrypass.ReasonUpstream
}
