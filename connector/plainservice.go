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

// The headers of a call.
const (
	HeaderAttemptID      = "Attempt-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// A PlainService is a service beside the model engines.
type PlainService struct {
	client client
}

// NewPlainService returns the service at baseURL.
func NewPlainService(httpClient *http.Client, baseURL string) *PlainService {
	return &PlainService{client: newClient(httpClient, baseURL)}
}

// Call implements gooseberrypass.PlainService. Its errors are
// *gooseberrypass.RequestError: "not run" if the call was not sent or the
// service refused it with 429, else "unknown".
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
	setOnceBody(r, call.Body)
	r.Header.Set(HeaderAttemptID, call.AttemptID)
	if call.Key != "" {
		r.Header.Set(HeaderIdempotencyKey, call.Key)
	}
	return r, nil
}

// setOnceBody gives r a body that cannot be read twice. net/http sends a
// request with an Idempotency-Key again by itself when a kept connection breaks
// before the answer, but only if it can read the body again.
func setOnceBody(r *http.Request, body []byte) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.GetBody = nil
}

var _ gooseberrypass.PlainService = (*PlainService)(nil)
