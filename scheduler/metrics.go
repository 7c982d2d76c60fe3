package scheduler

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// The labels of metrics, also used as fields of log lines.
const (
	labelRank    = "rank"
	labelService = "service"
)

// metrics are the metrics of scheduled requests.
type metrics struct {
	headroom *prometheus.GaugeVec
	refused  *prometheus.CounterVec
	waited   *prometheus.HistogramVec
	waiting  *prometheus.GaugeVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	labels := []string{labelService, labelRank}
	m := &metrics{
		headroom: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gooseberrypass_scheduler_headroom", Help: "Share of the slots of each engine that requests of a rank leave free for more urgent ones.",
		}, labels),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_scheduler_refused_total", Help: "Scheduled requests that were refused for lack of capacity.",
		}, labels),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 10), // 1 ms to 0.5 s
			Name:    "gooseberrypass_scheduler_wait_seconds", Help: "Time from arrival until a request got an endpoint.",
		}, labels),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gooseberrypass_scheduler_waiting", Help: "Requests that wait for an endpoint.",
		}, labels),
	}
	for _, c := range []prometheus.Collector{m.headroom, m.refused, m.waited, m.waiting} {
		if err := registerer.Register(c); err != nil {
			return nil, errors.Wrap(err, "register scheduler metrics")
		}
	}
	return m, nil
}

func rankLabel(rank int) string { return strconv.Itoa(rank) }

// observePlaced records that a request got an endpoint.
func (m *metrics) observePlaced(r *Request, now time.Time) {
	m.waited.WithLabelValues(string(r.Query.Service), rankLabel(r.Rank)).Observe(now.Sub(r.ArrivedAt).Seconds())
}

// observeState records the queue and the hold-back of a service.
func (m *metrics) observeState(s *service) {
	if s.observed > s.ranks { // those of ranks that no longer exist would keep their last values
		m.forget(s.id)
	}
	s.observed = s.ranks
	for rank, n := range s.queue.waiting(s.ranks) {
		m.waiting.WithLabelValues(string(s.id), rankLabel(rank)).Set(float64(n))
		m.headroom.WithLabelValues(string(s.id), rankLabel(rank)).Set(s.holdBack.of(rank))
	}
}

// forget removes the gauges of a service. Its counters remain, as they must not start again at 0.
func (m *metrics) forget(id gooseberrypass.ID) {
	for _, gauge := range []*prometheus.GaugeVec{m.headroom, m.waiting} {
		gauge.DeletePartialMatch(prometheus.Labels{labelService: string(id)})
	}
}
