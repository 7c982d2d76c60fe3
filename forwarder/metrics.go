package forwarder

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// The labels of metrics, also used as fields of log lines.
const (
	labelOutcome = "outcome"
	labelService = "service"
)

// Fields of log lines.
const (
	fieldEndpoint = "endpoint"
	fieldRequest  = "request"
)

// metrics are the metrics of requests.
type metrics struct {
	denied  prometheus.Counter
	first   *prometheus.HistogramVec
	moves   prometheus.Counter
	results *prometheus.CounterVec
	took    *prometheus.HistogramVec
	tries   *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	buckets := prometheus.ExponentialBuckets(0.01, 2, 11) // 10 ms to 10 s
	m := &metrics{
		denied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_forward_repeats_denied_total",
			Help: "Repeats that the retry budget denied.",
		}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Buckets: buckets, Help: "Time to the head of an answer.", Name: "gooseberrypass_forward_first_seconds",
		}, []string{labelService}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_forward_moves_total",
			Help: "Streams moved from an endpoint that was about to load a version.",
		}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_forward_requests_total",
			Help: "Requests of callers, by service and outcome.",
		}, []string{labelService, labelOutcome}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Buckets: buckets, Help: "Time to the end of a request.", Name: "gooseberrypass_forward_seconds",
		}, []string{labelService, labelOutcome}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_forward_attempts_total",
			Help: "Attempts sent to endpoints.",
		}, []string{labelService}),
	}
	for _, c := range []prometheus.Collector{m.denied, m.first, m.moves, m.results, m.took, m.tries} {
		if err := registerer.Register(c); err != nil {
			return nil, errors.Wrap(err, "register forward metrics")
		}
	}
	return m, nil
}

// observe records a finished request.
func (m *metrics) observe(r *request, outcome string, took time.Duration) {
	service := string(r.service)
	m.results.WithLabelValues(service, outcome).Inc()
	m.took.WithLabelValues(service, outcome).Observe(took.Seconds())
	m.tries.WithLabelValues(service).Add(float64(r.attempts))
	if r.started {
		m.first.WithLabelValues(service).Observe(r.headTime.Seconds())
	}
}
