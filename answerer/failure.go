package answerer

import (
	"context"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/api"
)

// statusOf maps the reason of a failure to an HTTP status code.
func statusOf(reason gooseberrypass.Reason) int {
	switch reason {
	case gooseberrypass.ReasonBadRequest:
		return http.StatusBadRequest
	case gooseberrypass.ReasonUnknownClient:
		return http.StatusUnauthorized
	case gooseberrypass.ReasonUnknownTarget:
		return http.StatusNotFound
	case gooseberrypass.ReasonKeyConflict:
		return http.StatusConflict
	case gooseberrypass.ReasonKeyExpired:
		return http.StatusGone
	case gooseberrypass.ReasonPoison:
		return http.StatusUnprocessableEntity
	case gooseberrypass.ReasonLimited:
		return http.StatusTooManyRequests
	case gooseberrypass.ReasonLeaving, gooseberrypass.ReasonLogDown, gooseberrypass.ReasonNoEndpoint,
		gooseberrypass.ReasonNotLoaded, gooseberrypass.ReasonOverloaded:
		return http.StatusServiceUnavailable
	case gooseberrypass.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// newFailureBody converts a failure to the body of an error response. A retry
// delay below 1 ms is rounded up to 1 ms, as 0 would mean that there is none.
func newFailureBody(failure *gooseberrypass.RequestError) api.Failure {
	body := api.Failure{
		Detail:  failure.Detail,
		Outcome: api.FailureOutcomeUnknown,
		Reason:  string(failure.Reason),
	}
	if failure.Outcome == gooseberrypass.OutcomeNotRun {
		body.Outcome = api.FailureOutcomeNotRun
	}
	if failure.RetryAfter > 0 {
		body.RetryAfterMs = api.NewOptInt64(max(failure.RetryAfter.Milliseconds(), 1))
	}
	return body
}

// newFailureResponse converts a failure to an error response. The Retry-After
// header is in seconds, rounded up.
func newFailureResponse(failure *gooseberrypass.RequestError) *api.FailureStatusCodeWithHeaders {
	response := &api.FailureStatusCodeWithHeaders{
		Response:   newFailureBody(failure),
		StatusCode: statusOf(failure.Reason),
	}
	if failure.RetryAfter > 0 {
		response.RetryAfter = api.NewOptInt(int((failure.RetryAfter + time.Second - 1) / time.Second))
	}
	return response
}

// writeDecodeError responds to a request that could not be decoded. The outcome
// is "not run", as such a request never reaches the filter chain.
func writeDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	failure := notRunError(gooseberrypass.ReasonBadRequest, err.Error())
	status := ogenerrors.ErrorCode(err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeFailure(w, status, failure)
}

func writeFailure(w http.ResponseWriter, status int, failure *gooseberrypass.RequestError) {
	body := newFailureBody(failure)
	encoded, err := body.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
