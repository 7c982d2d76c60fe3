package connector

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// Headers of a call.
const (
	HeaderAttemptID      = "Attempt-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// A PlainService is the client of a service that is not a model engine.
type PlainService struct {
	client client
}

// NewPlainService returns a client of the service at baseURL.
func NewPlainService(httpClient *http.Client, baseURL string) *PlainService {
	return &PlainService{client: newSingleUseClient(httpClient, baseURL)}
}

// Call implements gooseberrypass.PlainService. Errors are
// *gooseberrypass.RequestError, with outcome "not run" if the call was not sent or
// was refused with 429, and "unknown" otherwise.
func (s *PlainService) Call(ctx context.Context, call gooseberrypass.ServiceCall) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &gooseberrypass.RequestError{
			Detail:  errors.Wrap(err, "call not sent").Error(),
			Outcome: gooseberrypass.OutcomeNotRun,
			Reason:  gooseberrypass.ReasonDeadline,
		}
	}
	var trace sendTrace
	r, err := s.newCall(trace.attach(ctx), call)
	if err != nil {
		return nil, &gooseberrypass.RequestError{
			Detail:  err.Error(),
			Outcome: gooseberrypass.OutcomeNotRun,
			Reason:  gooseberrypass.ReasonBadRequest,
		}
	}
	body, err := s.client.exchange(r, http.StatusOK, maxCallSize)
	if err != nil {
		return nil, requestError(&trace, err)
	}
	return body, nil
}

func (s *PlainService) newCall(ctx context.Context, call gooseberrypass.ServiceCall) (*http.Request, error) {
	r, err := s.client.newRequest(ctx, http.MethodPost, "/calls/"+url.PathEscape(call.Call), nil)
	if err != nil {
		return nil, err
	}
	setNonReplayableBody(r, call.Body)
	r.Header.Set(HeaderAttemptID, call.AttemptID)
	if call.Key != "" {
		r.Header.Set(HeaderIdempotencyKey, call.Key)
	}
	return r, nil
}

// setNonReplayableBody gives r a body that can be read only once, so that net/http
// cannot retry the request. It would otherwise resend a request that has an
// Idempotency-Key when a reused connection breaks before the response.
func setNonReplayableBody(r *http.Request, body []byte) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.GetBody = nil
}

var _ gooseberrypass.PlainService = (*PlainService)(nil)
