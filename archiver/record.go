package archiver

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// ErrBadRecord is wrapped by the errors for records that are no manifest of their version.
var ErrBadRecord = errors.New("invalid record of a manifest")

// A record is the value of an archived manifest. Its digest is that of the manifest as it
// is encoded elsewhere, which takes more than twice as many bytes.
type record struct {
	Base    gooseberrypass.Digest `json:"base,omitzero"`
	Digest  gooseberrypass.Digest `json:"digest"`
	Digests []byte                `json:"digests"` // of the chunks, one after another
	Size    int64                 `json:"size,omitempty"`
	Sizes   []int64               `json:"sizes,omitempty"` // of the chunks, if they differ
}

func encodeRecord(m *gooseberrypass.Manifest) ([]byte, error) {
	r := record{Base: m.Base(), Digest: m.Digest(), Digests: make([]byte, 0, m.Len()*gooseberrypass.DigestSize)}
	sizes := make([]int64, 0, m.Len())
	for i := range m.Len() {
		c := m.Chunk(i)
		r.Digests = append(r.Digests, c.Digest[:]...)
		sizes = append(sizes, c.Size)
	}
	if len(slices.Compact(slices.Clone(sizes))) == 1 {
		r.Size = sizes[0]
	} else {
		r.Sizes = sizes
	}
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode record of a manifest")
}

// decodeRecord decodes and verifies the record of a version. Its errors wrap ErrBadRecord.
func decodeRecord(value []byte, model string, version int) (*gooseberrypass.Manifest, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrapf(ErrBadRecord, "%v", err)
	}
	count := len(r.Digests) / gooseberrypass.DigestSize
	if len(r.Digests)%gooseberrypass.DigestSize != 0 || count > gooseberrypass.MaxChunks || r.Sizes != nil && len(r.Sizes) != count {
		return nil, errors.Wrapf(ErrBadRecord, "%d bytes of digests and %d sizes", len(r.Digests), len(r.Sizes))
	}
	chunks := make([]gooseberrypass.Chunk, count)
	for i := range chunks {
		chunks[i].Size = r.Size
		if r.Sizes != nil {
			chunks[i].Size = r.Sizes[i]
		}
		copy(chunks[i].Digest[:], r.Digests[i*gooseberrypass.DigestSize:])
	}
	m, err := gooseberrypass.NewManifest(model, strconv.Itoa(version), r.Base, chunks)
	if err != nil {
		return nil, errors.Wrapf(ErrBadRecord, "%v", err)
	}
	if m.Digest() != r.Digest {
		return nil, errors.Wrapf(ErrBadRecord, "manifest has digest %s, want %s", m.Digest().Short(), r.Digest.Short())
	}
	return m, nil
}
