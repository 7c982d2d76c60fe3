package connector

import (
	"context"
	"net/http"

	"github.com/gooseberrypass/gooseberrypass"
)

// A WeightStore is the client of the platform's rate-limited store of chunks.
type WeightStore struct {
	client client
}

// NewWeightStore returns a client of the store at baseURL.
func NewWeightStore(httpClient *http.Client, baseURL string) *WeightStore {
	return &WeightStore{client: newClient(httpClient, baseURL)}
}

// Chunk implements gooseberrypass.WeightStore.
func (s *WeightStore) Chunk(ctx context.Context, digest gooseberrypass.Digest) ([]byte, error) {
	r, err := s.client.newRequest(ctx, http.MethodGet, chunkPath(digest), nil)
	if err != nil {
		return nil, err
	}
	body, err := s.client.exchange(r, http.StatusOK, gooseberrypass.MaxChunkSize)
	return body, sourceError(err)
}

// PutChunk implements gooseberrypass.WeightStore.
func (s *WeightStore) PutChunk(ctx context.Context, digest gooseberrypass.Digest, body []byte) error {
	r, err := s.client.newRequest(ctx, http.MethodPut, chunkPath(digest), body)
	if err != nil {
		return err
	}
	_, err = s.client.exchange(r, http.StatusNoContent, maxDetailSize)
	return sourceError(err)
}

func chunkPath(digest gooseberrypass.Digest) string {
	return "/chunks/" + digest.String()
}

var _ gooseberrypass.WeightStore = (*WeightStore)(nil)
