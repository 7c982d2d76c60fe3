package materializer

import (
	"strconv"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// RegisterMetrics registers gauges of what the process knows of wanted versions.
func (m *Materializer) RegisterMetrics(registerer prometheus.Registerer, clock gooseberrypass.Clock) error {
	return errors.Wrap(registerer.Register(boundAges{
		age: prometheus.NewDesc("gooseberrypass_bound_age_seconds",
			"Time since the bound of a wanted version started, by model and version.", []string{"model", "version"}, nil),
		clock: clock, materializer: m,
	}), "register version metrics")
}

// boundAges collects the ages of the bounds of wanted versions.
type boundAges struct {
	age          *prometheus.Desc
	clock        gooseberrypass.Clock
	materializer *Materializer
}

// Describe implements prometheus.Collector.
func (b boundAges) Describe(ch chan<- *prometheus.Desc) { ch <- b.age }

// Collect implements prometheus.Collector.
func (b boundAges) Collect(ch chan<- prometheus.Metric) {
	for model, targets := range b.materializer.Snapshot().Targets {
		for _, t := range targets {
			ch <- prometheus.MustNewConstMetric(b.age, prometheus.GaugeValue, b.clock.Since(t.Since).Seconds(), model, strconv.Itoa(t.Version))
		}
	}
}

var _ prometheus.Collector = boundAges{}
