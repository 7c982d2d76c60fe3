package claimer

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Memory limits.
const (
	maxKeys     = 1 << 18 // per partition
	maxReleases = 64      // per key
)

// A claimID identifies one claim. A call that claims a second time gets a new ID.
type claimID [16]byte

func newClaimID() claimID { return claimID(uuid.Must(uuid.NewV7())) }

// A keyState is the state of one key as replayed from the log.
type keyState struct {
	account        gooseberrypass.ID
	digest         gooseberrypass.Digest
	holder         claimID // claim that holds the key, zero if the key is free
	outcome        gooseberrypass.Outcome
	outcomeOffset  gooseberrypass.Offset // offset of the record of the outcome, 0 if none is recorded
	releasedClaims []claimID
}

func (s *keyState) held() bool { return s.holder != claimID{} }

// A claimTable is the state of all keys of one stream, replayed from its records.
// Processes that read the same records reach the same state.
type claimTable struct {
	keys      map[key]*keyState
	fullUntil time.Time // new keys are refused until then, as a claim was lost when the table was full
}

func newClaimTable() *claimTable { return &claimTable{keys: map[key]*keyState{}} }

// apply applies one entry of the record at offset, written at t, and returns its
// key. It reports false for an entry that is malformed or exceeds the table.
func (ct *claimTable) apply(entry *wire.ClaimEntry, offset gooseberrypass.Offset, t time.Time, retention time.Duration) (key, bool) {
	if len(entry.GetKey()) != len(key{}) || len(entry.GetClaimId()) != len(claimID{}) {
		return key{}, false
	}
	k, id := key(entry.GetKey()), claimID(entry.GetClaimId())
	state, ok := ct.keys[k]
	if !ok {
		if len(ct.keys) >= maxKeys {
			ct.fullUntil = t.Add(retention)
			return k, false
		}
		state = &keyState{}
		ct.keys[k] = state
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

// claim assigns a free key to the claim. A released claim never holds a key
// again, so that a delayed duplicate of its record has no effect.
func (s *keyState) claim(entry *wire.ClaimEntry, id claimID) {
	if s.held() || slices.Contains(s.releasedClaims, id) {
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

// release frees the key if the claim holds it and no outcome is recorded. Beyond
// maxReleases, releases are ignored and the key stays held.
func (s *keyState) release(id claimID) {
	if s.outcomeOffset != 0 && s.holder == id || len(s.releasedClaims) >= maxReleases {
		return
	}
	if !slices.Contains(s.releasedClaims, id) {
		s.releasedClaims = append(s.releasedClaims, id)
	}
	if s.holder == id {
		s.holder = claimID{}
	}
}

// record stores the first outcome of the claim that holds the key.
func (s *keyState) record(entry *wire.ClaimEntry, id claimID, offset gooseberrypass.Offset) {
	if s.holder != id || s.outcomeOffset != 0 {
		return
	}
	s.outcome = gooseberrypass.ParseOutcome(entry.GetOutcome())
	s.outcomeOffset = offset
}

// prune deletes the keys created before t, which are refused as expired.
func (ct *claimTable) prune(t time.Time) {
	for k := range ct.keys {
		if keyTime(k).Before(t) {
			delete(ct.keys, k)
		}
	}
}
