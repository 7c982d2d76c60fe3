package listener

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/gooseberrypass/gooseberrypass/authenticator"
)

// maxControlBody bounds the body of one of the system's own calls, in bytes.
const maxControlBody = 64 << 20

// A Route is a handler and the pattern it is found under.
type Route struct {
	Handler http.Handler
	Pattern string
}

// NewSystemHandler returns what every process offers to the others: routes,
// which need the key, and /healthz, /metrics and /readyz, which do not. ready
// tells why the process is not ready, nil if it is.
func NewSystemHandler(key authenticator.Key, gatherer prometheus.Gatherer, ready func() error, routes ...Route) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	for _, r := range routes {
		mux.Handle(r.Pattern, key.Protect(http.MaxBytesHandler(r.Handler, maxControlBody)))
	}
	return mux
}
