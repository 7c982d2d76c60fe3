package packer_test

import (
	"bytes"
	"errors"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/packer"
)

func TestPackCoversWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "weights")
		p, err := packer.New(rapid.Int64Range(1, 40).Draw(t, "chunk size"))
		if err != nil {
			t.Fatal(err)
		}
		m, err := p.Pack(iotest.OneByteReader(bytes.NewReader(weights)), "m", "1", gooseberrypass.Digest{})
		if err != nil {
			t.Fatal(err)
		}
		if got, want := m.Size(), int64(len(weights)); got != want {
			t.Fatalf("got size %d, want %d", got, want)
		}
		for i := range m.Len() {
			c := m.Chunk(i)
			if got, want := c.Digest, gooseberrypass.DigestOf(weights[m.Offset(i):m.Offset(i)+c.Size]); got != want {
				t.Fatalf("got chunk %d %s, want %s", i, got, want)
			}
		}
	})
}

func TestPackErrors(t *testing.T) {
	for _, size := range []int64{-1, gooseberrypass.MaxChunkSize + 1} {
		if _, err := packer.New(size); !errors.Is(err, packer.ErrBadChunkSize) {
			t.Errorf("got error %v for chunk size %d, want %v", err, size, packer.ErrBadChunkSize)
		}
	}
	p, _ := packer.New(1)
	if _, err := p.Pack(bytes.NewReader(nil), "m", "1", gooseberrypass.Digest{}); !errors.Is(err, packer.ErrNoWeights) {
		t.Errorf("got error %v for no weights, want %v", err, packer.ErrNoWeights)
	}
	if _, err := p.Pack(bytes.NewReader(make([]byte, gooseberrypass.MaxChunks+1)), "m", "1", gooseberrypass.Digest{}); !errors.Is(err, packer.ErrBadChunkSize) {
		t.Errorf("got error %v for too many chunks, want %v", err, packer.ErrBadChunkSize)
	}
	broken := iotest.ErrReader(errors.New("broken"))
	if _, err := p.Pack(broken, "m", "1", gooseberrypass.Digest{}); err == nil {
		t.Error("got no error for weights that cannot be read")
	}
}
