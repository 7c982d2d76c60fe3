package claimer

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Tolerances of a key's age. The tolerated clock skew is 1/skewDivisor of the
// log's retention, but at most clockSkewLimit.
const (
	clockSkewLimit    = 10 * time.Minute // between any two clocks
	skewDivisor       = 8
	expiryMarginSkews = 3 // clocks of the caller, the first and a later claiming process
)

// ErrBadKey is returned for an idempotency key that is not a UUIDv7 in its
// 36-character form.
var ErrBadKey = errors.New("idempotency key must be a UUIDv7")

// A key is an idempotency key, a UUIDv7.
type key [16]byte

// parseKey parses a key and returns it with its creation time.
func parseKey(text string) (key, time.Time, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || len(text) != 36 {
		return key{}, time.Time{}, errors.Wrapf(ErrBadKey, "%q", text)
	}
	return key(id), keyTime(key(id)), nil
}

// keyTime returns the creation time encoded in a UUIDv7, in milliseconds.
func keyTime(k key) time.Time {
	millis := int64(0)
	for _, b := range k[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

// maxClockSkew returns the tolerated difference between any two clocks.
func maxClockSkew(retention time.Duration) time.Duration {
	return min(clockSkewLimit, retention/skewDivisor)
}

// expiryMargin returns how long before the end of the log's retention a key is
// refused as expired.
func expiryMargin(retention time.Duration) time.Duration {
	return expiryMarginSkews * maxClockSkew(retention)
}
