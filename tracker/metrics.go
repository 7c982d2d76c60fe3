package tracker

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	followed prometheus.Gauge
	listings *prometheus.CounterVec
	members  prometheus.Gauge
	polls    *prometheus.CounterVec
	silent   prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		followed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_members_followed",
			Help: "Agents whose status this process follows.",
		}),
		listings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_listings_total",
			Help: "Polls of the platform's instance list by result: good, failed, empty or old.",
		}, []string{"result"}),
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_members",
			Help: "Instances known to this process.",
		}),
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_status_polls_total",
			Help: "Status polls of agents by result: answered or failed.",
		}, []string{"result"}),
		silent: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_members_silent",
			Help: "Followed agents that have not answered within the silence limit.",
		}),
	}
	for _, c := range []prometheus.Collector{m.followed, m.listings, m.members, m.polls, m.silent} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
