package gooseberrypass

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// The limits of manifests.
const (
	MaxChunkSize    = 64 << 20 // bytes
	MaxManifestSize = 16 << 20 // bytes, encoded
	MaxChunks       = 1 << 17

	maxManifestHead = 4 << 10 // bytes, of a manifest without chunks
	maxEncodedChunk = 256     // bytes, with the names of its fields
)

// ManifestLimit returns the most bytes that an encoded manifest takes, which are
// MaxManifestSize if the number of its chunks is not known, 0.
func ManifestLimit(chunks int) int64 {
	if chunks <= 0 || chunks > MaxChunks {
		return MaxManifestSize
	}
	return min(maxManifestHead+int64(chunks)*maxEncodedChunk, MaxManifestSize)
}

// ErrBadManifest is wrapped by the errors for invalid manifests.
var ErrBadManifest = errors.New("invalid manifest")

// A Chunk is a consecutive part of the weights of a model version.
type Chunk struct {
	Digest Digest `json:"digest"`
	Size   int64  `json:"size"` // bytes
}

// A Manifest lists the chunks of one model version in order. The digest of its
// encoded form identifies the contents of the version. It is immutable.
type Manifest struct {
	base    Digest
	chunks  []Chunk
	digest  Digest
	encoded []byte
	model   string
	offsets []int64
	size    int64
	version string
}

type manifestDocument struct {
	Base    Digest  `json:"base,omitzero"`
	Chunks  []Chunk `json:"chunks"`
	Model   string  `json:"model"`
	Version string  `json:"version"`
}

// NewManifest returns the manifest of a version that consists of chunks. base is the
// digest of the base model's manifest for an adapter, zero for a model.
func NewManifest(model, version string, base Digest, chunks []Chunk) (*Manifest, error) {
	doc := manifestDocument{Base: base, Chunks: chunks, Model: model, Version: version}
	encoded, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Wrap(err, "encode manifest")
	}
	return ParseManifest(encoded)
}

// ParseManifest decodes and validates a manifest. Its errors wrap ErrBadManifest.
func ParseManifest(encoded []byte) (*Manifest, error) {
	if len(encoded) > MaxManifestSize {
		return nil, errors.Wrapf(ErrBadManifest, "%d bytes, want at most %d", len(encoded), MaxManifestSize)
	}
	var doc manifestDocument
	if err := json.Unmarshal(encoded, &doc); err != nil {
		return nil, errors.Wrapf(ErrBadManifest, "%v", err)
	}
	if len(doc.Chunks) == 0 || len(doc.Chunks) > MaxChunks {
		return nil, errors.Wrapf(ErrBadManifest, "%d chunks, want 1 to %d", len(doc.Chunks), MaxChunks)
	}
	m := &Manifest{
		base:    doc.Base,
		chunks:  doc.Chunks,
		digest:  DigestOf(encoded),
		encoded: encoded,
		model:   doc.Model,
		offsets: make([]int64, 0, len(doc.Chunks)),
		version: doc.Version,
	}
	for i, c := range doc.Chunks {
		if c.Size <= 0 || c.Size > MaxChunkSize || c.Digest.IsZero() {
			return nil, errors.Wrapf(ErrBadManifest, "chunk %d: invalid size (%d bytes) or digest (%s)", i, c.Size, c.Digest)
		}
		m.offsets = append(m.offsets, m.size)
		m.size += c.Size
	}
	return m, nil
}

// Base returns the digest of the base model's manifest for an adapter, zero for a
// model.
func (m *Manifest) Base() Digest { return m.base }

// Chunk returns the i-th chunk.
func (m *Manifest) Chunk(i int) Chunk { return m.chunks[i] }

// Digest returns the digest of the encoded manifest.
func (m *Manifest) Digest() Digest { return m.digest }

// Encoded returns the encoded manifest. Callers must not modify it.
func (m *Manifest) Encoded() []byte { return m.encoded }

// Len returns the number of chunks.
func (m *Manifest) Len() int { return len(m.chunks) }

// Model returns the name of the model that was given when the manifest was created.
func (m *Manifest) Model() string { return m.model }

// Offset returns the offset of the i-th chunk in the weights, in bytes.
func (m *Manifest) Offset(i int) int64 { return m.offsets[i] }

// Size returns the size of the weights in bytes.
func (m *Manifest) Size() int64 { return m.size }

// Version returns the name of the version that was given when the manifest was
// created.
func (m *Manifest) Version() string { return m.version }
