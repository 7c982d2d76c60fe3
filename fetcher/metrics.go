package fetcher

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// labelSource is the label and log field of the kind of source.
const labelSource = "source"

// metrics are the counters of a Fetcher.
type metrics struct {
	bytes       *prometheus.CounterVec
	corruptions *prometheus.CounterVec
	results     *prometheus.CounterVec
	waiting     prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_fetch_bytes_total",
			Help: "Bytes of weights read, by source and by the region of the peer.",
		}, []string{labelSource, "region"}),
		corruptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_chunk_corruptions_total",
			Help: "Chunks dropped because their bytes did not match their digest.",
		}, []string{labelSource}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_fetch_results_total",
			Help: "Ended reads of chunks, by source and result.",
		}, []string{labelSource, "result"}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_versions_waiting_for_memory",
			Help: "Wanted versions that are not fetched, as more urgent ones use the chunk memory.",
		}),
	}
	for _, c := range []prometheus.Collector{m.bytes, m.corruptions, m.results, m.waiting} {
		if err := registerer.Register(c); err != nil {
			return nil, errors.Wrap(err, "register fetch metrics")
		}
	}
	return m, nil
}

func (m *metrics) observe(e FetchDone) {
	kind := e.Fetch.Kind.String()
	m.bytes.WithLabelValues(kind, string(e.Fetch.Peer.Region)).Add(float64(e.Outcome.Bytes))
	m.results.WithLabelValues(kind, e.Outcome.Result.String()).Inc()
	if e.Outcome.Result == ResultCorrupt {
		m.corruptions.WithLabelValues(kind).Inc()
	}
}
