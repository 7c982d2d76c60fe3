package listener

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/gooseberrypass/gooseberrypass/authenticator"
)

// maxRequestBody bounds the body of a request between processes, in bytes.
const maxRequestBody = 64 << 20

// A Route is a handler and its http.ServeMux pattern.
type Route struct {
	Handler http.Handler
	Pattern string
}

// NewInternalHandler returns the handler of a process for requests from other
// processes and from monitoring. The routes require key; /healthz, /metrics and
// /readyz do not. ready returns why the process is not ready, or nil if it is.
func NewInternalHandler(key authenticator.Key, gatherer prometheus.Gatherer, ready func() error, routes ...Route) http.Handler {
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
		mux.Handle(r.Pattern, key.RequireKey(http.MaxBytesHandler(r.Handler, maxRequestBody)))
	}
	return mux
}
