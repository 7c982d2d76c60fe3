package attributor

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	interruptions prometheus.Counter
	quarantined   prometheus.Gauge
	refused       prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		interruptions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_attribution_interruptions_total",
			Help: "Attempts that broke off without an event of an answer.",
		}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_attribution_quarantined_parts",
			Help: "Parts of prompts that are or were quarantined for crashing endpoints.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_attribution_refused_total",
			Help: "Requests refused because a part of their prompt is quarantined.",
		}),
	}
	for _, c := range []prometheus.Collector{m.interruptions, m.quarantined, m.refused} {
		if err := registerer.Register(c); err != nil {
			return nil, errors.Wrap(err, "register attribution metrics")
		}
	}
	return m, nil
}
