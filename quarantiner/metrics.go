package quarantiner

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	crashes     prometheus.Gauge
	quarantined prometheus.Counter
	refused     prometheus.Counter
	suspects    prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		crashes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_poison_crashes",
			Help: "Crashes of endpoints in the last minutes that requests are suspected for.",
		}),
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_poison_requests_total",
			Help: "Requests quarantined for crashing endpoints.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_poison_refused_total",
			Help: "Requests refused because they are quarantined.",
		}),
		suspects: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_poison_suspects",
			Help: "Requests that run alone because an endpoint crashed under them.",
		}),
	}
	for _, c := range []prometheus.Collector{m.crashes, m.quarantined, m.refused, m.suspects} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
