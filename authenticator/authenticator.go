// Package authenticator proves the system's own calls by a shared key.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// A Key is a secret shared by the processes of the system. It prints as
// "[redacted]". The zero Key admits every call and adds nothing to one.
type Key struct {
	secret string
}

// NewKey returns the key with a secret.
func NewKey(secret string) Key {
	return Key{secret: secret}
}

// IsZero reports whether there is no secret.
func (k Key) IsZero() bool { return k.secret == "" }

// String implements fmt.Stringer without giving the secret away.
func (Key) String() string { return "[redacted]" }

// GoString implements fmt.GoStringer without giving the secret away.
func (Key) GoString() string { return "[redacted]" }

// Admits reports whether r carries the key. It takes the same time whatever
// the request carries.
func (k Key) Admits(r *http.Request) bool {
	if k.IsZero() {
		return true
	}
	given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)))
	want := sha256.Sum256([]byte(k.secret))
	return subtle.ConstantTimeCompare(given[:], want[:]) == 1
}

// Sign returns the code that proves that a holder of the key wrote message.
// domain keeps codes of different uses apart.
func (k Key) Sign(domain string, message []byte) []byte {
	mac := hmac.New(sha256.New, []byte(k.secret))
	// A hash takes all bytes without error.
	_, _ = mac.Write(append([]byte(domain), 0))
	_, _ = mac.Write(message)
	return mac.Sum(nil)
}

// Verifies reports whether code is that of message. It takes the same time
// whatever the code is. The zero Key verifies every code.
func (k Key) Verifies(domain string, message, code []byte) bool {
	return k.IsZero() || hmac.Equal(k.Sign(domain, message), code)
}

// Protect returns next behind a check of the key.
func (k Key) Protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Admits(r) {
			http.Error(w, "missing or wrong shared key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport returns next with the key added to each request.
func (k Key) Transport(next http.RoundTripper) http.RoundTripper {
	if k.IsZero() {
		return next
	}
	return transport{key: k, next: next}
}

type transport struct {
	key  Key
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearerPrefix+t.key.secret)
	return t.next.RoundTrip(r)
}

var _ http.RoundTripper = transport{}
