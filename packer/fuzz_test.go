package packer_test

import (
	"bytes"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/packer"
)

// FuzzManifest parses arbitrary bytes as a manifest. An accepted manifest must have
// consistent sizes and the digest of its bytes.
func FuzzManifest(f *testing.F) {
	p, err := packer.New(4)
	if err != nil {
		f.Fatal(err)
	}
	m, err := p.Pack(bytes.NewReader([]byte("0123456789")), "m", "1", gooseberrypass.Digest{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(m.Encoded())
	f.Add([]byte(`{"chunks":[{"digest":"","size":1}]}`))
	f.Add([]byte(`{"chunks":[{"size":9223372036854775807}]}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m, err := gooseberrypass.ParseManifest(encoded)
		if err != nil {
			return
		}
		last := m.Len() - 1
		if got, want := m.Offset(last)+m.Chunk(last).Size, m.Size(); got != want || got <= 0 {
			t.Errorf("got chunks up to %d of %d bytes", got, want)
		}
		if got, want := m.Digest(), gooseberrypass.DigestOf(encoded); got != want {
			t.Errorf("got digest %s, want %s", got, want)
		}
	})
}
