package gooseberrypass

import (
	"context"

	"github.com/pkg/errors"
)

// ErrChunkNotHeld is returned by a source that does not have the requested chunk.
var ErrChunkNotHeld = errors.New("chunk not held")

// ErrSourceBusy is returned by a source that refused a read because of its rate limit
// or load.
var ErrSourceBusy = errors.New("source busy")

// An Origin is the authoritative source of weights.
type Origin interface {
	// Manifest returns the encoded manifest of a model version.
	Manifest(ctx context.Context, model, version string) ([]byte, error)

	// ReadRange returns size bytes of the weights, starting at offset. The bytes
	// are not verified.
	ReadRange(ctx context.Context, model, version string, offset, size int64) ([]byte, error)
}

// A WeightStore is the platform's rate-limited chunk store. The chunks that it returns
// are not verified.
type WeightStore interface {
	Chunk(ctx context.Context, digest Digest) ([]byte, error)
	PutChunk(ctx context.Context, digest Digest, body []byte) error
}
