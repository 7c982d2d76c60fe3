package gooseberrypass

import "github.com/cespare/xxhash/v2"

// PrefixSize is how much of a prompt, in bytes, an engine's prefix cache is
// keyed by.
const PrefixSize = 256

// PrefixHash returns the hash by which cache events name the prefix of a
// prompt: that of its first PrefixSize bytes, or of all if it is shorter.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixSize)])
}
