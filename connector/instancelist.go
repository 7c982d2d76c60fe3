package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// unchangedCost is about what an answer without a list takes, in bytes.
const unchangedCost = 512

// An InstanceList is the platform's list of instances. It asks for the list only
// if that has changed, where the platform gives an entity tag. It is safe for
// use by several goroutines.
type InstanceList struct {
	client client

	mu      sync.Mutex
	listing gooseberrypass.Listing // the last, which has the tag
	tag     string
}

// NewInstanceList returns the list at baseURL.
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
	kept, tag := l.kept()
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	resp, err := l.client.send(r, http.StatusOK)
	if tag != "" && statusCode(err) == http.StatusNotModified {
		kept.TransferBytes = unchangedCost
		return kept, nil
	}
	if err != nil {
		return gooseberrypass.Listing{}, err
	}
	defer closeBody(resp)
	return l.decode(resp)
}

func (l *InstanceList) kept() (gooseberrypass.Listing, string) {
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
		return gooseberrypass.Listing{}, errors.Wrapf(ErrBadAnswer, "GET /instances: %v", err)
	}
	listing.TransferBytes = int64(len(body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listing, l.tag = listing, resp.Header.Get("ETag")
	return listing, nil
}

var _ gooseberrypass.InstanceList = (*InstanceList)(nil)
