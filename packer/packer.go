// Package packer makes manifests from weights.
package packer

import (
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// DefaultChunkSize is the chunk size used if none is given, in bytes.
const DefaultChunkSize = 4 << 20

// ErrNoWeights is returned for weights of no bytes.
var ErrNoWeights = errors.New("no weights")

// ErrBadChunkSize is returned for a chunk size that no manifest may have.
var ErrBadChunkSize = errors.New("bad chunk size")

// A Packer splits weights into chunks of one size.
type Packer struct {
	chunkSize int64
}

// New returns a packer that makes chunks of chunkSize bytes; 0 stands for
// DefaultChunkSize.
func New(chunkSize int64) (*Packer, error) {
	if chunkSize == 0 {
		chunkSize = DefaultChunkSize
	}
	if chunkSize < 0 || chunkSize > gooseberrypass.MaxChunkSize {
		return nil, errors.Wrapf(ErrBadChunkSize, "%d bytes, want 1 to %d", chunkSize, gooseberrypass.MaxChunkSize)
	}
	return &Packer{chunkSize: chunkSize}, nil
}

// Pack reads weights to their end and returns the manifest of the version. It
// holds one chunk in memory at a time. base is the digest of the base model's
// manifest for an adapter, else zero.
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
