package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// notModifiedCost is the approximate size of a 304 response in bytes.
const notModifiedCost = 512

// An InstanceList is the client of the platform's list of instances. If the
// platform sends an ETag, the list is transferred only when it has changed. It is
// safe for concurrent use.
type InstanceList struct {
	client client

	mu      sync.Mutex
	listing gooseberrypass.Listing // last listing received
	tag     string                 // ETag of listing, "" for none
}

// NewInstanceList returns a client of the list at baseURL.
func NewInstanceList(httpClient *http.Client, baseURL string) *InstanceList {
	return &InstanceList{client: newClient(httpClient, baseURL)}
}

// List implements gooseberrypass.InstanceList.
func (l *InstanceList) List(ctx context.Context) (gooseberrypass.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := l.client.newRequest(ctx, http.MethodGet, "/instances", nil)
	if err != nil {
		return gooseberrypass.Listing{}, err
	}
	cached, tag := l.cached()
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	resp, err := l.client.send(r, http.StatusOK)
	if tag != "" && statusCode(err) == http.StatusNotModified {
		cached.TransferBytes = notModifiedCost
		return cached, nil
	}
	if err != nil {
		return gooseberrypass.Listing{}, err
	}
	defer closeBody(resp)
	return l.decode(resp)
}

func (l *InstanceList) cached() (gooseberrypass.Listing, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listing, l.tag
}

func (l *InstanceList) decode(resp *http.Response) (gooseberrypass.Listing, error) {
	body, err := readAll(resp, maxListSize)
	if err != nil {
		return gooseberrypass.Listing{}, err
	}
	var listing gooseberrypass.Listing
	if err := json.Unmarshal(body, &listing); err != nil {
		return gooseberrypass.Listing{}, errors.Wrapf(ErrInvalidResponse, "GET /instances: %v", err)
	}
	listing.TransferBytes = int64(len(body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listing, l.tag = listing, resp.Header.Get("ETag")
	return listing, nil
}

var _ gooseberrypass.InstanceList = (*InstanceList)(nil)
