package spreader

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	divergences prometheus.Counter
	exchanges   *prometheus.CounterVec
	ignored     prometheus.Gauge
	offset      prometheus.Gauge
	reads       *prometheus.CounterVec
	snapshots   prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		divergences: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_config_divergences_total",
			Help: "Exchanges with a peer that held other files at the same offset.",
		}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_config_exchanges_total",
			Help: "Exchanges of configuration offsets with peers.",
		}, []string{"result"}),
		ignored: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_config_ignored",
			Help: "Sections and values in force that this release leaves out.",
		}),
		offset: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_config_offset",
			Help: "Log offset of the last accepted configuration.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_config_reads_total",
			Help: "Reads of the configuration stream of the log.",
		}, []string{"result"}),
		snapshots: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_config_snapshots_total",
			Help: "Snapshots of the configuration appended to the log.",
		}),
	}
}

func (m *metrics) register(registerer prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{
		m.divergences, m.exchanges, m.ignored, m.offset, m.reads, m.snapshots,
	} {
		if err := registerer.Register(c); err != nil {
			return err
		}
	}
	return nil
}
