package listener

import (
	"context"
	"net/http"
)

// CancelRequests wraps next so that the contexts of its requests are canceled once stop
// is done. A handler can still answer then, which it cannot after its connection closed.
func CancelRequests(stop context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(stop, cancel)()
		next.ServeHTTP(w, r.WithContext(ctx)) //nolint:contextcheck // derived from the request
	})
}
