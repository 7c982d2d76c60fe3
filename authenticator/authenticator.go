// Package authenticator authenticates the requests between processes of the system
// with a shared key.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// A Key is a secret shared by the processes of the system. It formats as
// "[redacted]". With the zero Key, authentication is disabled: every request is
// accepted, and none is sent with a secret.
type Key struct {
	secret string
}

// NewKey returns the key with the given secret.
func NewKey(secret string) Key {
	return Key{secret: secret}
}

// IsZero reports whether the key has no secret.
func (k Key) IsZero() bool { return k.secret == "" }

// String implements fmt.Stringer without revealing the secret.
func (Key) String() string { return "[redacted]" }

// GoString implements fmt.GoStringer without revealing the secret.
func (Key) GoString() string { return "[redacted]" }

// Authenticates reports whether r carries the key as its bearer token. The secret
// is compared in constant time.
func (k Key) Authenticates(r *http.Request) bool {
	if k.IsZero() {
		return true
	}
	given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)))
	want := sha256.Sum256([]byte(k.secret))
	return subtle.ConstantTimeCompare(given[:], want[:]) == 1
}

// Sign returns the HMAC-SHA256 of domain, a zero byte and message. Different
// domains keep MACs made for one purpose from being valid for another.
func (k Key) Sign(domain string, message []byte) []byte {
	mac := hmac.New(sha256.New, []byte(k.secret))
	// Write on a hash never returns an error.
	_, _ = mac.Write(append([]byte(domain), 0))
	_, _ = mac.Write(message)
	return mac.Sum(nil)
}

// Verify reports whether mac is the MAC of message in domain. The MACs are
// compared in constant time. The zero Key accepts every MAC.
func (k Key) Verify(domain string, message, mac []byte) bool {
	return k.IsZero() || hmac.Equal(k.Sign(domain, message), mac)
}

// RequireKey wraps next to answer requests without the key with status 401.
func (k Key) RequireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Authenticates(r) {
			http.Error(w, "missing or wrong shared key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport wraps next to add the key to each request.
func (k Key) Transport(next http.RoundTripper) http.RoundTripper {
	if k.IsZero() {
		return next
	}
	return transport{key: k, next: next}
}

// A transport adds a key to each request.
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
