package attempter

import (
	"crypto/sha256"
	"fmt"
	"hash"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// maxStrayTokens limits the tokens of other attempts and the duplicates in one
// stream.
const maxStrayTokens = 1024

// A tokenSequence checks the tokens of one stream: they must belong to the
// attempt, have no gaps and all come from one version.
type tokenSequence struct {
	attemptID string
	digest    gooseberrypass.Digest // digest of the version
	ended     bool                  // the last token was accepted
	first     int                   // index of the first token
	hash      hash.Hash             // hash of the text
	length    int64                 // bytes of text
	max       int                   // index limit, exclusive
	next      int                   // index of the next token
	stray     int                   // tokens skipped
}

func newTokenSequence(attemptID string, digest gooseberrypass.Digest, first, maxTokens int) *tokenSequence {
	return &tokenSequence{
		attemptID: attemptID,
		digest:    digest,
		first:     first,
		hash:      sha256.New(),
		max:       maxTokens,
		next:      first,
	}
}

// accept processes the next token. It reports false for a token that must be
// skipped: one of another attempt or a duplicate. It returns an error if the
// stream can no longer be complete.
func (s *tokenSequence) accept(t gooseberrypass.Token) (bool, error) {
	if t.AttemptID != s.attemptID || t.Index < s.next {
		s.stray++
		if s.stray > maxStrayTokens {
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

// endMarker returns the end marker for the accepted tokens.
func (s *tokenSequence) endMarker() *wire.End {
	return &wire.End{Digest: s.hash.Sum(nil), Length: s.length, Pieces: int64(s.next - s.first)}
}

// pieces returns the number of accepted tokens.
func (s *tokenSequence) pieces() int { return s.next - s.first }
