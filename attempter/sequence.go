package attempter

import (
	"crypto/sha256"
	"fmt"
	"hash"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// maxStray bounds the tokens of one stream that do not belong to it.
const maxStray = 1024

// A sequence checks the tokens of one stream: they must be the attempt's own,
// dense and all of one version.
type sequence struct {
	attemptID string
	digest    gooseberrypass.Digest
	ended     bool
	first     int
	hash      hash.Hash
	length    int64
	max       int
	next      int
	stray     int
}

func newSequence(attemptID string, digest gooseberrypass.Digest, first, maxTokens int) *sequence {
	return &sequence{
		attemptID: attemptID,
		digest:    digest,
		first:     first,
		hash:      sha256.New(),
		max:       maxTokens,
		next:      first,
	}
}

// accept takes in the next token. It reports false for one that is to be passed
// over: another attempt's, or one that came before. A stream that cannot be
// whole any more is an error.
func (s *sequence) accept(t gooseberrypass.Token) (bool, error) {
	if t.AttemptID != s.attemptID || t.Index < s.next {
		s.stray++
		if s.stray > maxStray {
			return false, unknown(gooseberrypass.ReasonUpstream, "too many tokens of other streams")
		}
		return false, nil
	}
	if t.Digest != s.digest {
		return false, unknown(gooseberrypass.ReasonNotLoaded,
			fmt.Sprintf("token %d of version %s, want %s", t.Index, t.Digest.Short(), s.digest.Short()))
	}
	if t.Index > s.next {
		return false, unknown(gooseberrypass.ReasonCut, fmt.Sprintf("token %d missing", s.next))
	}
	if t.Index >= s.max {
		return false, unknown(gooseberrypass.ReasonUpstream, fmt.Sprintf("more than %d tokens", s.max))
	}
	s.next++
	s.length += int64(len(t.Text))
	_, _ = s.hash.Write([]byte(t.Text))
	s.ended = t.Last
	return true, nil
}

// end returns the end marker of the tokens taken in.
func (s *sequence) end() *wire.End {
	return &wire.End{Digest: s.hash.Sum(nil), Length: s.length, Pieces: int64(s.next - s.first)}
}

func (s *sequence) pieces() int { return s.next - s.first }
