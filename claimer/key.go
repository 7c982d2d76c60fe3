package claimer

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// The margins of a key's age, as parts of the log's retention.
const (
	maxSkew     = 10 * time.Minute // between any two clocks
	skewDivisor = 8
	marginSkews = 3 // caller's, first claimant's and later claimant's clocks
)

// ErrBadKey is returned for an idempotency key that is not a UUIDv7.
var ErrBadKey = errors.New("idempotency key must be a UUIDv7")

// A key is an idempotency key.
type key [16]byte

// parseKey returns the key that text holds, and the time it was made at.
func parseKey(text string) (key, time.Time, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || len(text) != 36 {
		return key{}, time.Time{}, errors.Wrapf(ErrBadKey, "%q", text)
	}
	return key(id), keyTime(key(id)), nil
}

// keyTime returns the time that a UUIDv7 carries.
func keyTime(k key) time.Time {
	millis := int64(0)
	for _, b := range k[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

// skew is how far two clocks may be apart under a retention.
func skew(retention time.Duration) time.Duration {
	return min(maxSkew, retention/skewDivisor)
}

// margin is how much sooner than the log forgets a claim its key is refused.
func margin(retention time.Duration) time.Duration {
	return marginSkews * skew(retention)
}
