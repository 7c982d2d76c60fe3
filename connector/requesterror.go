package connector

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// A sendTrace tells whether a request can have left this process.
type sendTrace struct {
	connected  atomic.Bool
	connecting atomic.Bool
}

// attach returns ctx with the trace of one request.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.connecting.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// unsent reports whether the request certainly found no connection.
func (t *sendTrace) unsent() bool {
	return t.connecting.Load() && !t.connected.Load()
}

// requestError returns the failure of a request to an endpoint. Its outcome is
// "not run" only if the request was not sent or its status says so.
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
	if trace.unsent() {
		e.Outcome = gooseberrypass.OutcomeNotRun
	}
	return e
}

// statusOutcome returns what an endpoint's status promises. 503 promises
// nothing, since whatever stands between may have written it.
func statusOutcome(code int) (gooseberrypass.Outcome, gooseberrypass.Reason) {
	if code == http.StatusTooManyRequests {
		return gooseberrypass.OutcomeNotRun, gooseberrypass.ReasonOverloaded
	}
	return gooseberrypass.OutcomeUnknown, gooseberrypass.ReasonUpstream
}
