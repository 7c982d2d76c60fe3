package emulator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrypass/gooseberrypass"
)

// MakeWeights returns size pseudo-random bytes determined by seed.
func MakeWeights(seed uint64, size int) []byte {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	weights := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(weights)
	return weights
}

// MakeManifest returns the manifest of weights split into chunks of chunkSize
// bytes. base is the digest of an adapter's base model, or zero.
func MakeManifest(
	model, version string,
	base gooseberrypass.Digest,
	weights []byte,
	chunkSize int,
) (*gooseberrypass.Manifest, error) {
	var chunks []gooseberrypass.Chunk
	for start := 0; start < len(weights); start += chunkSize {
		piece := weights[start:min(start+chunkSize, len(weights))]
		chunks = append(chunks, gooseberrypass.Chunk{
			Digest: gooseberrypass.DigestOf(piece),
			Size:   int64(len(piece)),
		})
	}
	return gooseberrypass.NewManifest(model, version, base, chunks)
}

// GeneratedText returns the concatenation of the first n tokens that an engine generates
// for a prompt with the weights of the given digest.
func GeneratedText(digest gooseberrypass.Digest, prompt string, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(TokenText(digest, prompt, i))
	}
	return text.String()
}

// TokenText returns the text of token i, counted from 0, that an engine generates
// for a prompt with the weights of the given digest.
func TokenText(digest gooseberrypass.Digest, prompt string, i int) string {
	h := xxhash.New()
	_, _ = h.Write(digest[:])
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(i)))
	_, _ = h.WriteString(prompt)
	return fmt.Sprintf("%06x ", h.Sum64()&0xffffff)
}
