package gooseberrypass

import "github.com/cespare/xxhash/v2"

// PrefixSize is the number of leading bytes of a prompt by which an engine's prefix
// cache is keyed.
const PrefixSize = 256

// PrefixHash returns the hash that identifies the prefix of a prompt in cache events:
// the XXH64 hash of its first PrefixSize bytes, or of the whole prompt if it is
// shorter.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixSize)])
}
