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

// statusOf returns the HTTP status that stands for a reason.
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

// failureBody returns the body that tells a caller of a failure.
func failureBody(failure *gooseberrypass.RequestError) api.Failure {
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

// failureResponse returns the whole response that tells a caller of a failure.
func failureResponse(failure *gooseberrypass.RequestError) *api.FailureStatusCodeWithHeaders {
	response := &api.FailureStatusCodeWithHeaders{
		Response:   failureBody(failure),
		StatusCode: statusOf(failure.Reason),
	}
	if failure.RetryAfter > 0 {
		response.RetryAfter = api.NewOptInt(int((failure.RetryAfter + time.Second - 1) / time.Second))
	}
	return response
}

// writeDecodeError answers a request that could not be decoded. Nothing of it
// was passed on.
func writeDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	failure := notRun(gooseberrypass.ReasonBadRequest, err.Error())
	status := ogenerrors.ErrorCode(err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeFailure(w, status, failure)
}

func writeFailure(w http.ResponseWriter, status int, failure *gooseberrypass.RequestError) {
	body := failureBody(failure)
	encoded, err := body.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
