package gooseberrypass_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
)

func TestManifestRoundTrip(t *testing.T) {
	chunks := []gooseberrypass.Chunk{
		{Digest: gooseberrypass.DigestOf([]byte("a")), Size: 3},
		{Digest: gooseberrypass.DigestOf([]byte("b")), Size: 5},
	}
	want, err := gooseberrypass.NewManifest("jingles", "1", gooseberrypass.Digest{}, chunks)
	if err != nil {
		t.Fatal(err)
	}
	got, err := gooseberrypass.ParseManifest(want.Encoded())
	if err != nil {
		t.Fatal(err)
	}
	if got.Digest() != want.Digest() {
		t.Errorf("got digest %s, want %s", got.Digest(), want.Digest())
	}
	if got.Size() != 8 || got.Offset(1) != 3 || got.Len() != 2 {
		t.Errorf("got size %d, second offset %d, %d chunks, want 8, 3, 2", got.Size(), got.Offset(1), got.Len())
	}
}

func TestParseManifestRefuses(t *testing.T) {
	tests := []struct {
		name    string
		encoded string
	}{
		{name: "empty", encoded: ""},
		{name: "no chunks", encoded: `{"model":"m","version":"1"}`},
		{name: "negative size", encoded: `{"chunks":[{"digest":"` + gooseberrypass.DigestOf(nil).String() + `","size":-1}]}`},
		{name: "no digest", encoded: `{"chunks":[{"size":1}]}`},
		{name: "bad digest", encoded: `{"chunks":[{"digest":"sha256:00","size":1}]}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := gooseberrypass.ParseManifest([]byte(tt.encoded)); !errors.Is(err, gooseberrypass.ErrBadManifest) {
				t.Errorf("got error %v, want %v", err, gooseberrypass.ErrBadManifest)
			}
		})
	}
}

// A limit below what a manifest takes would keep agents from every version.
func TestManifestsFitIntoTheirLimit(t *testing.T) {
	long := strings.Repeat("\x01", 255) // takes six times as much once it is encoded
	for _, n := range []int{1, 4, 1000, gooseberrypass.MaxChunks} {
		chunks := make([]gooseberrypass.Chunk, n)
		for i := range chunks {
			chunks[i] = gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf([]byte{byte(i)}), Size: gooseberrypass.MaxChunkSize}
		}
		m, err := gooseberrypass.NewManifest(long, long, gooseberrypass.DigestOf(nil), chunks)
		if err != nil {
			t.Fatal(err)
		}
		if got, limit := int64(len(m.Encoded())), gooseberrypass.ManifestLimit(n); got > limit {
			t.Errorf("%d chunks: got %d bytes, want at most %d", n, got, limit)
		}
	}
	for _, n := range []int{-1, 0, gooseberrypass.MaxChunks + 1} {
		if got, want := gooseberrypass.ManifestLimit(n), int64(gooseberrypass.MaxManifestSize); got != want {
			t.Errorf("%d chunks: got a limit of %d bytes, want %d", n, got, want)
		}
	}
}
