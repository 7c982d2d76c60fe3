// Package connector implements HTTP clients of the platform: log, origin, weight
// store, instance list, engine and plain service. docs/PLATFORM.md describes the
// protocols. Every client limits the size of the responses it reads and follows
// no redirects.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Limits of response bodies, in bytes.
const (
	maxBatchSize  = 32 << 20
	maxCallSize   = 16 << 20
	maxDetailSize = 512
	maxEventsSize = 4 << 20
	maxKVSize     = 64 << 20
	maxListSize   = 16 << 20
	maxStateSize  = 4 << 20
	maxTokenSize  = 1 << 20
)

// callTimeout bounds a request with a small response, if its context has no
// earlier deadline.
const callTimeout = 10 * time.Second

// ErrInvalidResponse is returned for a response that violates the platform's
// protocol or exceeds a size limit.
var ErrInvalidResponse = errors.New("bad answer of the platform")

// A StatusError is a response with an unexpected HTTP status.
type StatusError struct {
	Code       int
	Detail     string        // beginning of the response body
	Operation  string        // method and path
	RetryAfter time.Duration // delay in the Retry-After header, 0 for none
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Operation, e.Code, e.Detail)
}

// A client sends requests to one base URL.
type client struct {
	base string
	http *http.Client
}

func newClient(httpClient *http.Client, baseURL string) client {
	c := *httpClient
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client{base: strings.TrimRight(baseURL, "/"), http: &c}
}

// newSingleUseClient returns a client whose connections carry one request each. Responses of
// endpoints do not say which request they answer, so that on a kept connection a late copy of
// an earlier response would be taken for the next one.
func newSingleUseClient(httpClient *http.Client, baseURL string) client {
	c := newClient(httpClient, baseURL)
	next := c.http.Transport
	if next == nil {
		next = http.DefaultTransport
	}
	if t, ok := next.(*http.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		c.http.Transport = t
	}
	return c
}

// send sends a request and returns the response if its status is want. Any other
// status is a *StatusError. The caller closes the body.
func (c client) send(r *http.Request, want int) (*http.Response, error) {
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode == want {
		return resp, nil
	}
	defer closeBody(resp)
	return nil, newStatusError(r, resp)
}

// exchange sends a request and returns the response body of at most limit bytes.
func (c client) exchange(r *http.Request, want int, limit int64) ([]byte, error) {
	resp, err := c.send(r, want)
	if err != nil {
		return nil, err
	}
	defer closeBody(resp)
	return readAll(resp, limit)
}

// exchangeJSON sends a request and decodes the JSON response into result.
func (c client) exchangeJSON(r *http.Request, want int, limit int64, result any) error {
	body, err := c.exchange(r, want, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Wrapf(ErrInvalidResponse, "%s: %v", operation(r), err)
	}
	return nil
}

func (c client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s%s", method, c.base, path)
	}
	return r, nil
}

func (c client) newJSONRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", path)
	}
	r, err := c.newRequest(ctx, method, path, encoded)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func newStatusError(r *http.Request, resp *http.Response) *StatusError {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailSize))
	return &StatusError{
		Code:       resp.StatusCode,
		Detail:     strings.TrimSpace(string(detail)),
		Operation:  operation(r),
		RetryAfter: parseRetryAfter(resp.Header.Get("Retry-After")),
	}
}

func operation(r *http.Request) string {
	return r.Method + " " + r.URL.Path
}

// parseRetryAfter returns the duration in a Retry-After header that gives seconds,
// and 0 for a date or an invalid value.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.ParseUint(header, 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readAll reads a body to its end. A body of more than limit bytes is
// ErrInvalidResponse.
func readAll(resp *http.Response, limit int64) ([]byte, error) {
	var body bytes.Buffer
	if resp.ContentLength > 0 {
		body.Grow(int(min(resp.ContentLength, limit)) + bytes.MinRead)
	}
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, limit+1)); err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(body.Len()) > limit {
		return nil, errors.Wrapf(ErrInvalidResponse, "more than %d bytes", limit)
	}
	return body.Bytes(), nil
}

func closeBody(resp *http.Response) {
	_ = resp.Body.Close()
}

// statusCode returns the HTTP status of a *StatusError, 0 for any other error.
func statusCode(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return 0
}
