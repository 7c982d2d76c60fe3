package router

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	choices   *prometheus.CounterVec
	ejections prometheus.Counter
	results   *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_router_choices_total",
			Help: "Choices of an endpoint by cause: cached, load, probe, or none and late where none was chosen.",
		}, []string{"cause"}),
		ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_router_ejections_total",
			Help: "Endpoints taken out of use on evidence of failures.",
		}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_router_results_total",
			Help: "Attempts by what they showed of their endpoint.",
		}, []string{"result"}),
	}
	for _, c := range []prometheus.Collector{m.choices, m.ejections, m.results} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
