package claimer

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// The bounds of what is remembered.
const (
	maxKeys     = 1 << 18 // of one partition
	maxReleases = 64      // of one key
)

// A claimID is the id of one claim; each claim has its own.
type claimID [16]byte

func newClaimID() claimID { return claimID(uuid.Must(uuid.NewV7())) }

// A keyState is what the log says of one key.
type keyState struct {
	account  gooseberrypass.ID
	digest   gooseberrypass.Digest
	holder   claimID // zero if the key is free
	outcome  gooseberrypass.Outcome
	recorded gooseberrypass.Offset // where the outcome stands, 0 for none
	released []claimID
}

func (s *keyState) held() bool { return s.holder != claimID{} }

// A fold is the state that follows from the records of one stream of claims.
// Equal records give equal folds, whoever reads them.
type fold struct {
	keys     map[key]*keyState
	overflow time.Time // until when unknown keys are refused for want of room
}

func newFold() *fold { return &fold{keys: map[key]*keyState{}} }

// apply folds in one entry of the record at offset, written at t, and returns
// its key. It reports false for an entry that means nothing.
func (f *fold) apply(entry *wire.ClaimEntry, offset gooseberrypass.Offset, t time.Time, retention time.Duration) (key, bool) {
	if len(entry.GetKey()) != len(key{}) || len(entry.GetClaimId()) != len(claimID{}) {
		return key{}, false
	}
	k, id := key(entry.GetKey()), claimID(entry.GetClaimId())
	state, ok := f.keys[k]
	if !ok {
		if len(f.keys) >= maxKeys {
			f.overflow = t.Add(retention)
			return k, false
		}
		state = &keyState{}
		f.keys[k] = state
	}
	switch entry.GetKind() {
	case wire.ClaimKind_CLAIM_KIND_CLAIM:
		state.claim(entry, id)
	case wire.ClaimKind_CLAIM_KIND_RELEASE:
		state.release(id)
	case wire.ClaimKind_CLAIM_KIND_OUTCOME:
		state.record(entry, id, offset)
	}
	return k, true
}

// claim gives a free key to the claim. A claim that was released before never
// holds a key again, so that a late copy of its record changes nothing.
func (s *keyState) claim(entry *wire.ClaimEntry, id claimID) {
	if s.held() || slices.Contains(s.released, id) {
		return
	}
	digest, err := gooseberrypass.DigestFromBytes(entry.GetRequestDigest())
	if err != nil {
		return
	}
	s.account = gooseberrypass.ID(entry.GetAccount())
	s.digest = digest
	s.holder = id
}

func (s *keyState) release(id claimID) {
	if s.recorded != 0 && s.holder == id || len(s.released) >= maxReleases {
		return
	}
	if !slices.Contains(s.released, id) {
		s.released = append(s.released, id)
	}
	if s.holder == id {
		s.holder = claimID{}
	}
}

func (s *keyState) record(entry *wire.ClaimEntry, id claimID, offset gooseberrypass.Offset) {
	if s.holder != id || s.recorded != 0 {
		return
	}
	s.outcome = gooseberrypass.ParseOutcome(entry.GetOutcome())
	s.recorded = offset
}

// prune forgets the keys made before t; they are refused for their age.
func (f *fold) prune(t time.Time) {
	for k := range f.keys {
		if keyTime(k).Before(t) {
			delete(f.keys, k)
		}
	}
}
