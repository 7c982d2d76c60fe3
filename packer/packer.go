// Package packer creates manifests from weights.
package packer

import (
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// DefaultChunkSize is the default chunk size in bytes.
const DefaultChunkSize = 4 << 20

// ErrNoWeights is returned for empty weights.
var ErrNoWeights = errors.New("no weights")

// ErrBadChunkSize is returned for a chunk size that is out of range, or that gives
// more chunks than a manifest may have.
var ErrBadChunkSize = errors.New("bad chunk size")

// A Packer splits weights into chunks of a fixed size. The last one may be smaller.
type Packer struct {
	chunkSize int64 // bytes
}

// New returns a packer for chunks of chunkSize bytes, or DefaultChunkSize if it is
// 0.
func New(chunkSize int64) (*Packer, error) {
	if chunkSize == 0 {
		chunkSize = DefaultChunkSize
	}
	if chunkSize < 0 || chunkSize > gooseberrypass.MaxChunkSize {
		return nil, errors.Wrapf(ErrBadChunkSize, "%d bytes, want 1 to %d", chunkSize, gooseberrypass.MaxChunkSize)
	}
	return &Packer{chunkSize: chunkSize}, nil
}

// Pack reads all of weights and returns the manifest of the version. It keeps one
// chunk in memory at a time. For an adapter, base is the digest of the base model's
// manifest, else zero.
func (p *Packer) Pack(weights io.Reader, model, version string, base gooseberrypass.Digest) (*gooseberrypass.Manifest, error) {
	var chunks []gooseberrypass.Chunk
	buf := make([]byte, p.chunkSize)
	for range gooseberrypass.MaxChunks {
		n, err := io.ReadFull(weights, buf)
		if n > 0 {
			chunks = append(chunks, gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf(buf[:n]), Size: int64(n)})
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return manifest(model, version, base, chunks)
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read weights at byte %d", int64(len(chunks))*p.chunkSize)
		}
	}
	if n, _ := io.ReadFull(weights, buf[:1]); n == 0 {
		return manifest(model, version, base, chunks)
	}
	return nil, errors.Wrapf(ErrBadChunkSize, "more than %d chunks of %d bytes", gooseberrypass.MaxChunks, p.chunkSize)
}

func manifest(model, version string, base gooseberrypass.Digest, chunks []gooseberrypass.Chunk) (*gooseberrypass.Manifest, error) {
	if len(chunks) == 0 {
		return nil, ErrNoWeights
	}
	return gooseberrypass.NewManifest(model, version, base, chunks)
}
