package gooseberrypass

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = sha256.Size

const digestPrefix = "sha256:"

// ErrBadDigest is wrapped by the errors for text or bytes that are not a digest.
var ErrBadDigest = errors.New("not a digest: want sha256: and 64 hexadecimal digits")

// A Digest is a SHA-256 hash. The zero Digest means "none".
type Digest [DigestSize]byte

// DigestOf returns the SHA-256 hash of b.
func DigestOf(b []byte) Digest {
	return sha256.Sum256(b)
}

// ParseDigest parses text of the form "sha256:<hex>".
func ParseDigest(text string) (Digest, error) {
	var d Digest
	rest, ok := strings.CutPrefix(text, digestPrefix)
	if !ok || len(rest) != hex.EncodedLen(DigestSize) {
		return Digest{}, errors.Wrapf(ErrBadDigest, "%q", text)
	}
	if _, err := hex.Decode(d[:], []byte(rest)); err != nil {
		return Digest{}, errors.Wrapf(ErrBadDigest, "%q", text)
	}
	return d, nil
}

// DigestFromBytes returns the digest held in b, which must be DigestSize long.
func DigestFromBytes(b []byte) (Digest, error) {
	var d Digest
	if len(b) != DigestSize {
		return Digest{}, errors.Wrapf(ErrBadDigest, "%d bytes", len(b))
	}
	copy(d[:], b)
	return d, nil
}

// IsZero reports whether d is the zero Digest, which means "none".
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// Prefix returns the first eight bytes of d, which are enough to tell the requests of
// a few minutes apart.
func (d Digest) Prefix() uint64 {
	return binary.BigEndian.Uint64(d[:8])
}

// MarshalText implements encoding.TextMarshaler. It encodes the zero Digest as "".
func (d Digest) MarshalText() ([]byte, error) {
	if d.IsZero() {
		return nil, nil
	}
	return []byte(d.String()), nil
}

// Short returns the first 12 hexadecimal digits of d, for logs.
func (d Digest) Short() string {
	return hex.EncodeToString(d[:6])
}

// String returns d as "sha256:<hex>".
func (d Digest) String() string {
	return digestPrefix + hex.EncodeToString(d[:])
}

// UnmarshalText implements encoding.TextUnmarshaler. It decodes "" as the zero
// Digest.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = Digest{}
		return nil
	}
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
