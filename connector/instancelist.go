package connector

import (
	"context"
	"net/http"

	"github.com/gooseberrypass/gooseberrypass"
)

// An InstanceList is the platform's list of instances.
type InstanceList struct {
	client client
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
	var listing gooseberrypass.Listing
	if err := l.client.exchangeJSON(r, http.StatusOK, maxListSize, &listing); err != nil {
		return gooseberrypass.Listing{}, err
	}
	return listing, nil
}

var _ gooseberrypass.InstanceList = (*InstanceList)(nil)
