package connector

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// An Origin is the client of the platform's origin of weights.
type Origin struct {
	client client
}

// NewOrigin returns a client of the origin at baseURL.
func NewOrigin(httpClient *http.Client, baseURL string) *Origin {
	return &Origin{client: newClient(httpClient, baseURL)}
}

// Manifest implements gooseberrypass.Origin.
func (o *Origin) Manifest(ctx context.Context, model, version string) ([]byte, error) {
	r, err := o.client.newRequest(ctx, http.MethodGet, versionPath(model, version)+"/manifest", nil)
	if err != nil {
		return nil, err
	}
	body, err := o.client.exchange(r, http.StatusOK, gooseberrypass.MaxManifestSize)
	return body, sourceError(err)
}

// ReadRange implements gooseberrypass.Origin. size is limited to
// gooseberrypass.MaxChunkSize.
func (o *Origin) ReadRange(ctx context.Context, model, version string, offset, size int64) ([]byte, error) {
	if offset < 0 || size <= 0 || size > gooseberrypass.MaxChunkSize {
		return nil, errors.Errorf("read %s %s: invalid range of %d bytes at offset %d", model, version, size, offset)
	}
	r, err := o.client.newRequest(ctx, http.MethodGet, versionPath(model, version)+"/weights", nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", offset, offset+size-1))
	resp, err := o.client.send(r, http.StatusPartialContent)
	if err != nil {
		return nil, sourceError(err)
	}
	defer closeBody(resp)
	want := fmt.Sprintf("bytes %d-%d/", offset, offset+size-1)
	if got := resp.Header.Get("Content-Range"); !strings.HasPrefix(got, want) {
		return nil, errors.Wrapf(ErrInvalidResponse, "%s: Content-Range is %q, want prefix %q", operation(r), got, want)
	}
	return readExactly(resp, size)
}

// readExactly reads a body of size bytes. A shorter body is io.ErrUnexpectedEOF, a
// longer one ErrInvalidResponse.
func readExactly(resp *http.Response, size int64) ([]byte, error) {
	body, err := readAll(resp, size)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) < size {
		return nil, errors.Wrapf(io.ErrUnexpectedEOF, "response body truncated: got %d of %d bytes", len(body), size)
	}
	return body, nil
}

// sourceError wraps err in ErrChunkNotHeld for 404 and in ErrSourceBusy for 429 and
// 503. Other errors are returned unchanged.
func sourceError(err error) error {
	switch statusCode(err) {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %w", gooseberrypass.ErrChunkNotHeld, err)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", gooseberrypass.ErrSourceBusy, err)
	default:
		return err
	}
}

func versionPath(model, version string) string {
	return "/models/" + url.PathEscape(model) + "/versions/" + url.PathEscape(version)
}

var _ gooseberrypass.Origin = (*Origin)(nil)
