package gooseberrypass_test

import (
	"errors"
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
